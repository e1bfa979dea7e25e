// Package lead is the leader's duty: it hands tasks out to the blocks of
// machines, by image and by room and within the teams' limits, calls waiting
// ones back for blocks with idle machines, and writes the end of a job.
package lead

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"sort"
	"strings"
	"time"

	"lemonmoor/internal/agents"
	"lemonmoor/internal/engine"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/intake"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/ledger"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// plan is a job as the leader sees it.
type plan struct {
	e         *intake.Entry
	desc      *jobs.Description
	rank      jobs.Rank
	cancelled bool
	zones     []string
	next      int            // first task never handed out
	back      []int          // returned by a block and not handed out again
	attempts  map[int]uint64 // last attempts of those
	number    int            // of the next record
	open      int            // handed out, neither done nor returned
	placed    int            // of those, on machines
	done      int
	waiting   []int // of those, in the blocks' queues
	ending    bool
	starved   bool          // waits for its first task for too long
	place     int           // in the order at the latest hand-out
	torn      time.Duration // a gang: since when only a part of it has come back
	handed    time.Duration // a gang: when it was last handed out
}

// left tells how many tasks are not handed out.
func (p *plan) left() int { return len(p.back) + p.desc.Tasks - p.next }

// nth is the task k places behind the next to hand out.
func (p *plan) nth(k int) int {
	if k < len(p.back) {
		return p.back[k]
	}
	return p.next + k - len(p.back)
}

// first is the next task to hand out.
func (p *plan) first() int {
	if len(p.back) > 0 {
		return p.back[0]
	}
	return p.next
}

// usage is what a team's open tasks take, and may take.
type usage struct {
	cpus, cards, cpusMax, cardsMax float64
	urgent                         float64       // processors of those of urgent jobs
	kept                           float64       // processors kept under the limit for urgent jobs
	at                             time.Duration // when that was last looked at
}

// load is what the tasks placed on a machine take.
type load struct {
	tasks               int
	cpus, cards, memory float64
	movable             float64 // processors of those that any spot machine could have
	byPriority          [jobs.Production + 1]float64
}

// movable tells whether a job's tasks can as well run on spot machines.
func movable(d *jobs.Description) bool {
	return d.Spot && !d.Service() && !d.Gang() && d.Builds == nil && d.Zone == "" && !d.OneZone && !d.Spread
}

// cache is what a machine caches, as far as this leader has seen tasks placed
// there.
type cache struct {
	images agents.Cache
	kind   *jobs.MachineType // nil until the machine is known
	seen   time.Duration     // when it last was
}

// Leader hands out work while this process holds the lead.
type Leader struct {
	rt     engine.Runtime
	led    *ledger.Client
	office *ledger.Office
	cat    *intake.Catalog
	store  *work.Store
	fleet  *fleet.Fleet
	set    *settings.Settings
	log    *slog.Logger

	term     int // grows with every lead won; late answers of old ones are dropped
	token    uint64
	loaded   bool
	plans    map[string]*plan
	order    []*plan
	resort   bool
	usage    map[string]*usage
	loads    map[string]*load
	pending  map[string]*work.Record // handed out, not seen in the store yet
	ends     []*plan
	stale    []string // records to remove
	swept    time.Duration
	flying   bool
	wanted   bool
	timed    bool
	last     time.Duration
	recalls  map[int]map[string]int // by block and job
	images   map[string][]int       // tasks placed, by image and block
	caches   map[string]*cache      // what the machines cache, by their names
	alone    bool                   // after a failed guard, one end a commit
	pause    time.Duration          // between two hand-outs
	expected map[string]*expected   // gangs to come, by class
	pruned   time.Duration          // when machines long gone were last forgotten
}

// New returns a leader without the lead.
func New(rt engine.Runtime, led *ledger.Client, office *ledger.Office, cat *intake.Catalog, store *work.Store,
	fl *fleet.Fleet, set *settings.Settings, log *slog.Logger) *Leader {
	l := &Leader{rt: rt, led: led, office: office, cat: cat, store: store, fleet: fl, set: set, log: log}
	l.End()
	fl.LoadOf = func(host string) fleet.Load {
		if h := l.loads[host]; h != nil {
			return fleet.Load{CPUs: h.cpus, Movable: h.movable, ByPriority: h.byPriority}
		}
		return fleet.Load{}
	}
	return l
}

