// Package fleet rents machines for the work that waits, and returns those
// that are idle, broken or about to be taken.
package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/url"
	"slices"
	"strconv"
	"time"

	"lemonmoor/internal/agents"
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

// Kind is a kind of machine that can be rented.
type Kind struct {
	Build, Zone string
	Spot        bool
}

// Before orders kinds.
func (k Kind) Before(o Kind) bool {
	if k.Build != o.Build {
		return k.Build < o.Build
	}
	if k.Zone != o.Zone {
		return k.Zone < o.Zone
	}
	return k.Spot && !o.Spot
}

// machine is a rented machine as the cloud knows it.
type machine struct {
	id      string
	block   int
	addr    string
	kind    Kind
	rented  time.Duration
	listed  bool
	booting bool          // by the newest list
	running time.Duration // since when lists have said so, 0: they do not
	missed  int           // lists in a row without it, after it was listed
	failed  bool
	release bool // to be returned
	asked   bool // the request is under way
	why     string
	drain   string // why its owner is asked to keep tasks off it
	state   HostState
	known   bool          // there is one
	idle    time.Duration // since when it has had no tasks
}

// word is the newest that a block's owner has told.
type word struct {
	token, seq uint64
	heard      time.Duration
	since      time.Duration // when this owner was first heard, without a gap
	any        bool
}

// hire is a rental request; its name is used for this request alone.
type hire struct {
	Name   string `json:"hire"`
	Build  string `json:"build"`
	Zone   string `json:"yard"`
	Spot   bool   `json:"loaners"`
	Number int    `json:"number"`
}

func (h hire) kind() Kind { return Kind{h.Build, h.Zone, h.Spot} }

// HostState is what a block's owner tells of a machine.
type HostState struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Build  string `json:"build"`
	Zone   string `json:"zone"`
	Spot   bool   `json:"spot"`
	Up     bool   `json:"up"`   // its worker has reported
	Open   bool   `json:"open"` // takes tasks
	IdleMS int64  `json:"idleMs,omitempty"`
	Busy   bool   `json:"busy,omitempty"` // has, or may have, tasks
	Back   string `json:"back,omitempty"` // why it should be returned now
}

// Digest is an owner's word on its block: all machines, or those of which
// something has changed since the word before.
type Digest struct {
	Node  string      `json:"node"`
	Block int         `json:"block"`
	Token uint64      `json:"token"`
	Seq   uint64      `json:"seq"`
	Full  bool        `json:"full,omitempty"`
	Lit   []string    `json:"lit,omitempty"` // zones that it has heard from just now
	Hosts []HostState `json:"hosts"`
}

// Recall asks an owner to give waiting tasks of a job back.
type Recall struct {
	Job    string `json:"job"`
	Number int    `json:"number"`
}

// Address is where a machine's worker takes orders.
type Address struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// Reply is the leader's answer to a digest.
type Reply struct {
	Full  bool     `json:"full,omitempty"` // a word is missing: tell all
	Drain []string `json:"drain,omitempty"`
	// Machines are those that the owner has not heard of, to a full word.
	Machines []Address `json:"machines,omitempty"`
	Returned []string  `json:"returned,omitempty"` // gone, with all on them
	Recall   []Recall  `json:"recall,omitempty"`
}

// Room is a machine that takes tasks or is about to.
type Room struct {
	Kind
	Host    string
	Block   int
	Type    *jobs.MachineType
	Booting bool
	// Ready is how long it should still boot.
	Ready time.Duration
}

// Could tells whether the machine may run a task of the job at all.
func (r *Room) Could(d *jobs.Description, zone string) bool {
	return r.Type.Runs(d) && (d.Zone == "" || d.Zone == r.Zone) && (zone == "" || zone == r.Zone) && (d.Spot || !r.Spot)
}

// Need is tasks of a job for which there is no room.
type Need struct {
	Desc   *jobs.Description
	Zone   string // fixed at hand-out, "" for any
	Number int
	// Rank is the job's place in the order in which work is handed out.
	Rank int
	// Behind is tasks of the job that the team's limit holds back: they cannot
	// use more machines now, but are part of the queue.
	Behind int
	// Aims is how many seconds they can still wait for each of the users' aims
	// that is not missed yet, without the one for work within a guarantee.
	Aims []float64
}

