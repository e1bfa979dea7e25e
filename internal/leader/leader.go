// Package leader implements the work of the controller that holds the leadership. It
// dispatches the tasks of jobs to shards of machines, by cached image and free capacity and
// within the quotas of teams, recalls waiting tasks for shards with room, and commits the ends
// of jobs.
//
// It owns the state that it derives from the jobs and the task records during a term: the
// tasks of each job that are not dispatched, the quotas in use and the loads of the machines.
// All of it is durable elsewhere and is derived again at the start of each term. The package
// commits the creation and removal of task records and the final phase of jobs that are done.
//
// It must never
//   - dispatch tasks or end jobs before the copies of jobs and records are verified to be
//     current,
//   - dispatch a task that a record names, unless its newest record has it as returned, or
//     a task of a job with a record that cannot be read,
//   - commit without the condition on the leader's lease,
//   - let the open tasks of a team exceed its quota,
//   - commit a job as done while one of its tasks is not,
//   - remove a record before the shard's owner has written off every task in it.
package leader

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/gangforecast"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/userapi"
)

// Dependencies are the components that a leader uses.
type Dependencies struct {
	Runtime  eventloop.Runtime
	State    *statestore.Client
	Leases   *statestore.LeaseManager
	Catalog  *userapi.Catalog // local copy of the jobs
	Records  *taskstate.Store // local copy of the task records
	Fleet    *fleet.Fleet
	Machines *MachineUsage // updated by the leader, read by the fleet
	Settings *settings.Settings
	Metrics  *metrics.Metrics
	Log      *slog.Logger
}

// Leader dispatches work while this process holds the leadership. It belongs to the event
// loop and is not safe for concurrent use.
type Leader struct {
	runtime  eventloop.Runtime
	state    *statestore.Client
	leases   *statestore.LeaseManager
	catalog  *userapi.Catalog
	records  *taskstate.Store
	fleet    *fleet.Fleet
	settings *settings.Settings
	metrics  *metrics.Metrics
	log      *slog.Logger

	terms    term.Counter // advances when the leadership is won and when it is lost
	loaded   bool         // state is derived from verified copies of jobs and records
	jobs     jobTable
	teams    map[string]*teamUsage
	machines *MachineUsage
	gangs    gangforecast.Forecast
	pacing   pacing
	commits  committer
	// unseenRecords are the records whose commit is answered or in progress but which the
	// watch has not reported yet, by key.
	unseenRecords map[string]*taskstate.Record
	recalls       recallRequests
	ends          endQueue
	garbage       garbage
	quotas        quotaCheck
}

// New returns a Leader that does not hold the leadership.
func New(dependencies Dependencies) *Leader {
	l := &Leader{
		runtime: dependencies.Runtime, state: dependencies.State, leases: dependencies.Leases, catalog: dependencies.Catalog,
		records: dependencies.Records, fleet: dependencies.Fleet, settings: dependencies.Settings, metrics: dependencies.Metrics, log: dependencies.Log,
		machines: dependencies.Machines,
	}
	l.commits = committer{runtime: l.runtime, state: l.state, leases: l.leases, terms: &l.terms, observer: l}
	l.EndTerm()
	return l
}

// EndTerm discards all state of the term after the leadership was lost.
func (l *Leader) EndTerm() {
	l.terms.Advance()
	l.loaded = false
	l.commits.begin(0)
	l.pacing.timerSet = false
	l.jobs = newJobTable()
	l.teams = newTeamUsages(l.settings.Deployment.Teams, l.runtime.Now())
	l.machines.reset()
	l.gangs = gangforecast.Forecast{}
	l.unseenRecords = map[string]*taskstate.Record{}
	l.recalls = recallRequests{}
	l.ends.jobs, l.garbage.keys = nil, nil
}

// BeginTerm starts a term under a fencing token. It loads the state once the copies of records
// and jobs are verified to be current. Commits of earlier leaders fail from now on, so the
// verified records show all dispatched tasks.
func (l *Leader) BeginTerm(token uint64) {
	l.EndTerm()
	l.commits.begin(token)
	l.state.VerifyUntilCurrent(&l.terms, l.load, l.records, l.catalog)
}

// IsLoaded reports whether the state of the term has been derived from verified copies of the
// jobs and records.
func (l *Leader) IsLoaded() bool { return l.loaded }

// addJob adds an unfinished job to the job table.
func (l *Leader) addJob(entry *userapi.Entry) *jobState {
	spec := entry.Spec
	job := &jobState{
		entry: entry, spec: spec, team: l.teams[spec.Team],
		rank:    jobs.NewRank(spec, entry.SubmittedMS, l.catalog.WithinQuota(entry)),
		pending: taskQueue{total: spec.Tasks, attempts: map[int]uint64{}},
		counts:  taskCounts{waitingByShard: make([]int, l.settings.ShardCount())},
	}
	l.jobs.add(job)
	return job
}

// RequestRound requests a dispatch round, which evaluates all jobs and machines again. A later
// AfterBatch runs it.
func (l *Leader) RequestRound() { l.pacing.requested = true }

// AfterBatch commits ends of jobs, runs a dispatch round or removes records, whichever is due,
// and sends at most one commit. The event loop calls it after every batch of events.
func (l *Leader) AfterBatch() {
	if !l.loaded || !l.leases.LeaseValid() || l.commits.busy || !l.hasWork() {
		return
	}
	if l.commitEnds() {
		return
	}
	now := l.runtime.Now()
	if wait := l.pacing.untilNextRound(now); wait > 0 {
		l.wakeAfter(wait)
		return
	}
	l.pacing.lastRoundAt = now
	l.checkQuotas()
	if l.pacing.requested {
		l.pacing.requested = false
		if l.dispatch() {
			return
		}
	}
	l.collectRecords()
}

// hasWork reports whether there may be tasks to dispatch or anything to commit.
func (l *Leader) hasWork() bool {
	return l.pacing.requested || len(l.ends.jobs) > 0 || len(l.garbage.keys) > 0
}

// wakeAfter sets a timer, unless one is set, so that the event loop calls AfterBatch after the
// given time even if there are no other events.
func (l *Leader) wakeAfter(wait time.Duration) {
	if l.pacing.timerSet {
		return
	}
	l.pacing.timerSet = true
	l.runtime.After(wait, l.terms.Guard(func() { l.pacing.timerSet = false }))
}

// commitAnswered implements commitObserver. It requests a round for the work that the commit
// has delayed.
func (l *Leader) commitAnswered() { l.RequestRound() }

// tokenRejected implements commitObserver. It starts a new term under the same token. If
// another node leads by now, the watch of the leases ends that term.
func (l *Leader) tokenRejected() { l.BeginTerm(l.commits.token) }
