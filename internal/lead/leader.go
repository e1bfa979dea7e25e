// Package lead is the leader's duty: it hands tasks out to the blocks of
// machines, by image and by room and within the teams' limits, calls waiting
// ones back for blocks with idle machines, and writes the end of a job.
package lead

import (
	"encoding/json"
	"log/slog"
	"slices"
	"sort"
	"time"

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
	within    bool
	cancelled bool
	zones     []string
	next      int            // first task never handed out
	back      []int          // returned by a block and not handed out again
	attempts  map[int]uint64 // last attempts of those
	number    int            // of the next record
	open      int            // handed out, neither done nor returned
	placed    int            // of those, on machines
	done      int
	waiting   [tuning.Blocks]int // of those, in the blocks' queues
	ending    bool
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
type usage struct{ cpus, cards, cpusMax, cardsMax float64 }

// load is what the tasks placed on a machine take.
type load struct{ cpus, cards, memory float64 }

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

	term    int // grows with every lead won; late answers of old ones are dropped
	token   uint64
	loaded  bool
	plans   map[string]*plan
	order   []*plan
	resort  bool
	usage   map[string]*usage
	loads   map[string]*load
	pending map[string]*work.Record // handed out, not seen in the store yet
	ends    []*plan
	stale   []string
	flying  bool
	wanted  bool
	timed   bool
	last    time.Duration
	recalls map[int]map[string]int // by block and job
}

// New returns a leader without the lead.
func New(rt engine.Runtime, led *ledger.Client, office *ledger.Office, cat *intake.Catalog, store *work.Store,
	fl *fleet.Fleet, set *settings.Settings, log *slog.Logger) *Leader {
	l := &Leader{rt: rt, led: led, office: office, cat: cat, store: store, fleet: fl, set: set, log: log}
	l.End()
	return l
}

// End forgets everything: the lead is lost.
func (l *Leader) End() {
	l.term++
	l.token, l.loaded, l.flying, l.timed = 0, false, false, false
	l.plans, l.order, l.ends, l.stale = map[string]*plan{}, nil, nil, nil
	l.usage, l.loads = map[string]*usage{}, map[string]*load{}
	l.pending, l.recalls = map[string]*work.Record{}, map[int]map[string]int{}
	for _, t := range l.set.Deployment.Teams {
		l.usage[t.Name] = &usage{cpusMax: t.CPUsMax, cardsMax: t.GPUsMax}
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
	latest := map[string]map[int]*work.Record{}
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
		if latest[r.Job] == nil {
			latest[r.Job] = map[int]*work.Record{}
		}
		for _, i := range r.Index {
			if o := latest[r.Job][i]; o == nil || o.Number < r.Number {
				latest[r.Job][i] = r
			}
		}
	})
	for id, of := range latest {
		p := l.plans[id]
		for i, r := range of {
			if r.Returned[i] {
				p.back = append(p.back, i)
				p.attempts[i] = r.Attempts[i]
			}
		}
		slices.Sort(p.back)
	}
	for _, p := range l.plans {
		l.over(p)
	}
	l.wanted = true
	l.log.Info("lead begins", "token", l.token, "jobs", len(l.plans))
}

func (l *Leader) add(e *intake.Entry) *plan {
	p := &plan{e: e, desc: e.Job, within: l.cat.Within(e), attempts: map[int]uint64{}}
	l.plans[e.ID] = p
	l.order = append(l.order, p)
	l.resort = true
	return p
}

func (l *Leader) forget(p *plan) {
	delete(l.plans, p.e.ID)
	l.order = slices.DeleteFunc(l.order, func(o *plan) bool { return o == p })
}