// patience is how long the tasks can wait for the next aim that a machine which is
// there after so many seconds can still meet; most if there is none. An aim that
// will be missed or met before a machine could be up is no reason to rent one:
// counted as one, jobs of five seconds had hundreds rented for the first minute.
func (n *Need) patience(ready, most float64) float64 {
	for _, left := range n.Aims {
		if left > ready {
			most = min(most, left)
		}
	}
	return most
}

// cpus is what a task takes of a machine type, its memory counted as the
// processors that go with it.
func (n *Need) cpus(t *jobs.MachineType) float64 {
	return max(n.Desc.CPUs, n.Desc.MemoryGB/t.MemoryGB*t.CPUs)
}

// Load is what the tasks placed on a machine take.
type Load struct {
	CPUs float64
	// Movable is the processors of tasks that could run on any spot machine.
	Movable float64
	// ByPriority divides CPUs among the priorities of the tasks.
	ByPriority [jobs.Production + 1]float64
}

// Below is the processors taken by tasks of a lower priority.
func (l *Load) Below(p jobs.Priority) float64 {
	sum := 0.0
	for _, cpus := range l.ByPriority[:p] {
		sum += cpus
	}
	return sum
}

const slack = 1e-9 // sums of decimal amounts are not exact

// Fleet is the leader's view of the cloud.
type Fleet struct {
	// LoadOf tells what the tasks placed on a machine take.
	LoadOf func(host string) Load

	rt     engine.Runtime
	addr   string
	office Office
	set    *settings.Settings
	log    *slog.Logger

	types    []jobs.MachineType
	machines map[string]*machine
	returned map[string]time.Duration // when
	pauses   map[Kind]time.Duration
	needs    []Need
	movable  *jobs.Description        // see Want
	peak     float64                  // processors of such work, the most of late
	least    [2]float64               // and the least, in this window and the one before
	turned   time.Duration            // when this window began
	peaked   time.Duration            // when that was last looked at
	wanting  time.Duration            // since when spot machines would be cheaper, 0: they would not
	words    []word                   // by block
	news     [][]string               // by block: returned since the owner's last word
	lit      map[string]time.Duration // by zone: when an owner last heard from it
	running  map[string]int           // by zone: machines that should report
	darkAt   map[string]time.Duration // by zone: when it was last cut off
	counter  uint64
	term     int
	begun    time.Duration
	since    time.Duration // when this node could begin to act, this time
	listed   bool          // the machine list has been read in this term
	stalled  time.Duration // when there was last work that could not be handed out for want of changes
	flying   map[string]hire
	tokens   float64
	filled   time.Duration
}

// New returns a fleet that speaks to the cloud at addr.
func New(rt engine.Runtime, addr string, office Office, set *settings.Settings, log *slog.Logger) *Fleet {
	return &Fleet{rt: rt, addr: addr, office: office, set: set, log: log,
		machines: map[string]*machine{}, returned: map[string]time.Duration{}, pauses: map[Kind]time.Duration{},
		LoadOf: func(string) Load { return Load{} },
		flying: map[string]hire{}, words: make([]word, set.Blocks()), news: make([][]string, set.Blocks()),
		lit: map[string]time.Duration{}, running: map[string]int{}, darkAt: map[string]time.Duration{}}
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
	zones := f.AllZones(d)
	if d.OneZone {
		return zones[:min(1, len(zones))]
	}
	return zones[:min(2, len(zones))]
}

// AllZones lists the zones where a job may run, those with the most machines
// first.
func (f *Fleet) AllZones(d *jobs.Description) []string {
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
	f.Rooms(func(r *Room) {
		if r.Could(d, "") {
			room[r.Zone] += r.Type.CPUs
		}
	})
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
	return zones
}

