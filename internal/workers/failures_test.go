package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// failureFixture is a registry with jobs whose tasks fail on its workers.
type failureFixture struct {
	*registryFixture
	jobs map[string]*taskstate.Job
}

// Job returns the job with an ID, nil if there is none.
func (f *failureFixture) Job(id string) *taskstate.Job { return f.jobs[id] }

func newFailureFixture() *failureFixture {
	fixture := &failureFixture{registryFixture: newRegistryFixture(1), jobs: map[string]*taskstate.Job{}}
	fixture.registry.tasks = fixture
	return fixture
}

// job returns the job with an ID, which is created with a number of tasks if there is none.
func (f *failureFixture) jobOf(id string) *taskstate.Job {
	if f.jobs[id] == nil {
		f.jobs[id] = taskstate.NewJob(&jobs.Spec{ID: id, CPUs: 1, Shape: "array", Tasks: 9}, 0, true)
		taskstate.LoadRecord(f.jobs[id], taskstate.NewRecord(0, id, 0, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}, nil, nil))
	}
	return f.jobs[id]
}

// place places the next waiting task of a job on a worker.
func (f *failureFixture) place(jobID, workerID string) *taskstate.Task {
	f.now += time.Second
	worker := f.registry.ensureWorker(workerID)
	for _, task := range f.jobOf(jobID).Tasks {
		if task.State == taskstate.StateWaiting {
			f.registry.PlaceTask(task, worker)
			return task
		}
	}
	return nil
}

// fail places a task of a job on a worker, where it fails.
func (f *failureFixture) fail(jobID, workerID string) {
	task := f.place(jobID, workerID)
	f.now += time.Second
	f.registry.recordTaskFailure(f.registry.Worker(workerID), task)
	f.registry.Worker(workerID).RemoveTask(task)
	task.TakeOffWorker()
}

// complete places a task of a job on a worker, where it completes.
func (f *failureFixture) complete(jobID, workerID string) {
	task := f.place(jobID, workerID)
	f.now += time.Second
	f.registry.Worker(workerID).recordSuccess(task)
	f.registry.recordCompletion(task.Job)
	f.registry.Worker(workerID).RemoveTask(task)
	task.State = taskstate.StateDone
}

// failureHistories are failures and completions on machines, and which machines are then quarantined.
var failureHistories = []struct {
	name        string
	events      func(f *failureFixture)
	quarantined []string
}{
	{"one failure", func(f *failureFixture) { f.fail("wk-1", "vm-1") }, nil},
	{"one job again and again on one machine", func(f *failureFixture) {
		for range 6 {
			f.fail("wk-1", "vm-1")
		}
	}, nil},
	{"one job on every machine", func(f *failureFixture) {
		for range 6 {
			f.fail("wk-1", "vm-1")
			f.fail("wk-1", "vm-2")
			f.fail("wk-1", "vm-3")
		}
	}, nil},
	{"two jobs on one machine", func(f *failureFixture) {
		f.fail("wk-1", "vm-1")
		f.fail("wk-2", "vm-1")
	}, []string{"vm-1"}},
	{"a job that has completed tasks", func(f *failureFixture) {
		f.complete("wk-1", "vm-2")
		f.fail("wk-1", "vm-1")
		f.fail("wk-1", "vm-1")
	}, []string{"vm-1"}},
	{"a job that completes elsewhere later", func(f *failureFixture) {
		f.fail("wk-1", "vm-1")
		f.fail("wk-1", "vm-1")
		f.complete("wk-1", "vm-2")
	}, []string{"vm-1"}},
	{"a job that runs elsewhere for longer", func(f *failureFixture) {
		task := f.place("wk-1", "vm-2")
		task.Observed.Running, task.Observed.RunningSince = true, f.now
		f.now += time.Minute
		f.fail("wk-1", "vm-1")
		f.fail("wk-1", "vm-1")
	}, []string{"vm-1"}},
	{"a job that has just started elsewhere", func(f *failureFixture) {
		task := f.place("wk-1", "vm-2")
		task.Observed.Running, task.Observed.RunningSince = true, f.now
		f.fail("wk-1", "vm-1")
		f.fail("wk-1", "vm-1")
	}, nil},
	{"two jobs that fail everywhere, on two machines", func(f *failureFixture) {
		for _, machine := range []string{"vm-1", "vm-2", "vm-1", "vm-2"} {
			f.fail("wk-1", machine)
		}
		f.fail("wk-2", "vm-3")
		f.complete("wk-9", "vm-1")
		f.complete("wk-9", "vm-2")
		f.fail("wk-2", "vm-1")
	}, nil},
	{"three jobs, all machines faulty", func(f *failureFixture) {
		for _, job := range []string{"wk-1", "wk-2", "wk-3"} {
			f.fail(job, "vm-1")
			f.fail(job, "vm-2")
		}
	}, []string{"vm-1", "vm-2"}},
	{"a success in between, of a task placed after the failure", func(f *failureFixture) {
		f.fail("wk-1", "vm-1")
		f.complete("wk-2", "vm-1")
		f.fail("wk-3", "vm-1")
	}, nil},
	{"a success in between, of a task that ran already", func(f *failureFixture) {
		earlier := f.place("wk-2", "vm-1")
		f.fail("wk-1", "vm-1")
		f.registry.Worker("vm-1").recordSuccess(earlier)
		f.fail("wk-3", "vm-1")
	}, []string{"vm-1"}},
}

// TestFaultyMachineIsToldFromAFailingJob checks which machines are quarantined after which failures.
// A machine that fails the tasks of sound jobs, or of several, is; a job that fails everywhere has
// none quarantined.
func TestFaultyMachineIsToldFromAFailingJob(t *testing.T) {
	for _, test := range failureHistories {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFailureFixture()
			test.events(fixture)
			for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
				want := false
				for _, quarantined := range test.quarantined {
					want = want || quarantined == id
				}
				worker := fixture.registry.Worker(id)
				if got := worker != nil && worker.DrainReason == drainReasonFailures; got != want {
					t.Errorf("%s quarantined: %v, want %v", id, got, want)
				}
			}
		})
	}
}
