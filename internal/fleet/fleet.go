// Package fleet rents machines for the work that waits, and returns those
// that are idle, broken or about to be taken.
package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/engine"
	"lemonmoor/internal/httpwire"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// Office is what the fleet asks of the lease.
type Office interface {
	Lead() uint64
	Valid() bool
	Owner(block int) string
}

// kind is a kind of machine that can be rented.
type kind struct {
	build, zone string
	spot        bool
}

// machine is a rented machine as the cloud knows it.
type machine struct {
	id      string
	addr    string
	kind    kind
	rented  time.Duration
	listed  bool
	booting bool // by the newest list
	missed  int  // lists in a row without it, after it was listed
	failed  bool
	release bool // to be returned
	asked   bool // the request is under way
	why     string
	drain   string // why its owner is asked to keep tasks off it
	state   HostState
	heard   time.Duration // of that state
	known   bool          // there is one
}

// hire is a rental request; its name is used for this request alone.
type hire struct {
	Name   string `json:"hire"`
	Build  string `json:"build"`
	Zone   string `json:"yard"`
	Spot   bool   `json:"loaners"`
	Number int    `json:"number"`
}

// HostState is what a block's owner tells of a machine.
type HostState struct {
	ID     string   `json:"id"`
	Addr   string   `json:"addr"`
	Build  string   `json:"build"`
	Zone   string   `json:"zone"`
	Spot   bool     `json:"spot"`
	Up     bool     `json:"up"`   // its worker has reported
	Open   bool     `json:"open"` // takes tasks
	IdleMS int64    `json:"idleMs"`
	Tasks  int      `json:"tasks"`
	Back   string   `json:"back,omitempty"` // why it should be returned now
	Images []string `json:"images,omitempty"`
}

// Digest is an owner's word on its block.
type Digest struct {
	Node  string      `json:"node"`
	Block int         `json:"block"`
	Token uint64      `json:"token"`
	Hosts []HostState `json:"hosts"`
}

// Recall asks an owner to give waiting tasks of a job back.
type Recall struct {
	Job    string `json:"job"`
	Number int    `json:"number"`
}

// Reply is the leader's answer to a digest.
type Reply struct {
	Drain    []string `json:"drain,omitempty"`
	Returned []string `json:"returned,omitempty"` // gone, with all on them
	Recall   []Recall `json:"recall,omitempty"`
}

// Room is what a machine has left for tasks.
type Room struct {
	Host                string
	Block               int
	Type                *jobs.MachineType
	Zone                string
	Spot                bool
	Booting             bool
	Images              []string
	CPUs, Cards, Memory float64
}

const slack = 1e-9 // sums of decimal amounts are not exact

// Could tells whether the machine may run a task of the job at all.
func (r *Room) Could(d *jobs.Description, zone string) bool {
	return r.Type.Runs(d) && (d.Zone == "" || d.Zone == r.Zone) && (zone == "" || zone == r.Zone) && (d.Spot || !r.Spot)
}

// Fits tells whether there is room for one now.
func (r *Room) Fits(d *jobs.Description, zone string) bool {
	return d.CPUs <= r.CPUs+slack && d.Cards <= r.Cards+slack && d.MemoryGB <= r.Memory+slack && r.Could(d, zone)
}

// Take uses room for one task.
func (r *Room) Take(d *jobs.Description) {
	r.CPUs -= d.CPUs
	r.Cards -= d.Cards
	r.Memory -= d.MemoryGB
}

// Caches tells whether the machine has an image.
func (r *Room) Caches(image string) bool { return slices.Contains(r.Images, image) }

// Need is tasks of a job for which there is no room.
type Need struct {
	Desc   *jobs.Description
	Zone   string // fixed at hand-out, "" for any
	Number int
}

// Fleet is the leader's view of the cloud.
type Fleet struct {
	rt     engine.Runtime
	addr   string
	office Office
	set    *settings.Settings
	log    *slog.Logger

	types    []jobs.MachineType
	machines map[string]*machine
	returned map[string]time.Duration // when
	pauses   map[kind]time.Duration
	needs    []Need
	counter  uint64
	term     int
	begun    time.Duration
	listed   bool // the machine list has been read in this term
	hiring   int
	tokens   float64
	filled   time.Duration
}