// Begin starts a term.
func (f *Fleet) Begin() {
	f.term++
	f.begun = f.rt.Now()
	f.since = f.begun
	f.listed, f.counter, f.stalled = false, 0, 0
	clear(f.machines)
	clear(f.flying)
	clear(f.words)
	clear(f.pauses)
	clear(f.lit)
	clear(f.running)
	clear(f.darkAt)
	f.needs, f.movable, f.wanting, f.peak, f.least = nil, nil, 0, 0, [2]float64{}
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
	f.tokens = min(max(1, rate*tuning.CloudBurst.Seconds()), f.tokens+rate*(now-f.filled).Seconds())
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
					m = &machine{id: l.ID, kind: Kind{l.Build, l.Zone, l.Spot}, block: work.BlockOf(l.ID, len(f.words)),
						rented: asked - time.Duration(l.AgeS*float64(time.Second))}
					f.machines[l.ID] = m
				}
				m.addr, m.listed, m.missed = l.Addr, true, 0
				if m.booting = l.Phase == "booting"; m.booting {
					m.running = 0
				} else if m.running == 0 {
					m.running = f.rt.Now()
				}
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

// fresh tells whether the owner's word on a machine is new enough. Words come
// every second, whatever the workers' pace.
func (f *Fleet) fresh(m *machine) bool {
	w := &f.words[m.block]
	return m.known && w.any && f.rt.Now()-w.heard < tuning.DigestStale
}

// unheard tells whether a machine that the lists call running has not reported
// to its owner, which has been there for long enough. One that died before its
// first report, or while the controllers were down, counted as booting for ever,
// and nothing was rented in its place.
func (f *Fleet) unheard(m *machine) bool {
	w, now := &f.words[m.block], f.rt.Now()
	return !m.known && m.running > 0 && w.any && now-w.heard < tuning.DigestStale &&
		now-max(w.since, m.running, f.since) > f.set.DeadAfter()
}

// silence is how long no owner has heard from a zone.
func (f *Fleet) silence(zone string) time.Duration { return f.rt.Now() - max(f.lit[zone], f.since) }

// dark tells whether a zone is cut off from the owners, though others are not.
// Its machines are no room and none are rented there; see tuning.DarkKeep.
func (f *Fleet) dark(zone string) bool {
	at, was := f.darkAt[zone] // stays so while any machine there is left
	if was = was && f.rt.Now()-at < tuning.DarkAfter; !was && !f.set.Dark(f.running[zone], f.silence(zone)) {
		return false
	}
	if f.silence(zone) <= tuning.DarkAfter {
		return false
	}
	for other := range f.lit {
		if f.silence(other) <= tuning.DarkAfter {
			return true
		}
	}
	return false
}

// spared tells whether a silent machine is kept because its zone is cut off.
// Those that may have urgent tasks on them are not, if the zone is a small part
// of all: then others can be had in their place.
func (f *Fleet) spared(m *machine) bool {
	zone := m.kind.Zone
	if !f.dark(zone) {
		// Back again, its machines have time to report: judged at the first
		// sign of life, most were returned just then.
		at, was := f.darkAt[zone]
		return was && f.rt.Now()-at < f.set.DeadAfter()
	}
	if f.silence(zone) > tuning.DarkKeep {
		return false
	}
	all := 0
	for _, n := range f.running {
		all += n
	}
	return m.state.Back != agents.SilentUrgent || float64(f.running[zone]) > tuning.DarkSmall*float64(all)
}

// silent tells whether a machine's owner wants it back because it is silent.
func (m *machine) silent() bool {
	return m.state.Back == agents.Silent || m.state.Back == agents.SilentUrgent
}