// count adds a record to the sums, or takes it off.
func (l *Leader) count(p *plan, r *work.Record, sign int) {
	s := float64(sign)
	u := l.usage[p.desc.Team]
	for _, i := range r.Index {
		if r.Returned[i] {
			continue
		}
		if r.Done[i] {
			p.done += sign
			continue
		}
		p.open += sign
		if u != nil {
			u.cpus += s * p.desc.CPUs
			u.cards += s * p.desc.Cards
		}
		at, placed := r.Placed[i]
		if !placed {
			if r.Block < tuning.Blocks {
				p.waiting[r.Block] += sign
			}
			continue
		}
		p.placed += sign
		h := l.loads[at.Host]
		if h == nil {
			h = &load{}
			l.loads[at.Host] = h
		}
		h.cpus += s * p.desc.CPUs
		h.cards += s * p.desc.Cards
		h.memory += s * p.desc.MemoryGB
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

// RecordChanged takes note of what a block's owner, or this leader, has
// committed.
func (l *Leader) RecordChanged(old, now *work.Record) {
	if !l.loaded {
		return
	}
	l.wanted = true
	r := now
	if r == nil {
		r = old
	}
	p := l.plans[r.Job]
	if v := l.pending[r.Key]; v != nil && now != nil {
		delete(l.pending, r.Key)
		if p != nil {
			l.count(p, v, -1)
		}
	}
	if p == nil {
		return
	}
	if old != nil {
		l.count(p, old, -1)
	}
	if now != nil {
		l.count(p, now, 1)
		for i := range now.Returned {
			if old == nil || !old.Returned[i] {
				p.back = append(p.back, i)
				p.attempts[i] = now.Attempts[i]
			}
		}
		if old != nil && len(now.Returned) > len(old.Returned) {
			slices.Sort(p.back)
		}
	}
	l.over(p)
}

// over queues a job's end once nothing of it is left to run.
func (l *Leader) over(p *plan) {
	if p.ending {
		return
	}
	if p.cancelled {
		if p.placed > 0 {
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
	if wait := l.last + tuning.RoundPause - now; wait > 0 && l.last > 0 {
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

// end writes the end of one job.
func (l *Leader) end() bool {
	for len(l.ends) > 0 {
		p := l.ends[0]
		l.ends = l.ends[1:]
		if l.plans[p.e.ID] != p {
			continue
		}
		if p.cancelled {
			if l.clearCancelled(p) {
				return true
			}
			continue
		}
		if !l.complete(p) {
			p.ending = false
			continue
		}
		l.finish(p)
		return true
	}
	return false
}

// complete counts the done tasks once more, each by its number: a job is never
// called done before all of its tasks are.
func (l *Leader) complete(p *plan) bool {
	done := make(map[int]bool, p.desc.Tasks)
	for _, r := range l.store.OfJob(p.e.ID) {
		for i := range r.Done {
			done[i] = true
		}
	}
	return len(done) == p.desc.Tasks
}

// finish commits the phase that the job's user will be told, and with it the
// removal of the job's records.
func (l *Leader) finish(p *plan) {
	id := p.e.ID
	e := l.cat.Get(id)
	if e == nil || e.Phase != "" {
		p.ending = false
		return
	}
	value, err := json.Marshal(intake.Record{Phase: intake.Done, At: e.At, Tasks: p.desc.Tasks})
	if err != nil {
		l.log.Error("job record does not encode", "err", err)
		return
	}
	apply := []ledger.Change{{Set: intake.Prefix + id, Value: value}}
	for key := range l.store.OfJob(id) {
		if len(apply) < l.set.Deployment.State.TxnOps {
			apply = append(apply, ledger.Change{Remove: key})
		}
	}
	l.commit([]ledger.Guard{{Key: intake.Prefix + id, Stamp: e.Stamp}}, apply, func(r ledger.Result) {
		p.ending = false
		switch r.Outcome {
		case ledger.OK:
			l.cat.Learn(id, value, r.Epoch)
		case ledger.Refused:
			l.later(0, func() { l.over(p) })
		default:
			// Cancelled in the meantime, or carried out unseen.
			term := l.term
			l.cat.Check(func(error) {
				if term == l.term && l.plans[id] == p {
					l.over(p)
				}
			})
		}
	})
}

// clearCancelled removes the records of a cancelled job. Their stamps guard
// against a placement that its owner commits at the same time.
func (l *Leader) clearCancelled(p *plan) bool {
	for _, v := range l.pending {
		if v.Job == p.e.ID {
			p.ending = false // looked at again when the record shows up
			return false
		}
	}
	var guards []ledger.Guard
	var apply []ledger.Change
	for key, r := range l.store.OfJob(p.e.ID) {
		if len(apply) < l.set.Deployment.State.TxnOps {
			guards = append(guards, ledger.Guard{Key: key, Stamp: r.Stamp})
			apply = append(apply, ledger.Change{Remove: key})
		}
	}
	if len(apply) == 0 {
		l.forget(p)
		return false
	}
	l.commit(guards, apply, func(r ledger.Result) {
		p.ending = false
		term := l.term
		l.later(1, func() {
			l.store.Check(func(error) {
				if term == l.term && l.plans[p.e.ID] == p {
					l.over(p)
				}
			})
		})
	})
	return true
}

// sweep removes records of jobs that are over.
func (l *Leader) sweep() {
	var apply []ledger.Change
	for len(l.stale) > 0 && len(apply) < min(l.set.Deployment.State.TxnOps, max(1, int(l.set.Deployment.State.WriteRPS/3))) {
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
		l.later(3, func() {})
	})
}

// before orders plans as the owners order jobs.
func before(a, b *plan) bool {
	if p, q := a.desc.Priority(), b.desc.Priority(); p != q {
		return p > q
	}
	if a.within != b.within {
		return a.within
	}
	if a.e.At != b.e.At {
		return a.e.At < b.e.At
	}
	return a.e.ID < b.e.ID
}

// Progress tells how many tasks of a job are done and on machines; any node
// knows that from the records.
func Progress(store *work.Store, id string) (done, running int) {
	for _, r := range store.OfJob(id) {
		done += len(r.Done)
		running += len(r.Placed)
	}
	return done, running
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
