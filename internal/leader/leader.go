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
	runtime     eventloop.Runtime
	state  *statestore.Client
	leases *statestore.LeaseManager
	catalog    *userapi.Catalog
	records  *taskstate.Store
	fleet  *fleet.Fleet
	settings    *settings.Settings
	log    *slog.Logger

	term     int // grows with every lead won; late answers of old ones are dropped
	token    uint64
	loaded   bool
	jobs    map[string]*jobState
	ordered    []*jobState
	needsSort   bool
	teams    map[string]*teamUsage
	machineLoads    map[string]*machineLoad
	pendingRecords  map[string]*taskstate.Record // handed out, not seen in the store yet
	endings     []*jobState
	obsoleteRecords    []string // records to remove
	collectedAt    time.Duration
	commitBlocked   bool
	roundRequested   bool
	roundScheduled    bool
	lastRoundAt     time.Duration
	recalls  map[int]map[string]int // by block and job
	placementsByImage   map[string][]int       // tasks placed, by image and block
	caches   map[string]*machineCache      // what the machines cache, by their names
	endSingly    bool                   // after a failed guard, one end a commit
	roundInterval    time.Duration          // between two hand-outs
	expectedGangs map[string]*gangClass   // gangs to come, by class
	cachesPrunedAt   time.Duration          // when machines long gone were last forgotten
}

// New returns a leader without the lead.
func New(rt eventloop.Runtime, state *statestore.Client, leases *statestore.LeaseManager, cat *userapi.Catalog, store *taskstate.Store,
	fl *fleet.Fleet, set *settings.Settings, log *slog.Logger,
) *Leader {
	l := &Leader{runtime: rt, state: state, leases: leases, catalog: cat, records: store, fleet: fl, settings: set, log: log}
	l.EndTerm()
	fl.LoadOf = func(host string) fleet.MachineLoad {
		if h := l.machineLoads[host]; h != nil {
			return fleet.MachineLoad{CPUs: h.cpus, Movable: h.movableCPUs, Services: h.serviceCPUs, ByPriority: h.cpusByPriority}
		}
		return fleet.MachineLoad{}
	}
	return l
}

// EndTerm forgets everything: the lead is lost.
func (l *Leader) EndTerm() {
	l.term++
	l.token, l.loaded, l.commitBlocked, l.roundScheduled = 0, false, false, false
	l.jobs, l.ordered, l.endings, l.obsoleteRecords = map[string]*jobState{}, nil, nil, nil
	l.teams, l.machineLoads = map[string]*teamUsage{}, map[string]*machineLoad{}
	l.pendingRecords, l.recalls = map[string]*taskstate.Record{}, map[int]map[string]int{}
	l.placementsByImage, l.caches, l.expectedGangs = map[string][]int{}, map[string]*machineCache{}, map[string]*gangClass{}
	for _, t := range l.settings.Deployment.Teams {
		l.teams[t.Name] = &teamUsage{maxCPUs: t.CPUsMax, maxGPUs: t.GPUsMax, reservedCPUs: tuning.MaxUrgentReserveShare * t.CPUsMax, reservedAt: l.runtime.Now()}
	}
}

// IsLoaded tells whether the leader knows all work.
func (l *Leader) IsLoaded() bool { return l.loaded }

// BeginTerm starts a term: earlier leaders' commits fail from now on, so the
// records proven to be current are all that has been handed out.
func (l *Leader) BeginTerm(token uint64) {
	l.EndTerm()
	l.token = token
	l.verify(l.term, 0)
}

func (l *Leader) verify(term, try int) {
	retry := func() {
		l.runtime.After(l.state.Backoff(try), func() {
			if term == l.term {
				l.verify(term, try+1)
			}
		})
	}
	l.records.Verify(func(err error) {
		if term != l.term {
			return
		}
		if err != nil {
			retry()
			return
		}
		l.catalog.Verify(func(err error) {
			switch {
			case term != l.term:
			case err != nil:
				retry()
			default:
				l.load()
			}
		})
	})
}

func (l *Leader) load() {
	l.loaded = true
	l.catalog.EachUnfinished(func(e *userapi.Entry) { l.addJob(e) })
	l.records.EachRecord(func(r *taskstate.Record) {
		p := l.jobs[r.Job]
		if p == nil {
			if e := l.catalog.Get(r.Job); e != nil && e.Phase == userapi.PhaseCancelled && e.Spec != nil {
				p = l.addJob(e)
				p.cancelled = true
			} else {
				l.obsoleteRecords = append(l.obsoleteRecords, r.Key)
				return
			}
		}
		l.count(p, r, 1)
		p.nextRecord = max(p.nextRecord, r.Number+1)
		p.nextNew = max(p.nextNew, r.TaskIndexes[len(r.TaskIndexes)-1]+1)
		if len(r.Zones) > 0 {
			p.zones = r.Zones
		}
	})
	for _, p := range l.jobs {
		l.findReturned(p)
		if p.spec.IsGang() && p.open == 0 && p.done == 0 {
			p.zones = nil // all of it is off its machines: it may go elsewhere
		}
		if p.spec.IsGang() {
			l.observeGang(p)
		}
	}
	for _, p := range l.jobs {
		l.endIfComplete(p)
	}
	l.roundRequested = true
	l.log.Info("lead begins", "token", l.token, "jobs", len(l.jobs))
}

// findReturned finds the tasks of a job that its newest records give back.
func (l *Leader) findReturned(p *jobState) {
	records := make([]*taskstate.Record, 0, 4)
	for _, r := range l.records.JobRecords(p.entry.ID) {
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
		p.returned = append(p.returned, i)
	}
	slices.Sort(p.returned)
}