// Hear takes an owner's digest. Machines in it that were not rented in this
// term are adopted.
func (f *Fleet) Hear(d *Digest) Reply {
	var r Reply
	now := f.rt.Now()
	w := &f.words[d.Block]
	if w.any && (d.Token < w.token || (d.Token == w.token && d.Seq <= w.seq)) {
		// Held back on its way. A machine in it, returned long ago, counted as
		// room for ever: nothing was rented for tasks that waited for it.
		return r
	}
	if !d.Full && (!w.any || w.token != d.Token || d.Seq != w.seq+1) {
		r.Full = true // what it tells is true, but something is missing
	} else {
		since := w.since
		if !w.any || w.token != d.Token || now-w.heard > tuning.DigestStale {
			since = now
		}
		*w = word{d.Token, d.Seq, now, since, true}
	}
	for _, zone := range d.Lit {
		f.lit[zone] = now
	}
	// A word whose answer is lost is followed by a full one, which asks for
	// these anew.
	r.Returned, f.news[d.Block] = f.news[d.Block], nil
	var there map[string]bool
	if d.Full {
		there = make(map[string]bool, len(d.Hosts))
	}
	for _, s := range d.Hosts {
		if there != nil {
			there[s.ID] = s.Up
		}
		if _, gone := f.returned[s.ID]; gone {
			r.Returned = append(r.Returned, s.ID)
			continue
		}
		m := f.machines[s.ID]
		if m == nil {
			if !s.Up {
				continue // known from a record only
			}
			m = &machine{id: s.ID, rented: now, block: d.Block}
			f.machines[s.ID] = m
		}
		if s.Up {
			m.addr, m.kind = s.Addr, Kind{s.Build, s.Zone, s.Spot}
		}
		// A new owner knows some machines from their records only, until
		// they report to it: that makes none of them one that never booted.
		m.state, m.known = s, m.known || s.Up
		m.idle = now - time.Duration(s.IdleMS)*time.Millisecond
		if s.Back != "" && !m.silent() { // judge sees to those
			f.giveBack(m, s.Back)
		}
	}
	if d.Full && !f.listed {
		r.Full = true // tell all once more, when the machines are known
	}
	for id, m := range f.machines {
		switch {
		case m.block != d.Block:
		case there != nil && !there[id]:
			m.state.Open = false // it has not reported to this owner yet
			if m.addr != "" && !m.release && !m.booting {
				r.Machines = append(r.Machines, Address{id, m.addr})
			}
		case m.drain != "" && m.known && m.state.Open:
			r.Drain = append(r.Drain, id)
		}
	}
	return r
}

// Rooms calls fn for the machines that take tasks or are about to.
func (f *Fleet) Rooms(fn func(*Room)) {
	var r Room
	for _, m := range f.machines {
		t := f.Type(m.kind.Build)
		if t == nil || m.release || m.failed || m.drain != "" {
			continue
		}
		if m.known && (!f.fresh(m) || !m.state.Open) || f.unheard(m) || f.dark(m.kind.Zone) {
			continue
		}
		r = Room{Kind: m.kind, Host: m.id, Block: m.block, Type: t, Booting: !m.known}
		if r.Booting {
			r.Ready = max(0, m.rented+bootTime(t)-f.rt.Now())
		}
		fn(&r)
	}
	// Machines whose rental is under way: their names, and so their blocks,
	// will be spread evenly.
	for _, h := range f.flying {
		t := f.Type(h.Build)
		for i := 0; t != nil && i < h.Number; i++ {
			r = Room{Kind: h.kind(), Block: i % len(f.words), Type: t, Booting: true, Ready: bootTime(t)}
			fn(&r)
		}
	}
}

// Stalled tells that there is room for work which the state service's limits keep from
// being handed out: idle machines are about to be used.
func (f *Fleet) Stalled() { f.stalled = f.rt.Now() }

// Want tells for which tasks there is no room, and of which job most runs that could
// as well run on spot machines, nil if there is none.
func (f *Fleet) Want(needs []Need, movable *jobs.Description) {
	// A need waits behind the work that goes before it, and that only. Tasks that are
	// queued already come first in the list, whatever their rank: services, which may
	// use no spot machines, were taken to wait behind all of the arrays, and small jobs
	// behind the largest, and hundreds of ordinary machines were rented for them.
	slices.SortStableFunc(needs, func(a, b Need) int { return cmp.Compare(a.Rank, b.Rank) })
	f.needs, f.movable = needs, movable
}

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
		f.since = f.rt.Now()
		return
	}
	f.judge()
	f.release(term)
	if f.listed {
		f.rent(term)
		f.exchange(term)
	}
}