// End forgets everything: the lead is lost.
func (l *Leader) End() {
	l.term++
	l.token, l.loaded, l.flying, l.timed = 0, false, false, false
	l.plans, l.order, l.ends, l.stale = map[string]*plan{}, nil, nil, nil
	l.usage, l.loads = map[string]*usage{}, map[string]*load{}
	l.pending, l.recalls = map[string]*work.Record{}, map[int]map[string]int{}
	l.images, l.caches, l.expected = map[string][]int{}, map[string]*cache{}, map[string]*expected{}
	for _, t := range l.set.Deployment.Teams {
		l.usage[t.Name] = &usage{cpusMax: t.CPUsMax, cardsMax: t.GPUsMax, kept: tuning.KeptShare * t.CPUsMax, at: l.rt.Now()}
	}
}

// IsLoaded tells whether the leader knows all work.
func (l *Leader) IsLoaded() bool { return l.loaded }

// Begin starts a term: earlier leaders' commits fail from now on, so the
// records proven to be current are all that has been handed out.
func (l *Leader) Begin(token uint64) {
	l.End()
	l.token = token
	l.read(l.term, 0)
}

func (l *Leader) read(term, try int) {
	retry := func() {
		l.rt.After(l.led.Backoff(try), func() {
			if term == l.term {
				l.read(term, try+1)
			}
		})
	}
	l.store.Check(func(err error) {
		if term != l.term {
			return
		}
		if err != nil {
			retry()
			return
		}
		l.cat.Check(func(err error) {
			switch {
			case term != l.term:
			case err != nil:
				retry()
			default:
				l.build()
			}
		})
	})
}

func (l *Leader) build() {
	l.loaded = true
	l.cat.Open(func(e *intake.Entry) { l.add(e) })
	l.store.All(func(r *work.Record) {
		p := l.plans[r.Job]
		if p == nil {
			if e := l.cat.Get(r.Job); e != nil && e.Phase == intake.Cancelled && e.Job != nil {
				p = l.add(e)
				p.cancelled = true
			} else {
				l.stale = append(l.stale, r.Key)
				return
			}
		}
		l.count(p, r, 1)
		p.number = max(p.number, r.Number+1)
		p.next = max(p.next, r.Index[len(r.Index)-1]+1)
		if len(r.Zones) > 0 {
			p.zones = r.Zones
		}
	})
	for _, p := range l.plans {
		l.givenBack(p)
		if p.desc.Gang() && p.open == 0 && p.done == 0 {
			p.zones = nil // all of it is off its machines: it may go elsewhere
		}
		if p.desc.Gang() {
			l.expect(p)
		}
	}
	for _, p := range l.plans {
		l.over(p)
	}
	l.wanted = true
	l.log.Info("lead begins", "token", l.token, "jobs", len(l.plans))
}

// givenBack finds the tasks of a job that its newest records give back.
func (l *Leader) givenBack(p *plan) {
	records := make([]*work.Record, 0, 4)
	for _, r := range l.store.OfJob(p.e.ID) {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *work.Record) int { return cmp.Compare(a.Number, b.Number) })
	for _, r := range records {
		for k, i := range r.Index {
			// A task may have been given back more than once.
			if m := r.Marks[k]; m.State == work.Returned {
				p.attempts[i] = m.Attempt
			} else {
				delete(p.attempts, i)
			}
		}
	}
	for i := range p.attempts {
		p.back = append(p.back, i)
	}
	slices.Sort(p.back)
}

func (l *Leader) add(e *intake.Entry) *plan {
	p := &plan{e: e, desc: e.Job, rank: jobs.NewRank(e.Job, e.At, l.cat.Within(e)), attempts: map[int]uint64{}, waiting: make([]int, l.set.Blocks())}
	l.plans[e.ID] = p
	l.order = append(l.order, p)
	l.resort = true
	return p
}