func (l *Leader) addJob(e *userapi.Entry) *jobState {
	p := &jobState{entry: e, spec: e.Spec, rank: jobs.NewRank(e.Spec, e.SubmittedMS, l.catalog.WithinQuota(e)), attempts: map[int]uint64{}, waitingByShard: make([]int, l.settings.ShardCount())}
	l.jobs[e.ID] = p
	l.ordered = append(l.ordered, p)
	l.needsSort = true
	return p
}

func (l *Leader) forgetJob(p *jobState) {
	delete(l.jobs, p.entry.ID)
	l.ordered = slices.DeleteFunc(l.ordered, func(o *jobState) bool { return o == p })
}

// JobChanged takes note of a new or ended job.
func (l *Leader) JobChanged(e *userapi.Entry) {
	if !l.loaded {
		return
	}
	p := l.jobs[e.ID]
	l.roundRequested = true
	switch {
	case e.Phase == "" && p == nil:
		l.addJob(e)
	case e.Phase == userapi.PhaseCancelled && p != nil:
		p.cancelled = true
		l.endIfComplete(p)
	case e.Phase == userapi.PhaseDone && p != nil:
		l.forgetJob(p)
		for key := range l.records.JobRecords(e.ID) {
			l.obsoleteRecords = append(l.obsoleteRecords, key)
		}
	}
}

// RecordAdded takes note of a record that this leader, or an earlier one, has
// made.
func (l *Leader) RecordAdded(r *taskstate.Record) {
	if !l.loaded {
		return
	}
	l.roundRequested = true
	p := l.jobs[r.Job]
	if v := l.pendingRecords[r.Key]; v != nil {
		delete(l.pendingRecords, r.Key)
		if p != nil {
			l.count(p, v, -1)
		}
	}
	if p != nil {
		l.count(p, r, 1)
		l.endIfComplete(p)
	} else if e := l.catalog.Get(r.Job); e != nil && e.Phase != "" {
		// A hand-out that was carried out once more after its job was over.
		l.obsoleteRecords = append(l.obsoleteRecords, r.Key)
	}
}

// RecordRemoved takes note of a record that is over.
func (l *Leader) RecordRemoved(r *taskstate.Record) {
	if !l.loaded {
		return
	}
	l.roundRequested = true
	if p := l.jobs[r.Job]; p != nil {
		l.count(p, r, -1)
		l.endIfComplete(p)
	}
}

// TaskStatusChanged takes note of what a block's owner has logged.
func (l *Leader) TaskStatusChanged(r *taskstate.Record, k int, was taskstate.TaskStatus) {
	if !l.loaded {
		return
	}
	p := l.jobs[r.Job]
	if p == nil {
		return
	}
	l.roundRequested = true
	now := r.Statuses[k]
	l.countTask(p, r.Shard, was, -1)
	l.countTask(p, r.Shard, now, 1)
	if now.State == taskstate.StateReturned && !p.cancelled {
		if i, there := slices.BinarySearch(p.returned, r.TaskIndexes[k]); !there {
			p.returned = slices.Insert(p.returned, i, r.TaskIndexes[k])
		}
		p.attempts[r.TaskIndexes[k]] = now.Attempt
	}
	if p.open == 0 {
		l.endIfComplete(p)
	}
}

// RequestRound makes the next Settle look at everything again.
func (l *Leader) RequestRound() { l.roundRequested = true }

// AfterBatch hands out and commits what is due.
func (l *Leader) AfterBatch() {
	if !l.loaded || !l.leases.LeaseValid() || l.commitBlocked || (!l.roundRequested && len(l.endings) == 0 && len(l.obsoleteRecords) == 0) {
		return
	}
	if l.commitEndings() {
		return
	}
	now := l.runtime.Now()
	if wait := l.lastRoundAt + l.roundInterval - now; wait > 0 && l.lastRoundAt > 0 {
		if !l.roundScheduled {
			l.roundScheduled = true
			term := l.term
			l.runtime.After(wait, func() {
				if term == l.term {
					l.roundScheduled = false
				}
			})
		}
		return
	}
	l.lastRoundAt = now
	if l.roundRequested {
		l.roundRequested = false
		if l.dispatch() {
			return
		}
	}
	l.collectRecords()
}

// commit sends changes under the guard of the lead.
func (l *Leader) commit(guards []statestore.Condition, apply []statestore.Operation, fn func(statestore.CommitResult)) {
	term := l.term
	guards = append([]statestore.Condition{{Key: statestore.LeaderKey, Revision: l.token}}, guards...)
	l.commitBlocked = true
	l.state.Commit(guards, apply, func(r statestore.CommitResult) {
		if term != l.term {
			return
		}
		l.commitBlocked = false
		if r.Outcome == statestore.OutcomeConflict && slices.Contains(r.FailedKeys, statestore.LeaderKey) {
			// The watch will say who leads; until then nothing more is sent.
			l.commitBlocked = true
			l.leases.Refresh(func() {
				if term == l.term {
					l.BeginTerm(l.token)
				}
			})
			return
		}
		l.roundRequested = true
		fn(r)
	})
}

// backOff lets a refused commit rest before anything else is sent.
func (l *Leader) backOff(try int, fn func()) {
	term := l.term
	l.commitBlocked = true
	l.runtime.After(l.state.Backoff(try), func() {
		if term == l.term {
			l.commitBlocked = false
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