// judge decides which machines go back beside those that their owners give
// back.
func (f *Fleet) judge() {
	now := f.rt.Now()
	machines, idle := 0, 0
	clear(f.running)
	for _, m := range f.machines {
		if !m.release && !m.failed && (m.known || m.running > 0) {
			f.running[m.kind.Zone]++
		}
		if m.known && !m.release {
			machines++
			if m.idles(f) {
				idle++
			}
		}
	}
	for zone := range f.running {
		if f.dark(zone) {
			if _, was := f.darkAt[zone]; !was || now-f.darkAt[zone] > f.set.DeadAfter() {
				f.log.Info("zone is cut off", "zone", zone, "machines", f.running[zone])
			}
			f.darkAt[zone] = now
		}
	}
	spare := max(tuning.SpareLeast, int(tuning.Spare*float64(machines)))
	for _, m := range f.machines {
		if m.release {
			continue
		}
		if !m.known {
			boot := 60.0
			if t := f.Type(m.kind.Build); t != nil {
				boot = t.BootS
			}
			limit := time.Duration(boot*tuning.BootFactor*float64(time.Second)) + tuning.BootSlack
			switch {
			case f.unheard(m) && !f.spared(m):
				f.giveBack(m, "does not report")
			case m.booting && now-m.rented > limit && now-f.begun > tuning.BootSlack:
				f.giveBack(m, "never booted")
			case !m.listed && f.listed && now-max(m.rented, f.begun) > limit+2*f.set.ListLag()+tuning.BootSlack:
				// Taken by the cloud before any list had it: it counted as booting,
				// and so as room, for ever.
				f.giveBack(m, "never listed")
			}
			continue
		}
		if m.silent() && !f.spared(m) {
			f.giveBack(m, m.state.Back)
		}
		keep := f.set.IdleKeep()
		if t := f.Type(m.kind.Build); t != nil && !m.kind.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
			// Kept ready as long as a spot machine would be for the money.
			keep = time.Duration(float64(keep) * max(t.SpotPrice/t.Price, tuning.IdleLeast))
		}
		if idle > spare {
			// After a burst most are idle at once: so many are not soon needed.
			keep = min(keep, time.Duration(float64(f.set.IdleKeep())*tuning.IdleLeast))
		}
		// Idle in an outage, when nothing could be handed out, says nothing of
		// what is needed: most machines went back just when it was over.
		if m.idles(f) && now-max(m.idle, f.since) > keep && !(f.stalled > 0 && now-f.stalled < tuning.StallKeep) && !(f.awaited(m) && now-m.idle < tuning.GangKeep) {
			m.drain = "idle" // its owner agrees, then gives it back
			idle--
		}
	}
	for id, at := range f.returned {
		if now-at > tuning.ForgetReturned {
			delete(f.returned, id)
		}
	}
}

// awaited tells whether a gang waits for machines of which this is one: it needs
// several at a time, and they may come one by one.
func (f *Fleet) awaited(m *machine) bool {
	for i := range f.needs {
		n := &f.needs[i]
		if r := f.empty(m.kind); n.Desc.Gang() && n.Number > 0 && r.Type != nil && r.Could(n.Desc, n.Zone) {
			return true
		}
	}
	return false
}