func (l *Leader) forget(p *plan) {
	delete(l.plans, p.e.ID)
	l.order = slices.DeleteFunc(l.order, func(o *plan) bool { return o == p })
}

// count adds a record's tasks to the sums, or takes them off.
func (l *Leader) count(p *plan, r *work.Record, sign int) {
	for _, m := range r.Marks {
		l.mark(p, r.Block, m, sign)
	}
}

// mark adds a task to the sums, or takes it off.
func (l *Leader) mark(p *plan, block int, m work.Mark, sign int) {
	switch m.State {
	case work.Returned:
		return
	case work.Done:
		p.done += sign
		return
	}
	s := float64(sign)
	p.open += sign
	if u := l.usage[p.desc.Team]; u != nil {
		u.cpus += s * p.desc.CPUs
		u.cards += s * p.desc.Cards
		if p.desc.Priority() >= jobs.High {
			u.urgent += s * p.desc.CPUs
		}
	}
	if m.State != work.Placed {
		if block < len(p.waiting) {
			p.waiting[block] += sign
		}
		return
	}
	p.placed += sign
	h := l.loads[m.Host]
	if h == nil {
		h = &load{}
		l.loads[m.Host] = h
	}
	h.tasks += sign
	h.cpus += s * p.desc.CPUs
	h.byPriority[p.desc.Priority()] += s * p.desc.CPUs
	if movable(p.desc) {
		h.movable += s * p.desc.CPUs
	}
	h.cards += s * p.desc.Cards
	h.memory += s * p.desc.MemoryGB
	if h.tasks == 0 {
		delete(l.loads, m.Host)
	}
	if sign > 0 {
		of := l.images[p.desc.Image]
		if of == nil {
			of = make([]int, l.set.Blocks())
			l.images[p.desc.Image] = of
		}
		if block < len(of) {
			of[block]++
		}
		c := l.caches[m.Host]
		if c == nil {
			c = &cache{}
			l.caches[m.Host] = c
		}
		c.images.Use(p.desc.Image, p.desc.ImageGB, c.kind)
	}
}

// JobChanged takes note of a new or ended job.
func (l *Leader) JobChanged(e *intake.Entry) {
	if !l.loaded {
		return
	}
	p := l.plans[e.ID]
	l.wanted = true
	switch {
	case e.Phase == "" && p == nil:
		l.add(e)
	case e.Phase == intake.Cancelled && p != nil:
		p.cancelled = true
		l.over(p)
	case e.Phase == intake.Done && p != nil:
		l.forget(p)
		for key := range l.store.OfJob(e.ID) {
			l.stale = append(l.stale, key)
		}
	}
}

// RecordAdded takes note of a record that this leader, or an earlier one, has
// made.
func (l *Leader) RecordAdded(r *work.Record) {
	if !l.loaded {
		return
	}
	l.wanted = true
	p := l.plans[r.Job]
	if v := l.pending[r.Key]; v != nil {
		delete(l.pending, r.Key)
		if p != nil {
			l.count(p, v, -1)
		}
	}
	if p != nil {
		l.count(p, r, 1)
		l.over(p)
	} else if e := l.cat.Get(r.Job); e != nil && e.Phase != "" {
		// A hand-out that was carried out once more after its job was over.
		l.stale = append(l.stale, r.Key)
	}
}

// RecordRemoved takes note of a record that is over.
func (l *Leader) RecordRemoved(r *work.Record) {
	if !l.loaded {
		return
	}
	l.wanted = true
	if p := l.plans[r.Job]; p != nil {
		l.count(p, r, -1)
		l.over(p)
	}
}

// TaskMoved takes note of what a block's owner has logged.
func (l *Leader) TaskMoved(r *work.Record, k int, was work.Mark) {
	if !l.loaded {
		return
	}
	p := l.plans[r.Job]
	if p == nil {
		return
	}
	l.wanted = true
	now := r.Marks[k]
	l.mark(p, r.Block, was, -1)
	l.mark(p, r.Block, now, 1)
	if now.State == work.Returned && !p.cancelled {
		if i, there := slices.BinarySearch(p.back, r.Index[k]); !there {
			p.back = slices.Insert(p.back, i, r.Index[k])
		}
		p.attempts[r.Index[k]] = now.Attempt
	}
	if p.open == 0 {
		l.over(p)
	}
}

