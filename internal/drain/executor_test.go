package drain

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// fakeShard is a shard with one job, whose only task runs on the only machine. It counts the
// halts.
type fakeShard struct {
	job         *taskstate.Job
	task        *taskstate.Task
	worker      *workers.Worker
	halts       int
	isLeaseHeld bool
}

func (s *fakeShard) Workers() []*workers.Worker            { return []*workers.Worker{s.worker} }
func (s *fakeShard) Worker(string) *workers.Worker         { return s.worker }
func (s *fakeShard) IsCurrent(worker *workers.Worker) bool { return worker.HasReported }
func (s *fakeShard) HaltTask(*taskstate.Task)              { s.halts++ }
func (s *fakeShard) HaltGang(*taskstate.Job)               { s.halts++ }
func (s *fakeShard) EachJob(fn func(*taskstate.Job))       { fn(s.job) }
func (s *fakeShard) Job(id string) *taskstate.Job {
	if id != s.job.Spec.ID {
		return nil
	}
	return s.job
}

// executorFixture is an executor whose records contain drain d with a grant for attempt 3 of
// task wk-1/0. The task runs under that attempt on vm-1.
type executorFixture struct {
	runtime  *fakeRuntime
	records  *Records
	shard    *fakeShard
	executor *Executor
}

func newExecutorFixture(t *testing.T) *executorFixture {
	t.Helper()
	job := taskstate.NewJob(&jobs.Spec{ID: "wk-1", Team: "red", Shape: jobs.ShapeArray, Tasks: 1, CPUs: 1}, 0, true)
	task := &taskstate.Task{}
	task.Job, task.State, task.WorkerID = job, taskstate.StatePlaced, "vm-1"
	task.Attempt, task.Observed.Running = 3, true
	task.Launch.Recover(1)
	job.Tasks[0] = task
	worker := &workers.Worker{ID: "vm-1"}
	worker.HasReported = true
	worker.Tasks = map[*taskstate.Task]bool{task: true}
	fixture := &executorFixture{
		runtime: &fakeRuntime{},
		shard:   &fakeShard{job: job, task: task, worker: worker, isLeaseHeld: true},
	}
	log := slog.New(slog.DiscardHandler)
	fixture.records = NewRecords(fixture.runtime, statestore.New(fixture.runtime, "state", log), log, func() {})
	fixture.records.Start()
	fixture.store(t, PageKey("d", 0), Page{[]Machine{{ID: "vm-1", State: MachineClosed}}})
	fixture.setPhase(t, PhaseRunning)
	fixture.store(t, GrantKey("d", 1), Grant{"vm-1", []TaskRef{{Job: "wk-1", Attempt: 3}}})
	fixture.executor = NewExecutor(fixture.runtime, fixture.records, fixture.shard, fixture.shard, func() bool { return fixture.shard.isLeaseHeld })
	fixture.executor.BeginTerm()
	return fixture
}

// store applies a record to the records, as the watch would.
func (f *executorFixture) store(t *testing.T, key string, record any) {
	t.Helper()
	raw, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	f.records.apply(key, raw, 2)
}

func (f *executorFixture) setPhase(t *testing.T, phase Phase) {
	t.Helper()
	f.store(t, HeadKey("d"), Head{Phase: phase, Machines: 1, Pages: 1})
}

// outdateRecords advances the clock until the records have to be verified again.
func (f *executorFixture) outdateRecords() { f.runtime.now += tuning.MaxLaunchKnowledgeAge + 1 }