// idles tells whether a machine takes tasks and has none.
func (m *machine) idles(f *Fleet) bool {
	return m.drain == "" && f.fresh(m) && m.state.Open && !m.state.Busy
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
					b := work.BlockOf(id, len(f.words))
					f.news[b] = append(f.news[b], id)
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

// bootTime is how long a machine of a type should take to boot.
func bootTime(t *jobs.MachineType) time.Duration {
	return time.Duration(t.BootS * float64(time.Second))
}

// capacity is the machines of a kind, up or booting.
type capacity struct {
	cpus    float64 // of all of them
	used    Load    // what their tasks take
	booting []bootingCPUs
}

// bootingCPUs is processors that come up after a while, in seconds.
type bootingCPUs struct{ cpus, ready float64 }

// work is what the machines can do of a need's work within so many seconds, in seconds
// of a processor. What runs there of its priority and above takes half of a task on the
// average until it ends; machines that boot fetch its image, and have their first tasks
// already.
func (c *capacity) work(n *Need, fetch, within float64) float64 {
	up := c.cpus
	sum := 0.0
	for _, b := range c.booting {
		up -= b.cpus
		sum += b.cpus * max(0, within-b.ready-fetch-n.Desc.EstimateS)
	}
	below := c.used.Below(n.Desc.Priority())
	busy := c.used.CPUs - below
	return sum + max(0, up-below)*within - busy*min(within, n.Desc.EstimateS/2)
}

// servable is the work that can be done of a need's priority until it has waited for so
// many seconds, on the machines that could run it, up or booting.
func (f *Fleet) servable(n *Need, have capacities, within float64) float64 {
	sum := 0.0
	for kind, c := range have {
		if room := f.empty(kind); room.Type != nil && room.Could(n.Desc, n.Zone) {
			sum += max(0, c.work(n, f.ready(n, room.Type)-room.Type.BootS, within))
		}
	}
	return sum
}

// add counts a machine, or several that boot together.
func (c *capacity) add(cpus float64, booting bool, ready time.Duration) {
	c.cpus += cpus
	if booting {
		c.booting = append(c.booting, bootingCPUs{cpus, ready.Seconds()})
	}
}

// capacities is the machines by kind.
type capacities map[Kind]*capacity

// at is the entry of a kind, made when it is first asked for.
func (c capacities) at(kind Kind) *capacity {
	if c[kind] == nil {
		c[kind] = &capacity{}
	}
	return c[kind]
}

// capacities sums up the machines by kind.
func (f *Fleet) capacities() capacities {
	sums := capacities{}
	f.Rooms(func(r *Room) {
		c := sums.at(r.Kind)
		c.add(r.Type.CPUs, r.Booting, r.Ready)
		load := f.LoadOf(r.Host)
		c.used.CPUs += load.CPUs
		for priority, cpus := range load.ByPriority {
			c.used.ByPriority[priority] += cpus
		}
	})
	return sums
}

// available is the processors that a need can count on: those of the machines that
// could run it, without what runs work of lower priority there, which does not come
// free at the pace of this work. Lower work on other machines does not count: taken
// off all the same, it left less than nothing for services that may use ordinary
// machines only, and a hundred of these were rented for a single replica.
func (f *Fleet) available(n *Need, have capacities) float64 {
	sum := 0.0
	for kind, c := range have {
		if room := f.empty(kind); room.Type != nil && room.Could(n.Desc, n.Zone) {
			sum += max(0, c.cpus-c.used.Below(n.Desc.Priority()))
		}
	}
	return sum
}

// rent asks for machines for the tasks that have no room. Each need waits
// behind those before it; machines are rented while that wait, at the pace of
// the machines that could do the work, is longer than the users' aims leave.
func (f *Fleet) rent(term int) {
	if f.types == nil || f.rt.Now()-f.begun < tuning.DigestEvery*2 {
		return
	}
	have := f.capacities()
	behind := map[string]float64{} // by team, as queued
	for i := range f.needs {
		n := &f.needs[i]
		behind[n.Desc.Team] += float64(n.Behind) * n.Desc.CPUs * max(n.Desc.EstimateS, 1)
	}
	// First all that is wanted, then the calls: a call for each need was small,
	// and calls are few.
	var order []Kind
	wanted := map[Kind]int{}
	var before float64 // seconds of one processor, of the needs so far
	var coming []Room  // machines wanted for gangs in this look, with what is left of them
	for i := range f.needs {
		n := &f.needs[i]
		if n.Desc.Gang() && n.Number > 0 {
			if k, number := f.forGang(n, wanted, &coming); number > 0 {
				if wanted[k] == 0 {
					order = append(order, k)
				}
				have.at(k).add(float64(number)*f.Type(k.Build).CPUs, true, bootTime(f.Type(k.Build)))
				wanted[k] += number
			}
			continue
		}
		before += float64(n.Number) * n.Desc.CPUs * max(n.Desc.EstimateS, 1)
		queued := before + behind[n.Desc.Team]
		for n.Number > 0 {
			k, number := f.choose(n, queued, have, f.needs[i:], wanted)
			if number == 0 {
				break
			}
			if wanted[k] == 0 {
				order = append(order, k)
			}
			have.at(k).add(float64(number)*f.Type(k.Build).CPUs, true, bootTime(f.Type(k.Build)))
			wanted[k] += number
		}
	}
	for _, k := range order {
		for left := wanted[k]; left > 0; left -= tuning.HireMax {
			if !f.afford() {
				return
			}
			f.counter++
			f.hire(term, hire{fmt.Sprintf("r-%d-%d", f.office.Lead(), f.counter), k.Build, k.Zone, k.Spot, min(left, tuning.HireMax)}, 0)
		}
	}
}

// choose finds the kind of machine that does the waiting work at the least
// price, and how many of it are wanted; none if the work can wait. queued is
// the work up to this need, have the machines that there are or will be.
func (f *Fleet) choose(n *Need, queued float64, have capacities, needs []Need, wanted map[Kind]int) (best Kind, number int) {
	now := f.rt.Now()
	cpus := f.available(n, have)
	bestCost, bestWait := math.Inf(1), 0.0
	for i := range f.types {
		t := &f.types[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := Kind{t.Label, zone, spot}
				if now < f.pauses[k] || f.dark(zone) || wanted[k] >= tuning.HireAhead || !f.empty(k).Could(n.Desc, n.Zone) {
					continue
				}
				price, wait := t.Price, f.wait(n, t, tuning.MissedPatience)
				if spot {
					price, wait = t.SpotPrice, f.wait(n, t, tuning.PatienceMost)
				}
				if cpus > 0 && (queued/cpus <= wait || !spot && f.inTime(n, t, queued, have)) {
					continue
				}
				// Large machines are all that large tasks have; at about the
				// same price small tasks go to small ones.
				cost := price / max(n.Desc.CPUs*math.Floor(t.CPUs/n.cpus(t)+slack), 1e-3) * (1 + tuning.LargeDear*math.Log2(max(1, t.CPUs)))
				if cost < bestCost {
					best, bestCost, bestWait = k, cost, wait
				}
			}
		}
	}
	if math.IsInf(bestCost, 1) {
		return best, 0
	}
	t := f.Type(best.Build)
	number = int(math.Ceil((queued/bestWait - cpus) / t.CPUs))
	// No more than the tasks from here on fill.
	fill := 0.0
	for i := range needs {
		if m := &needs[i]; f.empty(best).Could(m.Desc, m.Zone) {
			fill += float64(m.Number) * m.cpus(t)
		}
	}
	return best, max(1, min(number, int(math.Ceil(fill/t.CPUs)), tuning.HireAhead-wanted[best]))
}