// over queues a job's end once nothing of it is left to run.
func (l *Leader) over(p *plan) {
	if p.ending {
		return
	}
	if p.cancelled {
		// Its owner has to write every task off before the record may go: a
		// placement that is on its way to the state service would be lost.
		if p.open > 0 {
			return
		}
	} else if p.desc.Service() || p.done < p.desc.Tasks || p.open > 0 {
		return
	}
	p.ending = true
	l.ends = append(l.ends, p)
}

// Wake makes the next Settle look at everything again.
func (l *Leader) Wake() { l.wanted = true }

// Settle hands out and commits what is due.
func (l *Leader) Settle() {
	if !l.loaded || !l.office.Valid() || l.flying || (!l.wanted && len(l.ends) == 0 && len(l.stale) == 0) {
		return
	}
	if l.end() {
		return
	}
	now := l.rt.Now()
	if wait := l.last + l.pause - now; wait > 0 && l.last > 0 {
		if !l.timed {
			l.timed = true
			term := l.term
			l.rt.After(wait, func() {
				if term == l.term {
					l.timed = false
				}
			})
		}
		return
	}
	l.last = now
	if l.wanted {
		l.wanted = false
		if l.handOut() {
			return
		}
	}
	l.sweep()
}

// commit sends changes under the guard of the lead.
func (l *Leader) commit(guards []ledger.Guard, apply []ledger.Change, fn func(ledger.Result)) {
	term := l.term
	guards = append([]ledger.Guard{{Key: ledger.LeadKey, Stamp: l.token}}, guards...)
	l.flying = true
	l.led.Commit(guards, apply, func(r ledger.Result) {
		if term != l.term {
			return
		}
		l.flying = false
		if r.Outcome == ledger.Conflict && slices.Contains(r.Failed, ledger.LeadKey) {
			// The watch will say who leads; until then nothing more is sent.
			l.flying = true
			l.office.Verify(func() {
				if term == l.term {
					l.Begin(l.token)
				}
			})
			return
		}
		l.wanted = true
		fn(r)
	})
}

// later lets a refused commit rest before anything else is sent.
func (l *Leader) later(try int, fn func()) {
	term := l.term
	l.flying = true
	l.rt.After(l.led.Backoff(try), func() {
		if term == l.term {
			l.flying = false
			fn()
		}
	})
}

// end writes the ends of jobs, several in a commit.
func (l *Leader) end() bool {
	var guards []ledger.Guard
	var apply []ledger.Change
	var ended []*plan
	most := l.led.Ops()
	rest := l.ends[:0:0]
	for n, p := range l.ends {
		if l.plans[p.e.ID] != p {
			continue
		}
		if len(apply) == most || (len(apply) > 0 && l.alone) {
			rest = append(rest, l.ends[n:]...)
			break
		}
		g, a := l.finish(p, most-len(apply))
		if len(a) == 0 {
			continue
		}
		guards, apply, ended = append(guards, g...), append(apply, a...), append(ended, p)
	}
	l.ends = rest
	if len(apply) == 0 {
		return false
	}
	l.commit(guards, apply, func(r ledger.Result) {
		l.alone = r.Outcome == ledger.Conflict
		for _, p := range ended {
			p.ending = false
		}
		switch r.Outcome {
		case ledger.OK:
			for _, a := range apply {
				if id, ok := strings.CutPrefix(a.Set, intake.Prefix); ok {
					l.cat.Learn(id, a.Value, r.Epoch)
				}
			}
			for _, p := range ended {
				l.log.Debug("job over", "job", p.e.ID, "class", p.desc.Class, "tasks", p.desc.Tasks, "cancelled", p.cancelled,
					"age_s", float64(l.rt.Wall().UnixMilli()-p.e.At)/1000)
				if l.plans[p.e.ID] == p && p.cancelled {
					l.recheck(p)
				}
			}
		case ledger.Refused:
			l.later(0, func() {
				for _, p := range ended {
					l.over(p)
				}
			})
		default:
			// Cancelled in the meantime, or carried out unseen.
			for _, p := range ended {
				l.recheck(p)
			}
		}
	})
	return true
}