// TestHaltWaitsForFreshRecords guards against halting a task whose grant has been withdrawn
// since the records were last verified: nothing is halted unless they were verified in this
// term and recently. A verification that began in an earlier term, or that ends after the
// lease was lost, must not cause a halt.
func TestHaltWaitsForFreshRecords(t *testing.T) {
	for name, test := range map[string]struct {
		prepare      func(*executorFixture)
		haltsAtOnce  int
		beforeAnswer func(*executorFixture)
		haltsLater   int
	}{
		"verified recently":     {haltsAtOnce: 1, haltsLater: 1},
		"verified too long ago": {prepare: (*executorFixture).outdateRecords, haltsLater: 1},
		"verified before this term": {
			prepare: func(f *executorFixture) {
				f.runtime.now += time.Second
				f.executor.BeginTerm()
			},
			haltsLater: 1,
		},
		"term ends during verification": {
			prepare:      (*executorFixture).outdateRecords,
			beforeAnswer: func(f *executorFixture) { f.executor.BeginTerm() },
		},
		"lease is lost during verification": {
			prepare:      (*executorFixture).outdateRecords,
			beforeAnswer: func(f *executorFixture) { f.shard.isLeaseHeld = false },
		},
		"grant is withdrawn during verification": {
			prepare:      (*executorFixture).outdateRecords,
			beforeAnswer: func(f *executorFixture) { f.records.apply(GrantKey("d", 1), nil, 3) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newExecutorFixture(t)
			if test.prepare != nil {
				test.prepare(fixture)
			}
			fixture.runtime.delaysReads = true
			fixture.executor.HaltGranted()
			if fixture.shard.halts != test.haltsAtOnce {
				t.Errorf("%d halts before the records are verified, want %d", fixture.shard.halts, test.haltsAtOnce)
			}
			if test.beforeAnswer != nil {
				test.beforeAnswer(fixture)
			}
			fixture.runtime.answerReads()
			fixture.runtime.runTimers()
			if fixture.shard.halts != test.haltsLater {
				t.Errorf("%d halts after the records are verified, want %d", fixture.shard.halts, test.haltsLater)
			}
		})
	}
}

// TestOnlyGrantedAttemptIsHalted guards against halting an attempt that is not granted: a
// grant may still be stored when its task runs again under a later attempt. The granted
// attempt is halted once, and only while its drain is active and the lease is held.
func TestOnlyGrantedAttemptIsHalted(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*testing.T, *executorFixture)
		halts   int
	}{
		"granted attempt":    {func(*testing.T, *executorFixture) {}, 1},
		"later attempt":      {func(_ *testing.T, f *executorFixture) { f.shard.task.Attempt = 4 }, 0},
		"not launched":       {func(_ *testing.T, f *executorFixture) { f.shard.task.Launch.Place(1) }, 0},
		"halted already":     {func(_ *testing.T, f *executorFixture) { f.shard.task.Halt.Decided = true }, 0},
		"job is cancelled":   {func(_ *testing.T, f *executorFixture) { f.shard.job.Cancelled = true }, 0},
		"drain is paused":    {func(t *testing.T, f *executorFixture) { f.setPhase(t, PhasePaused) }, 1},
		"drain is cancelled": {func(t *testing.T, f *executorFixture) { f.setPhase(t, PhaseCancelled) }, 0},
		"lease is lost":      {func(_ *testing.T, f *executorFixture) { f.shard.isLeaseHeld = false }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newExecutorFixture(t)
			test.prepare(t, fixture)
			fixture.executor.HaltGranted()
			if fixture.shard.halts != test.halts {
				t.Errorf("%d halts, want %d", fixture.shard.halts, test.halts)
			}
		})
	}
}

// TestReportOfGrantedTasks checks that a granted task is reported as running again only
// under a later attempt, and as untouched only if its drain is cancelled and no halt was
// decided. Otherwise the leader would remove the grant of a task that is still disturbed.
func TestReportOfGrantedTasks(t *testing.T) {
	for name, test := range map[string]struct {
		phase   Phase
		prepare func(*fakeShard)
		want    []GrantedTask
	}{
		"runs on in a running drain": {phase: PhaseRunning},
		"runs on in a cancelled drain": {
			phase: PhaseCancelled,
			want:  []GrantedTask{{TaskRef: TaskRef{Job: "wk-1", Attempt: 3}, IsUntouched: true}},
		},
		"halted before the drain was cancelled": {
			phase:   PhaseCancelled,
			prepare: func(s *fakeShard) { s.task.Halt.Decided = true },
		},
		"runs again": {
			phase:   PhaseRunning,
			prepare: func(s *fakeShard) { s.task.Attempt = 4 },
			want:    []GrantedTask{{TaskRef: TaskRef{Job: "wk-1", Attempt: 4}, RunsAgain: true}},
		},
		"placed again, not seen running": {
			phase:   PhaseRunning,
			prepare: func(s *fakeShard) { s.task.Attempt, s.task.Observed.Running = 4, false },
		},
		"runs again on a silent machine": {
			phase:   PhaseRunning,
			prepare: func(s *fakeShard) { s.task.Attempt, s.worker.HasReported = 4, false },
		},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newExecutorFixture(t)
			fixture.setPhase(t, test.phase)
			if test.prepare != nil {
				test.prepare(fixture.shard)
			}
			report := fixture.executor.Report()
			if len(report.Granted) != len(test.want) || (len(test.want) == 1 && report.Granted[0] != test.want[0]) {
				t.Errorf("reported %+v, want %+v", report.Granted, test.want)
			}
		})
	}
}
