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
	"time"

	"lemonmoor/internal/agents"
	"lemonmoor/internal/engine"
	"lemonmoor/internal/httpwire"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/placement"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// Office is what the fleet asks of the lease.
type Office interface {
	Token() uint64
	Valid() bool
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
	failed  bool
	release bool // to be returned
	asked   bool // the request is under way
	why     string
}

// hire is a rental request; its name is used for this request alone.
type hire struct {
	Name   string `json:"hire"`
	Build  string `json:"build"`
	Zone   string `json:"yard"`
	Spot   bool   `json:"loaners"`
	Number int    `json:"number"`
}

// Fleet is the leader's view of the cloud.
type Fleet struct {
	// Waiting returns the tasks that no machine has room for, in order.
	Waiting func() []*work.Task
	// Lost is called when the machines do not reach this node.
	Lost func()

	rt     engine.Runtime
	addr   string
	office Office
	table  *agents.Table
	set    *settings.Settings
	log    *slog.Logger

	types    []jobs.MachineType
	machines map[string]*machine
	pauses   map[kind]time.Duration
	counter  uint64
	term     int
	begun    time.Duration
	listed   bool // the machine list has been read in this term
	hiring   int
	tokens   float64
	filled   time.Duration
}

// New returns a fleet that speaks to the cloud at addr.
func New(rt engine.Runtime, addr string, office Office, table *agents.Table, set *settings.Settings, log *slog.Logger) *Fleet {
	return &Fleet{rt: rt, addr: addr, office: office, table: table, set: set, log: log,
		machines: map[string]*machine{}, pauses: map[kind]time.Duration{}}
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
func (f *Fleet) Zones(j *work.Job) []string {
	room := map[string]float64{}
	for i := range f.types {
		t := &f.types[i]
		if !t.Runs(j.Desc) {
			continue
		}
		for _, z := range t.Zones {
			if j.Desc.Zone == "" || j.Desc.Zone == z {
				room[z] += 0.001 // any zone counts a little, one with machines more
			}
		}
	}
	for _, h := range f.table.All() {
		if _, ok := room[h.Zone]; ok && h.Type != nil && h.Type.Runs(j.Desc) && (j.Desc.Spot || !h.Spot) {
			room[h.Zone] += h.Type.CPUs
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
	if j.Desc.OneZone {
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
	for _, h := range f.table.All() {
		if h.Up {
			f.Adopt(h)
		}
	}
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
				h := f.table.Learn(l.ID, l.Addr, l.Build, l.Zone, l.Spot)
				if h == nil {
					continue // returned; the list lags
				}
				m := f.machines[l.ID]
				if m == nil {
					m = &machine{id: l.ID, kind: kind{l.Build, l.Zone, l.Spot},
						rented: asked - time.Duration(l.AgeS*float64(time.Second))}
					f.machines[l.ID] = m
				}
				m.addr, m.listed = l.Addr, true
				if l.Phase == "failed" && !m.failed {
					m.failed = true
					f.giveBack(m, "failed")
				}
			}
			if reply.HasNext && len(reply.Hosts) > 0 {
				page(reply.Hosts[len(reply.Hosts)-1].ID)
				return
			}
			f.vanished(seen, asked)
			f.listed = true
			again(tuning.ListEvery)
		})
	}
	page("")
}

// vanished forgets machines that the list no longer has: returned by us, or
// taken by the cloud. They are returned once more, which is the proof that
// all on them is gone; a list alone can be old.
func (f *Fleet) vanished(seen map[string]bool, asked time.Duration) {
	for id, m := range f.machines {
		if seen[id] || !m.listed {
			continue
		}
		h := f.table.Get(id)
		if h == nil || asked-h.Heard > tuning.DeadAfter/2 {
			f.giveBack(m, "no longer listed")
		}
	}
}

// Adopt notes a machine that reports without having been rented in this term.
func (f *Fleet) Adopt(h *agents.Host) {
	if f.machines[h.ID] == nil {
		f.machines[h.ID] = &machine{id: h.ID, addr: h.Addr, kind: kind{h.Build, h.Zone, h.Spot}, rented: f.rt.Now()}
	}
}