// inTime tells whether the machines that there are, up or booting, do the work up to a
// need before the next of its aims that a new machine of a type could still meet. Dear
// machines are rented only if they do not.
func (f *Fleet) inTime(n *Need, t *jobs.MachineType, queued float64, have capacities) bool {
	patience := n.patience(f.ready(n, t), tuning.MissedPatience.Seconds())
	return queued <= tuning.DearQueue*f.servable(n, have, patience)
}

// forGang finds the kind of machine, and how many, that hold all tasks of a gang
// at the least price; none if machines that are wanted already have the room. It
// cannot wait for room to come free bit by bit.
func (f *Fleet) forGang(n *Need, wanted map[Kind]int, coming *[]Room) (best Kind, number int) {
	left := n.Number
	var filled []int // tasks on each of those that are coming
	for i := range *coming {
		k := 0
		if r := &(*coming)[i]; left > 0 && f.empty(r.Kind).Could(n.Desc, n.Zone) {
			k = min(left, tasksOn(r.Type, n.Desc))
		}
		filled = append(filled, k)
		left -= k
	}
	take := func(r *Room, k int) {
		r.Type.CPUs -= float64(k) * n.Desc.CPUs
		r.Type.Cards -= float64(k) * n.Desc.Cards
		r.Type.MemoryGB -= float64(k) * n.Desc.MemoryGB
	}
	if left <= 0 {
		for i, k := range filled {
			take(&(*coming)[i], k)
		}
		return best, 0
	}
	now, bestCost := f.rt.Now(), math.Inf(1)
	for i := range f.types {
		t := &f.types[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k, each := Kind{t.Label, zone, spot}, tasksOn(t, n.Desc)
				if now < f.pauses[k] || f.dark(zone) || each == 0 || !f.empty(k).Could(n.Desc, n.Zone) {
					continue
				}
				// Machines belong to blocks by their names, in turn, and a gang
				// stays in one block if it can.
				want := (n.Number + each - 1) / each
				if want > 1 {
					want *= len(f.words)
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				if cost := price * float64(want) * (1 + tuning.GangFew*float64(want-1)); cost < bestCost && wanted[k]+want <= tuning.HireAhead {
					best, number, bestCost = k, want, cost
				}
			}
		}
	}
	left = n.Number
	for range number {
		t := *f.Type(best.Build)
		r := Room{Kind: best, Type: &t}
		k := min(left, tasksOn(&t, n.Desc))
		take(&r, k)
		left -= k
		*coming = append(*coming, r)
	}
	return best, number
}