// recheck looks at a job again when the copies are proven to be current.
func (l *Leader) recheck(p *plan) {
	term := l.term
	l.store.Check(func(error) {
		l.cat.Check(func(error) {
			if term == l.term && l.plans[p.e.ID] == p {
				l.over(p)
			}
		})
	})
}

// finish gives the changes that end a job. Of a job that is done it is the phase
// that its user will be told; its records are removed when there is time for it:
// in one commit with them the ends of a backlog took the changes of twenty
// seconds, and nothing was handed out meanwhile. Of a cancelled one it is the
// removal of its records, as many as a commit takes. The tasks of a job are
// counted once more, each by its number: a job is never called done before all of
// its tasks are.
func (l *Leader) finish(p *plan, most int) (guards []ledger.Guard, apply []ledger.Change) {
	id := p.e.ID
	records := l.store.OfJob(id)
	for _, v := range l.pending {
		if v.Job == id {
			p.ending = false // looked at again when the record shows up
			return nil, nil
		}
	}
	if !p.cancelled {
		done := make(map[int]bool, p.desc.Tasks)
		for _, r := range records {
			for k, i := range r.Index {
				if r.Marks[k].State == work.Done {
					done[i] = true
				}
			}
		}
		e := l.cat.Get(id)
		if len(done) != p.desc.Tasks || e == nil || e.Phase != "" {
			p.ending = false
			return nil, nil
		}
		value, err := json.Marshal(intake.Record{Phase: intake.Done, At: e.At, Tasks: p.desc.Tasks})
		if err != nil {
			l.log.Error("job record does not encode", "err", err)
			return nil, nil
		}
		p.ending = true
		return []ledger.Guard{{Key: intake.Prefix + id, Stamp: e.Stamp}}, []ledger.Change{{Set: intake.Prefix + id, Value: value}}
	} else if len(records) == 0 {
		l.forget(p)
		return nil, nil
	}
	for key, r := range records {
		if len(apply) == most {
			break
		}
		guards = append(guards, ledger.Guard{Key: key, Stamp: r.Stamp})
		apply = append(apply, ledger.Change{Remove: key})
	}
	p.ending = true
	return guards, apply
}

// sweep removes records of jobs that are over, a part of the changes at a time.
func (l *Leader) sweep() {
	now := l.rt.Now()
	if len(l.stale) == 0 || now-l.swept < tuning.SweepEvery {
		return
	}
	l.swept = now
	var apply []ledger.Change
	state := &l.set.Deployment.State
	most := min(l.led.Ops(), max(1, int(state.WriteRPS*l.led.Rate()*tuning.SweepShare*tuning.SweepEvery.Seconds())))
	for len(l.stale) > 0 && len(apply) < most {
		key := l.stale[0]
		l.stale = l.stale[1:]
		if l.store.Get(key) != nil {
			apply = append(apply, ledger.Change{Remove: key})
		}
	}
	if len(apply) == 0 {
		return
	}
	l.commit(nil, apply, func(r ledger.Result) {
		if r.Outcome != ledger.OK {
			for _, c := range apply {
				l.stale = append(l.stale, c.Remove)
			}
		}
	})
}

// before orders plans as the owners order jobs.
func before(a, b *plan) bool {
	if a.starved != b.starved {
		return a.starved
	}
	return a.rank.Before(&b.rank)
}

// Recalls takes what a block is asked to give back.
func (l *Leader) Recalls(block int) []fleet.Recall {
	var list []fleet.Recall
	for job, n := range l.recalls[block] {
		list = append(list, fleet.Recall{Job: job, Number: n})
	}
	delete(l.recalls, block)
	sort.Slice(list, func(i, k int) bool { return list[i].Job < list[k].Job })
	return list
}