// New returns a fleet that speaks to the cloud at addr.
func New(rt engine.Runtime, addr string, office Office, set *settings.Settings, log *slog.Logger) *Fleet {
	return &Fleet{rt: rt, addr: addr, office: office, set: set, log: log,
		machines: map[string]*machine{}, returned: map[string]time.Duration{}, pauses: map[kind]time.Duration{}}
}

// Start reads the machine types and keeps their prices current.
func (f *Fleet) Start() { f.readTypes(0) }

// Types are the machine types, nil while unknown.
func (f *Fleet) Types() []jobs.MachineType { return f.types }

// Type finds a machine type.
func (f *Fleet) Type(label string) *jobs.MachineType {
	for i := range f.types {
		if f.types[i].Label == label {
			return &f.types[i]
		}
	}
	return nil
}

func (f *Fleet) readTypes(try int) {
	f.rt.Call(f.addr, httpwire.Call{Method: "GET", Target: "/machine_types"}, tuning.CloudTimeout,
		func(ans httpwire.Answer, err error) {
			var reply struct {
				Builds []jobs.MachineType `json:"builds"`
			}
			if err == nil && ans.Status == 200 {
				err = json.Unmarshal(ans.Body, &reply)
			}
			if err != nil || ans.Status != 200 || len(reply.Builds) == 0 {
				f.log.Debug("machine types not read", "status", ans.Status, "err", err)
				pause := min(time.Second<<min(try, 4), 10*time.Second)
				f.rt.After(time.Duration(float64(pause)*(0.5+f.rt.Rand())), func() { f.readTypes(try + 1) })
				return
			}
			// Prices move; the machines' properties stay, and other slices
			// hold on to them.
			for _, n := range reply.Builds {
				if old := f.Type(n.Label); old != nil {
					*old = n
				} else {
					f.types = append(slices.Clip(f.types), n)
				}
			}
			f.rt.After(tuning.TypesEvery, func() { f.readTypes(0) })
		})
}