// tasksOn tells how many tasks of a job fit on a machine.
func tasksOn(t *jobs.MachineType, d *jobs.Description) int {
	n := math.MaxInt32
	for _, x := range [...]struct{ need, left float64 }{{d.CPUs, t.CPUs}, {d.Cards, t.Cards}, {d.MemoryGB, t.MemoryGB}} {
		if x.need > 0 {
			n = min(n, int(math.Floor((x.left+slack)/x.need)))
		}
	}
	return max(n, 0)
}

// Rentable tells whether machines for a job can be had in a zone now, as far as
// is known.
func (f *Fleet) Rentable(d *jobs.Description, zone string) bool {
	for i := range f.types {
		t := &f.types[i]
		for _, spot := range []bool{true, false} {
			k := Kind{t.Label, zone, spot}
			if slices.Contains(t.Zones, zone) && f.rt.Now() >= f.pauses[k] && !f.dark(zone) && f.empty(k).Could(d, zone) {
				return true
			}
		}
	}
	return false
}

// ready is how many seconds it takes until a new machine of a type can run a need: its
// boot and the fetch of the image.
func (f *Fleet) ready(n *Need, t *jobs.MachineType) float64 {
	if t.PullRate > 0 {
		return t.BootS + n.Desc.ImageGB/t.PullRate
	}
	return t.BootS
}

// wait is how many seconds a queue may take before a machine of a type is worth its
// boot for a need; most bounds the patience of one that has no aim left.
func (f *Fleet) wait(n *Need, t *jobs.MachineType, most time.Duration) float64 {
	ready := f.ready(n, t)
	return max(tuning.RentBacklog*t.BootS, tuning.PatienceShare*(n.patience(ready, most.Seconds())-ready))
}

// empty is a machine of a kind with nothing on it.
func (f *Fleet) empty(k Kind) *Room { return &Room{Kind: k, Type: f.Type(k.Build)} }

// hire sends a rental request until its answer is known; repeated, it rents
// nothing more.
func (f *Fleet) hire(term int, h hire, try int) {
	body, err := json.Marshal(h)
	if err != nil {
		return
	}
	f.flying[h.Name] = h
	f.rt.Call(f.addr, httpwire.Call{Method: "POST", Target: "/rentals", Body: body}, tuning.CloudTimeout,
		func(ans httpwire.Answer, err error) {
			if term != f.term {
				return // machines it brings turn up in reports and in the list
			}
			delete(f.flying, h.Name)
			k := h.kind()
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
						f.machines[id] = &machine{id: id, kind: k, rented: f.rt.Now(), block: work.BlockOf(id, len(f.words))}
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
				f.flying[h.Name] = h
				pause := min(time.Second<<min(try, 3), 8*time.Second)
				f.rt.After(time.Duration(float64(pause)*(0.5+f.rt.Rand())), func() {
					if term != f.term {
						return
					}
					f.hire(term, h, try+1)
				})
			}
		})
}
