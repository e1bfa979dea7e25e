// Package leader is the leader's one job: it dispatches the tasks of jobs to the shards of
// machines, by cached image and by room and within the teams' quotas, recalls waiting ones
// for shards with room, and commits the ends of jobs.
//
// It owns what it derives from the jobs and the task records for the length of a term: the
// tasks of each job that no shard has, the quotas in use and the loads of the machines. All
// of it is durable elsewhere and is read anew at the start of a term. It commits task
// records (made and removed) and the final phase of jobs that are done.
//
// It must never dispatch or end anything before the copies of jobs and records are verified
// to be current, commit without the condition on the leader's lease, let a team's open tasks
// exceed its quota, call a job done of which a task is not, or remove a record before the
// shard's owner has written every task in it off.
package leader

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/gangforecast"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/term"
	"lemonmoor/internal/userapi"
)

// Dependencies are what a leader works with.
type Dependencies struct {
	Runtime  eventloop.Runtime
	State    *statestore.Client
	Leases   *statestore.LeaseManager
	Catalog  *userapi.Catalog // the copy of the jobs
	Records  *taskstate.Store // the copy of the task records
	Fleet    *fleet.Fleet
	Machines *MachineUsage // kept current by the leader, read by the fleet
	Settings *settings.Settings
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
	log      *slog.Logger

	terms    term.Counter // a term begins with every leadership won, and when one is lost
	loaded   bool         // all jobs and records of the term are known
	jobs     jobTable
	teams    map[string]*teamUsage
	machines *MachineUsage
	gangs    gangforecast.Forecast
	pacing   pacing
	commits  committer
	// unseenRecords are those committed, or about to be, that the watch has not brought in.
	unseenRecords map[string]*taskstate.Record
	recalls       recallRequests
	ends          endQueue
	garbage       garbage
}

// New returns a leader without the leadership.
func New(dependencies Dependencies) *Leader {
	l := &Leader{
		runtime: dependencies.Runtime, state: dependencies.State, leases: dependencies.Leases, catalog: dependencies.Catalog,
		records: dependencies.Records, fleet: dependencies.Fleet, settings: dependencies.Settings, log: dependencies.Log,
		machines: dependencies.Machines,
	}
	l.commits = committer{runtime: l.runtime, state: l.state, leases: l.leases, terms: &l.terms, observer: l}
	l.EndTerm()
	return l
}

// EndTerm forgets everything: the leadership is lost.
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

// BeginTerm starts a term under a fencing token: earlier leaders' commits fail from now on,
// so the records verified to be current are all that has been dispatched.
func (l *Leader) BeginTerm(token uint64) {
	l.EndTerm()
	l.commits.begin(token)
	l.state.VerifyUntilCurrent(&l.terms, l.load, l.records, l.catalog)
}

// IsLoaded reports whether the leader knows all jobs and records of its term.
func (l *Leader) IsLoaded() bool { return l.loaded }

// load derives the state of the term from the copies of jobs and records.
func (l *Leader) load() {
	l.loaded = true
	l.catalog.EachUnfinished(func(entry *userapi.Entry) { l.addJob(entry) })
	l.records.EachRecord(l.loadRecord)
	for _, job := range l.jobs.byID {
		l.loadReturned(job)
		if !job.spec.IsGang() {
			continue
		}
		if job.counts.open == 0 && job.counts.done == 0 {
			job.zones = nil // all of it is off its machines: it may go elsewhere
		}
		l.observeGang(job)
	}
	for _, job := range l.jobs.byID {
		l.endIfComplete(job)
	}
	l.RequestRound()
	l.log.Info("leadership begins", "token", l.commits.token, "jobs", len(l.jobs.byID))
}

// loadRecord takes a record in that an earlier term has made.
func (l *Leader) loadRecord(record *taskstate.Record) {
	job := l.jobs.byID[record.Job]
	if job == nil {
		entry := l.catalog.Get(record.Job)
		if entry == nil || entry.Phase != userapi.PhaseCancelled || entry.Spec == nil {
			l.garbage.keys = append(l.garbage.keys, record.Key)
			return
		}
		job = l.addJob(entry)
		job.cancelled = true
	}
	l.countRecord(job, record, 1)
	job.nextRecord = max(job.nextRecord, record.Number+1)
	job.pending.nextNew = max(job.pending.nextNew, record.TaskIndexes[len(record.TaskIndexes)-1]+1)
	if len(record.Zones) > 0 {
		job.zones = record.Zones
	}
}

// loadReturned finds the tasks of a job that its newest records call returned.
func (l *Leader) loadReturned(job *jobState) {
	records := make([]*taskstate.Record, 0, 4)
	for _, record := range l.records.JobRecords(job.entry.ID) {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b *taskstate.Record) int { return cmp.Compare(a.Number, b.Number) })
	queue := &job.pending
	for _, record := range records {
		for position, index := range record.TaskIndexes {
			// A task may have been returned more than once.
			if status := record.Statuses[position]; status.State == taskstate.StateReturned {
				queue.attempts[index] = status.Attempt
			} else {
				delete(queue.attempts, index)
			}
		}
	}
	for index := range queue.attempts {
		queue.returned = append(queue.returned, index)
	}
	slices.Sort(queue.returned)
}

// addJob takes an unfinished job in.
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

// RequestRound has the next AfterBatch evaluate all jobs and machines again.
func (l *Leader) RequestRound() { l.pacing.requested = true }

// AfterBatch dispatches and commits what is due. The event loop calls it after every batch
// of events.
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
	if l.pacing.requested {
		l.pacing.requested = false
		if l.dispatch() {
			return
		}
	}
	l.collectRecords()
}

// hasWork reports whether there may be anything to dispatch or to commit.
func (l *Leader) hasWork() bool {
	return l.pacing.requested || len(l.ends.jobs) > 0 || len(l.garbage.keys) > 0
}

// wakeAfter has the event loop come back, since nothing else may happen until then.
func (l *Leader) wakeAfter(wait time.Duration) {
	if l.pacing.timerSet {
		return
	}
	l.pacing.timerSet = true
	l.runtime.After(wait, l.terms.Guard(func() { l.pacing.timerSet = false }))
}

// commitAnswered requests a round: what the commit held up may go on.
func (l *Leader) commitAnswered() { l.RequestRound() }

// tokenRejected starts the term anew. If another node leads by now, the watch of the leases
// ends it.
func (l *Leader) tokenRejected() { l.BeginTerm(l.commits.token) }