func (f *Fleet) giveBack(m *machine, why string) {
	if m.release {
		return
	}
	m.release, m.why = true, why
	if h := f.table.Get(m.id); h != nil && h.Draining == "" {
		h.Draining = why
	}
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

// judge decides which machines go back.
func (f *Fleet) judge() {
	now := f.rt.Now()
	up, silent := 0, 0
	for _, h := range f.table.All() {
		if h.Up {
			up++
			if now-max(h.Heard, f.begun) > tuning.DeadAfter {
				silent++
			}
		}
	}
	if up > 0 && now-max(f.table.Heard(), f.begun) > tuning.DeafAfter {
		// Not one report: it is this node that is cut off, not every
		// machine that has died.
		f.Lost()
		return
	}
	for _, m := range f.machines {
		h := f.table.Get(m.id)
		switch {
		case m.release:
		case h == nil || !h.Up:
			t := f.Type(m.kind.build)
			boot := 60.0
			if t != nil {
				boot = t.BootS
			}
			limit := time.Duration(boot*tuning.BootFactor*float64(time.Second)) + tuning.BootSlack
			if now-max(m.rented, f.begun-limit) > limit && now-f.begun > tuning.BootSlack {
				f.giveBack(m, "never booted")
			}
		case h.Notice > 0 && now > h.Notice-tuning.NoticeReserve:
			f.giveBack(m, "taken by the cloud")
		case now-max(h.Heard, f.begun) > tuning.DeadAfter && silent*2 <= up:
			f.giveBack(m, "silent")
		case h.Draining != "" && len(h.Tasks) == 0 && h.Notice == 0:
			f.giveBack(m, h.Draining)
		case h.Notice > 0 && len(h.Tasks) == 0 && h.Stray == 0:
			f.giveBack(m, "taken by the cloud")
		case len(h.Tasks) == 0 && h.Stray == 0 && now-h.Idle > f.set.IdleKeep() && now-f.begun > f.set.IdleKeep()/2:
			f.giveBack(m, "idle")
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
		if h := f.table.Get(m.id); h != nil && (m.why == "idle") && len(h.Tasks) > 0 {
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
					f.table.Returned(id)
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

// room is what a machine has left for the tasks that wait.
type room struct {
	kind                kind
	cpus, cards, memory float64
}

func (r *room) take(t *work.Task) bool {
	d := t.Job.Desc
	if d.CPUs > r.cpus+1e-9 || d.Cards > r.cards+1e-9 || d.MemoryGB > r.memory+1e-9 || !allowed(t, r.kind) {
		return false
	}
	r.cpus -= d.CPUs
	r.cards -= d.Cards
	r.memory -= d.MemoryGB
	return true
}

func allowed(t *work.Task, k kind) bool {
	return placement.Allowed(t, &agents.Host{Build: k.build, Zone: k.zone, Spot: k.spot})
}

// rent asks for machines for the tasks that neither fit on the machines there
// are nor on those that boot.
func (f *Fleet) rent(term int) {
	if f.hiring > 0 || f.types == nil {
		return
	}
	now := f.rt.Now()
	var rooms []*room
	for _, m := range f.machines {
		if m.release {
			continue
		}
		h, t := f.table.Get(m.id), f.Type(m.kind.build)
		switch {
		case t == nil:
		case h == nil || !h.Up:
			rooms = append(rooms, &room{m.kind, t.CPUs, t.Cards, t.MemoryGB})
		case f.table.Open(h):
			c, g, mem := h.Free()
			rooms = append(rooms, &room{m.kind, c, g, mem})
		}
	}
	var unmet []*work.Task
	for _, t := range f.Waiting() {
		if now < t.Job.NotBefore {
			continue
		}
		if !slices.ContainsFunc(rooms, func(r *room) bool { return r.take(t) }) {
			unmet = append(unmet, t)
		}
	}
	for try := 0; try < 2 && len(unmet) > 0; try++ {
		k, n, rest := f.choose(unmet, now)
		if n == 0 {
			unmet = slices.DeleteFunc(unmet, func(t *work.Task) bool { return t.Job == unmet[0].Job })
			continue
		}
		if !f.afford() {
			return
		}
		f.counter++
		f.hire(term, hire{fmt.Sprintf("r-%d-%d", f.office.Token(), f.counter), k.build, k.zone, k.spot, n}, 0)
		unmet = rest
	}
}

// choose finds the kind of machine that does the waiting work, beginning with
// the first task, at the least price, and how many of it are wanted.
func (f *Fleet) choose(unmet []*work.Task, now time.Duration) (best kind, number int, rest []*work.Task) {
	bestCost := 0.0
	for i := range f.types {
		t := &f.types[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := kind{t.Label, zone, spot}
				if now < f.pauses[k] || !t.Runs(unmet[0].Job.Desc) || !allowed(unmet[0], k) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				used, _ := fill(k, t, unmet)
				if cost := price / max(used, 1e-3); number == 0 || cost < bestCost {
					best, bestCost, number = k, cost, 1
				}
			}
		}
	}
	if number == 0 {
		return best, 0, unmet
	}
	t := f.Type(best.build)
	least, rest := fill(best, t, unmet)
	for number < tuning.HireMax && len(rest) > 0 {
		used, left := fill(best, t, rest)
		if used < least/2 || used == 0 {
			break
		}
		number, rest = number+1, left
	}
	return best, number, rest
}

// fill tells how many processors of an empty machine the tasks would use, and
// which tasks are left over.
func fill(k kind, t *jobs.MachineType, tasks []*work.Task) (used float64, rest []*work.Task) {
	r := room{k, t.CPUs, t.Cards, t.MemoryGB}
	for _, task := range tasks {
		if r.take(task) {
			used += max(task.Job.Desc.CPUs, task.Job.Desc.MemoryGB/t.MemoryGB*t.CPUs)
		} else {
			rest = append(rest, task)
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
