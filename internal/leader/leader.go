// Package leader is the leader's duty: it hands tasks out to the blocks of
// machines, by image and by room and within the teams' limits, calls waiting
// ones back for blocks with idle machines, and writes the end of a job.
package leader

import (
	"cmp"
	"log/slog"
	"slices"
	"sort"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// Leader hands out work while this process holds the lead.
type Leader struct {
	rt     eventloop.Runtime
	state  *statestore.Client
	leases *statestore.LeaseManager
	cat    *userapi.Catalog
	store  *taskstate.Store
	fleet  *fleet.Fleet
	set    *settings.Settings
	log    *slog.Logger

	term     int // grows with every lead won; late answers of old ones are dropped
	token    uint64
	loaded   bool
	plans    map[string]*jobState
	order    []*jobState
	resort   bool
	usage    map[string]*usage
	loads    map[string]*load
	pending  map[string]*taskstate.Record // handed out, not seen in the store yet
	ends     []*jobState
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
func New(rt eventloop.Runtime, state *statestore.Client, leases *statestore.LeaseManager, cat *userapi.Catalog, store *taskstate.Store,
	fl *fleet.Fleet, set *settings.Settings, log *slog.Logger,
) *Leader {
	l := &Leader{rt: rt, state: state, leases: leases, cat: cat, store: store, fleet: fl, set: set, log: log}
	l.EndTerm()
	fl.LoadOf = func(host string) fleet.MachineLoad {
		if h := l.loads[host]; h != nil {
			return fleet.MachineLoad{CPUs: h.cpus, Movable: h.movable, Services: h.services, ByPriority: h.byPriority}
		}
		return fleet.MachineLoad{}
	}
	return l
}

// EndTerm forgets everything: the lead is lost.
func (l *Leader) EndTerm() {
	l.term++
	l.token, l.loaded, l.flying, l.timed = 0, false, false, false
	l.plans, l.order, l.ends, l.stale = map[string]*jobState{}, nil, nil, nil
	l.usage, l.loads = map[string]*usage{}, map[string]*load{}
	l.pending, l.recalls = map[string]*taskstate.Record{}, map[int]map[string]int{}
	l.images, l.caches, l.expected = map[string][]int{}, map[string]*cache{}, map[string]*expected{}
	for _, t := range l.set.Deployment.Teams {
		l.usage[t.Name] = &usage{cpusMax: t.CPUsMax, cardsMax: t.GPUsMax, kept: tuning.MaxUrgentReserveShare * t.CPUsMax, at: l.rt.Now()}
	}
}

// IsLoaded tells whether the leader knows all work.
func (l *Leader) IsLoaded() bool { return l.loaded }

// BeginTerm starts a term: earlier leaders' commits fail from now on, so the
// records proven to be current are all that has been handed out.
func (l *Leader) BeginTerm(token uint64) {
	l.EndTerm()
	l.token = token
	l.read(l.term, 0)
}

func (l *Leader) read(term, try int) {
	retry := func() {
		l.rt.After(l.state.Backoff(try), func() {
			if term == l.term {
				l.read(term, try+1)
			}
		})
	}
	l.store.Verify(func(err error) {
		if term != l.term {
			return
		}
		if err != nil {
			retry()
			return
		}
		l.cat.Verify(func(err error) {
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
	l.cat.EachUnfinished(func(e *userapi.Entry) { l.add(e) })
	l.store.EachRecord(func(r *taskstate.Record) {
		p := l.plans[r.Job]
		if p == nil {
			if e := l.cat.Get(r.Job); e != nil && e.Phase == userapi.PhaseCancelled && e.Spec != nil {
				p = l.add(e)
				p.cancelled = true
			} else {
				l.stale = append(l.stale, r.Key)
				return
			}
		}
		l.count(p, r, 1)
		p.number = max(p.number, r.Number+1)
		p.next = max(p.next, r.TaskIndexes[len(r.TaskIndexes)-1]+1)
		if len(r.Zones) > 0 {
			p.zones = r.Zones
		}
	})
	for _, p := range l.plans {
		l.givenBack(p)
		if p.desc.IsGang() && p.open == 0 && p.done == 0 {
			p.zones = nil // all of it is off its machines: it may go elsewhere
		}
		if p.desc.IsGang() {
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
func (l *Leader) givenBack(p *jobState) {
	records := make([]*taskstate.Record, 0, 4)
	for _, r := range l.store.JobRecords(p.e.ID) {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *taskstate.Record) int { return cmp.Compare(a.Number, b.Number) })
	for _, r := range records {
		for k, i := range r.TaskIndexes {
			// A task may have been given back more than once.
			if m := r.Statuses[k]; m.State == taskstate.StateReturned {
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

func (l *Leader) add(e *userapi.Entry) *jobState {
	p := &jobState{e: e, desc: e.Spec, rank: jobs.NewRank(e.Spec, e.SubmittedMS, l.cat.WithinQuota(e)), attempts: map[int]uint64{}, waiting: make([]int, l.set.ShardCount())}
	l.plans[e.ID] = p
	l.order = append(l.order, p)
	l.resort = true
	return p
}

func (l *Leader) forget(p *jobState) {
	delete(l.plans, p.e.ID)
	l.order = slices.DeleteFunc(l.order, func(o *jobState) bool { return o == p })
}

// JobChanged takes note of a new or ended job.
func (l *Leader) JobChanged(e *userapi.Entry) {
	if !l.loaded {
		return
	}
	p := l.plans[e.ID]
	l.wanted = true
	switch {
	case e.Phase == "" && p == nil:
		l.add(e)
	case e.Phase == userapi.PhaseCancelled && p != nil:
		p.cancelled = true
		l.over(p)
	case e.Phase == userapi.PhaseDone && p != nil:
		l.forget(p)
		for key := range l.store.JobRecords(e.ID) {
			l.stale = append(l.stale, key)
		}
	}
}

// RecordAdded takes note of a record that this leader, or an earlier one, has
// made.
func (l *Leader) RecordAdded(r *taskstate.Record) {
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
func (l *Leader) RecordRemoved(r *taskstate.Record) {
	if !l.loaded {
		return
	}
	l.wanted = true
	if p := l.plans[r.Job]; p != nil {
		l.count(p, r, -1)
		l.over(p)
	}
}

// TaskStatusChanged takes note of what a block's owner has logged.
func (l *Leader) TaskStatusChanged(r *taskstate.Record, k int, was taskstate.TaskStatus) {
	if !l.loaded {
		return
	}
	p := l.plans[r.Job]
	if p == nil {
		return
	}
	l.wanted = true
	now := r.Statuses[k]
	l.mark(p, r.Shard, was, -1)
	l.mark(p, r.Shard, now, 1)
	if now.State == taskstate.StateReturned && !p.cancelled {
		if i, there := slices.BinarySearch(p.back, r.TaskIndexes[k]); !there {
			p.back = slices.Insert(p.back, i, r.TaskIndexes[k])
		}
		p.attempts[r.TaskIndexes[k]] = now.Attempt
	}
	if p.open == 0 {
		l.over(p)
	}
}

// RequestRound makes the next Settle look at everything again.
func (l *Leader) RequestRound() { l.wanted = true }

// AfterBatch hands out and commits what is due.
func (l *Leader) AfterBatch() {
	if !l.loaded || !l.leases.LeaseValid() || l.flying || (!l.wanted && len(l.ends) == 0 && len(l.stale) == 0) {
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
func (l *Leader) commit(guards []statestore.Condition, apply []statestore.Operation, fn func(statestore.CommitResult)) {
	term := l.term
	guards = append([]statestore.Condition{{Key: statestore.LeaderKey, Revision: l.token}}, guards...)
	l.flying = true
	l.state.Commit(guards, apply, func(r statestore.CommitResult) {
		if term != l.term {
			return
		}
		l.flying = false
		if r.Outcome == statestore.OutcomeConflict && slices.Contains(r.FailedKeys, statestore.LeaderKey) {
			// The watch will say who leads; until then nothing more is sent.
			l.flying = true
			l.leases.Refresh(func() {
				if term == l.term {
					l.BeginTerm(l.token)
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
	l.rt.After(l.state.Backoff(try), func() {
		if term == l.term {
			l.flying = false
			fn()
		}
	})
}

// TakeRecalls takes what a block is asked to give back.
func (l *Leader) TakeRecalls(block int) []fleet.Recall {
	var list []fleet.Recall
	for job, n := range l.recalls[block] {
		list = append(list, fleet.Recall{Job: job, Tasks: n})
	}
	delete(l.recalls, block)
	sort.Slice(list, func(i, k int) bool { return list[i].Job < list[k].Job })
	return list
}