// Zones fixes zones for a job whose tasks must or must not share one.
func (f *Fleet) Zones(d *jobs.Description) []string {
	room := map[string]float64{}
	for i := range f.types {
		t := &f.types[i]
		if !t.Runs(d) {
			continue
		}
		for _, z := range t.Zones {
			if d.Zone == "" || d.Zone == z {
				room[z] += 0.001 // any zone counts a little, one with machines more
			}
		}
	}
	for _, r := range f.Rooms() {
		if r.Could(d, "") {
			room[r.Zone] += r.Type.CPUs
		}
	}
	zones := make([]string, 0, len(room))
	for z := range room {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b string) int {
		switch {
		case room[a] > room[b]:
			return -1
		case room[a] < room[b]:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	if d.OneZone {
		return zones[:min(1, len(zones))]
	}
	return zones[:min(2, len(zones))]
}

// Begin starts a term.
func (f *Fleet) Begin() {
	f.term++
	f.begun = f.rt.Now()
	f.listed, f.hiring, f.counter = false, 0, 0
	clear(f.machines)
	clear(f.pauses)
	f.needs = nil
	term := f.term
	f.list(term)
	f.round(term)
}

// End ends a term.
func (f *Fleet) End() { f.term++ }

// afford takes one call off the cloud's budget, if there is one.
func (f *Fleet) afford() bool {
	rate := f.set.Deployment.Cloud.RPS * tuning.CloudShare
	now := f.rt.Now()
	f.tokens = min(max(1, rate), f.tokens+rate*(now-f.filled).Seconds())
	f.filled = now
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}

// list reads the machine list, page by page.
func (f *Fleet) list(term int) {
	seen := map[string]bool{}
	asked := f.rt.Now()
	var page func(since string)
	again := func(d time.Duration) {
		f.rt.After(d, func() {
			if term == f.term {
				f.list(term)
			}
		})
	}
	page = func(since string) {
		if term != f.term {
			return
		}
		if !f.afford() {
			f.rt.After(400*time.Millisecond, func() { page(since) })
			return
		}
		target := "/rentals?limit=500"
		if since != "" {
			target += "&since=" + url.QueryEscape(since)
		}
		f.rt.Call(f.addr, httpwire.Call{Method: "GET", Target: target}, tuning.CloudTimeout, func(ans httpwire.Answer, err error) {
			if term != f.term {
				return
			}
			var reply struct {
				Hosts []struct {
					ID    string  `json:"id"`
					Addr  string  `json:"addr"`
					Build string  `json:"build"`
					Zone  string  `json:"yard"`
					Spot  bool    `json:"loaners"`
					Phase string  `json:"phase"`
					AgeS  float64 `json:"ageS"`
				} `json:"hosts"`
				HasNext bool `json:"hasNext"`
			}
			if err == nil && ans.Status == 200 {
				err = json.Unmarshal(ans.Body, &reply)
			}
			if err != nil || ans.Status != 200 {
				f.log.Debug("machine list not read", "status", ans.Status, "err", err)
				again(tuning.ListEvery / 2)
				return
			}
			for _, l := range reply.Hosts {
				seen[l.ID] = true
				if _, gone := f.returned[l.ID]; gone {
					continue // the list lags
				}
				m := f.machines[l.ID]
				if m == nil {
					m = &machine{id: l.ID, kind: kind{l.Build, l.Zone, l.Spot},
						rented: asked - time.Duration(l.AgeS*float64(time.Second))}
					f.machines[l.ID] = m
				}
				m.addr, m.listed, m.missed = l.Addr, true, 0
				m.booting = l.Phase == "booting"
				if l.Phase == "failed" && !m.failed {
					m.failed = true
					f.giveBack(m, "failed")
				}
			}
			if reply.HasNext && len(reply.Hosts) > 0 {
				page(reply.Hosts[len(reply.Hosts)-1].ID)
				return
			}
			f.vanished(seen)
			f.listed = true
			again(tuning.ListEvery)
		})
	}
	page("")
}

// vanished forgets machines that the list no longer has: returned by us, or
// taken by the cloud. They are returned once more, which is the proof that
// all on them is gone; a list alone can be old.
func (f *Fleet) vanished(seen map[string]bool) {
	for id, m := range f.machines {
		if seen[id] || !m.listed {
			continue
		}
		if m.missed++; m.missed < 3 {
			continue // a list can be older than the one before
		}
		if !f.fresh(m) || !m.state.Open {
			f.giveBack(m, "no longer listed")
		}
	}
}

// fresh tells whether the owner's word on a machine is new enough.
func (f *Fleet) fresh(m *machine) bool {
	return m.known && f.rt.Now()-m.heard < tuning.DigestStale
}

// Hear takes an owner's digest. Machines in it that were not rented in this
// term are adopted.
func (f *Fleet) Hear(d *Digest) Reply {
	var r Reply
	now := f.rt.Now()
	for _, s := range d.Hosts {
		if _, gone := f.returned[s.ID]; gone {
			r.Returned = append(r.Returned, s.ID)
			continue
		}
		m := f.machines[s.ID]
		if m == nil {
			if !s.Up {
				continue // known from a record only
			}
			m = &machine{id: s.ID, rented: now}
			f.machines[s.ID] = m
		}
		if s.Up {
			m.addr, m.kind = s.Addr, kind{s.Build, s.Zone, s.Spot}
		}
		// A new owner knows some machines from their records only, until
		// they report to it: that makes none of them one that never booted.
		m.state, m.heard, m.known = s, now, m.known || s.Up
		if s.Back != "" {
			f.giveBack(m, s.Back)
		}
		if m.drain != "" {
			r.Drain = append(r.Drain, s.ID)
		}
	}
	return r
}

// Rooms returns the machines that take tasks or are about to, empty.
func (f *Fleet) Rooms() []*Room {
	var rooms []*Room
	for _, m := range f.machines {
		t := f.Type(m.kind.build)
		if t == nil || m.release || m.failed || m.drain != "" {
			continue
		}
		if m.known && (!f.fresh(m) || !m.state.Open) {
			continue
		}
		rooms = append(rooms, &Room{Host: m.id, Block: work.BlockOf(m.id), Type: t, Zone: m.kind.zone, Spot: m.kind.spot,
			Booting: !m.known, Images: m.state.Images, CPUs: t.CPUs, Cards: t.Cards, Memory: t.MemoryGB})
	}
	slices.SortFunc(rooms, func(a, b *Room) int { return strings.Compare(a.Host, b.Host) })
	return rooms
}

// Want tells for which tasks there is no room.
func (f *Fleet) Want(needs []Need) { f.needs = needs }

func (f *Fleet) giveBack(m *machine, why string) {
	if m.release {
		return
	}
	m.release, m.why = true, why
	f.log.Info("returning machine", "host", m.id, "why", why)
}

// round looks at what to return and what to rent.
func (f *Fleet) round(term int) {
	if term != f.term {
		return
	}
	f.rt.After(tuning.FleetRound, func() { f.round(term) })
	if !f.office.Valid() {
		return
	}
	f.judge()
	f.release(term)
	if f.listed {
		f.rent(term)
	}
}

// judge decides which machines go back beside those that their owners give
// back.
func (f *Fleet) judge() {
	now := f.rt.Now()
	for _, m := range f.machines {
		if m.release {
			continue
		}
		if !m.known {
			boot := 60.0
			if t := f.Type(m.kind.build); t != nil {
				boot = t.BootS
			}
			limit := time.Duration(boot*tuning.BootFactor*float64(time.Second)) + tuning.BootSlack
			if m.booting && now-m.rented > limit && now-f.begun > tuning.BootSlack {
				f.giveBack(m, "never booted")
			}
			continue
		}
		keep := f.set.IdleKeep()
		if t := f.Type(m.kind.build); t != nil && !m.kind.spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
			// Kept ready as long as a spot machine would be for the money.
			keep = time.Duration(float64(keep) * max(t.SpotPrice/t.Price, tuning.IdleLeast))
		}
		if m.drain == "" && f.fresh(m) && m.state.Open && m.state.Tasks == 0 &&
			m.state.IdleMS > keep.Milliseconds() && now-f.begun > keep/2 {
			m.drain = "idle" // its owner agrees, then gives it back
		}
	}
	for id, at := range f.returned {
		if now-at > tuning.ForgetReturned {
			delete(f.returned, id)
		}
	}
}

// release returns machines to the cloud.
func (f *Fleet) release(term int) {
	var names []string
	for _, m := range f.machines {
		if !m.release || m.asked {
			continue
		}
		names = append(names, m.id)
		if len(names) == 100 {
			break
		}
	}
	if len(names) == 0 || !f.afford() {
		return
	}
	for _, id := range names {
		f.machines[id].asked = true
	}
	body, err := json.Marshal(map[string][]string{"hosts": names})
	if err != nil {
		return
	}
	f.rt.Call(f.addr, httpwire.Call{Method: "POST", Target: "/rentals/release", Body: body}, tuning.CloudTimeout,
		func(ans httpwire.Answer, err error) {
			ok := err == nil && ans.Status == 200
			if ok {
				// Whoever leads now: the machines are gone.
				for _, id := range names {
					f.returned[id] = f.rt.Now()
				}
			}
			if term != f.term {
				return
			}
			for _, id := range names {
				if ok {
					delete(f.machines, id)
				} else if m := f.machines[id]; m != nil {
					m.asked = false
				}
			}
		})
}

// rent asks for machines for the tasks that have no room.
func (f *Fleet) rent(term int) {
	if f.hiring > 0 || f.types == nil || len(f.needs) == 0 || f.rt.Now()-f.begun < tuning.DigestEvery*2 {
		return
	}
	if f.soonDone() {
		return
	}
	needs := slices.Clone(f.needs)
	f.needs = nil // until the next hand-out has seen what comes
	for try := 0; try < 2 && len(needs) > 0; try++ {
		k, n, rest := f.choose(needs)
		if n == 0 {
			needs = needs[1:]
			continue
		}
		if !f.afford() {
			return
		}
		f.counter++
		f.hire(term, hire{fmt.Sprintf("r-%d-%d", f.office.Lead(), f.counter), k.build, k.zone, k.spot, n}, 0)
		needs = rest
	}
}

// soonDone tells whether the machines there are will have done the waiting work
// before new ones would be up. Work that none of them can run never is.
func (f *Fleet) soonDone() bool {
	rooms := f.Rooms()
	var cpus, work float64
	for _, r := range rooms {
		cpus += r.Type.CPUs
	}
	for _, n := range f.needs {
		if !slices.ContainsFunc(rooms, func(r *Room) bool { return r.Could(n.Desc, n.Zone) }) {
			return false
		}
		work += float64(n.Number) * n.Desc.CPUs * n.Desc.EstimateS
	}
	boot := 0.0
	for i := range f.types {
		if b := f.types[i].BootS; boot == 0 || b < boot {
			boot = b
		}
	}
	return work < tuning.RentBacklog*boot*cpus
}

// choose finds the kind of machine that does the waiting work, beginning with
// the first, at the least price, and how many of it are wanted.
func (f *Fleet) choose(needs []Need) (best kind, number int, rest []Need) {
	now := f.rt.Now()
	bestCost := 0.0
	for i := range f.types {
		t := &f.types[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := kind{t.Label, zone, spot}
				if now < f.pauses[k] || !f.empty(k).Fits(needs[0].Desc, needs[0].Zone) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				used, _ := f.fill(k, needs)
				if cost := price / max(used, 1e-3); number == 0 || cost < bestCost {
					best, bestCost, number = k, cost, 1
				}
			}
		}
	}
	if number == 0 {
		return best, 0, needs
	}
	least, rest := f.fill(best, needs)
	for number < tuning.HireMax && len(rest) > 0 {
		used, left := f.fill(best, rest)
		if used < least/2 || used == 0 {
			break
		}
		number, rest = number+1, left
	}
	return best, number, rest
}

// empty is a machine of a kind with nothing on it.
func (f *Fleet) empty(k kind) *Room {
	t := f.Type(k.build)
	return &Room{Type: t, Zone: k.zone, Spot: k.spot, CPUs: t.CPUs, Cards: t.Cards, Memory: t.MemoryGB}
}

// fill tells how many processors of an empty machine the tasks would use, and
// which tasks are left over.
func (f *Fleet) fill(k kind, needs []Need) (used float64, rest []Need) {
	r := f.empty(k)
	for _, n := range needs {
		for n.Number > 0 && r.Fits(n.Desc, n.Zone) {
			r.Take(n.Desc)
			used += max(n.Desc.CPUs, n.Desc.MemoryGB/r.Type.MemoryGB*r.Type.CPUs)
			n.Number--
		}
		if n.Number > 0 {
			rest = append(rest, n)
		}
	}
	return used, rest
}

// hire sends a rental request until its answer is known; repeated, it rents
// nothing more.
func (f *Fleet) hire(term int, h hire, try int) {
	body, err := json.Marshal(h)
	if err != nil {
		return
	}
	f.hiring++
	f.rt.Call(f.addr, httpwire.Call{Method: "POST", Target: "/rentals", Body: body}, tuning.CloudTimeout,
		func(ans httpwire.Answer, err error) {
			if term != f.term {
				return // machines it brings turn up in reports and in the list
			}
			f.hiring--
			k := kind{h.Build, h.Zone, h.Spot}
			var reply struct {
				Hosts []string `json:"hosts"`
				Error string   `json:"error"`
			}
			if err == nil {
				_ = json.Unmarshal(ans.Body, &reply)
			}
			switch {
			case err == nil && ans.Status == 200:
				for _, id := range reply.Hosts {
					if f.machines[id] == nil {
						f.machines[id] = &machine{id: id, kind: k, rented: f.rt.Now()}
					}
				}
				if len(reply.Hosts) < h.Number {
					f.pauses[k] = f.rt.Now() + tuning.CapacityPause
				}
				f.log.Info("rented", "build", h.Build, "zone", h.Zone, "spot", h.Spot, "wanted", strconv.Itoa(h.Number), "got", len(reply.Hosts))
			case err == nil && ans.Status == 503 && reply.Error == "no capacity":
				f.pauses[k] = f.rt.Now() + tuning.CapacityPause
				f.log.Debug("no capacity", "build", h.Build, "zone", h.Zone, "spot", h.Spot)
			case err == nil && ans.Status == 400:
				f.pauses[k] = f.rt.Now() + 5*tuning.CapacityPause
				f.log.Warn("rental refused as malformed", "body", string(ans.Body))
			default:
				f.hiring++
				pause := min(time.Second<<min(try, 3), 8*time.Second)
				f.rt.After(time.Duration(float64(pause)*(0.5+f.rt.Rand())), func() {
					if term != f.term {
						return
					}
					f.hiring--
					f.hire(term, h, try+1)
				})
			}
		})
}
