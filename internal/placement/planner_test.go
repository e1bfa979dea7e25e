package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// TestPullOrderOwnExtraThenLongestQueue checks the order of the policy: an arriving task runs
// on an idle machine that caches its image, else on another idle machine, else it is queued; a
// machine with room pulls from its own queue, then from the extra queue, then the last task of
// the longest queue.
func TestPullOrderOwnExtraThenLongestQueue(t *testing.T) {
	fixture := newPlannerFixture(small, small)
	first := fixture.addJob(1, "standard", "x", 4, 2)
	fixture.runRound()
	if first[0].WorkerID == "" || first[1].WorkerID == "" || first[0].WorkerID == first[1].WorkerID {
		t.Fatalf("tasks are placed on %q and %q, want two different machines", first[0].WorkerID, first[1].WorkerID)
	}
	own := fixture.addJob(2, "standard", "x", 4, 4)
	fixture.runRound()
	extra := fixture.addJob(3, "standard", "y", 4, 1)
	fixture.runRound()
	if len(fixture.imageQueues[fixture.machines[0].ID]) != 2 || len(fixture.imageQueues[fixture.machines[1].ID]) != 2 || len(fixture.extraQueue) != 1 {
		t.Fatalf("image queues have %d and %d tasks, the extra queue %d; want 2, 2 and 1", len(fixture.imageQueues[fixture.machines[0].ID]), len(fixture.imageQueues[fixture.machines[1].ID]), len(fixture.extraQueue))
	}
	workerID := first[0].WorkerID
	var pulled []string
	endAndPull := func(done *taskstate.Task) *taskstate.Task {
		fixture.endTask(done)
		fixture.runRound()
		for _, list := range [][]*taskstate.Task{own, extra} {
			for _, task := range list {
				if task.State == taskstate.StatePlaced && task.WorkerID == workerID {
					pulled = append(pulled, task.Name())
					return task
				}
			}
		}
		t.Fatalf("%s has room but pulled no task after %s ended", workerID, done.Name())
		return nil
	}
	task := first[0]
	for range 4 {
		task = endAndPull(task)
	}
	// Two of its own queue, then the one of the extra queue, then the last of the other queue.
	if pulled[2] != "wk-3/0" || pulled[3] != fixture.lastPlacedOn(own, workerID) {
		t.Errorf("%s pulled %v, want wk-3/0 third and the last of the other queue fourth", workerID, pulled)
	}
}

// lastPlacedOn returns the highest name of a task of a list that was placed on a machine.
func (f *plannerFixture) lastPlacedOn(list []*taskstate.Task, workerID string) string {
	last := ""
	for _, task := range list {
		if task.WorkerID == workerID && task.Name() > last {
			last = task.Name()
		}
	}
	return last
}

// TestQueuesWithCachedWorkComeFirst checks that a machine pulls from other machines' queues
// with tasks whose image it caches first, even if another queue is longer.
func TestQueuesWithCachedWorkComeFirst(t *testing.T) {
	fixture := newPlannerFixture(small, small, small)
	cached := fixture.addJob(1, "standard", "x", 4, 2)
	other := fixture.addJob(2, "standard", "y", 4, 1)
	fixture.runRound()
	fixture.addJob(3, "standard", "y", 4, 3) // all in one machine's queue
	fixture.runRound()
	fixture.addJob(4, "standard", "x", 4, 3) // two in one machine's queue, one in the other's
	fixture.runRound()
	puller := cached[0].WorkerID
	done := cached[0]
	var pulled []string
	for range 3 {
		fixture.endTask(done)
		fixture.runRound()
		for task := range fixture.Worker(puller).Tasks {
			done = task
		}
		pulled = append(pulled, done.Job.Spec.Image)
	}
	if len(fixture.imageQueues[other[0].WorkerID]) != 3 || fmt.Sprint(pulled) != "[x x x]" {
		t.Errorf("%s pulled images %v, %d tasks remain in the longest queue; want [x x x] and 3", puller, pulled, len(fixture.imageQueues[other[0].WorkerID]))
	}
}

// TestOverdueTaskGetsTheNextMachine guards against a large task that never starts because small
// tasks of its priority use every processor that becomes free: once it has waited for the
// bound, it gets the next machine.
func TestOverdueTaskGetsTheNextMachine(t *testing.T) {
	fixture := newPlannerFixture(large)
	running := fixture.addJob(1, "standard", "x", 1, 32)
	fixture.runRound()
	big := fixture.addJob(2, "standard", "y", 16, 1)[0]
	next := 3
	for step := range 200 {
		fixture.now += time.Second
		running = append(running, fixture.addJob(next, "standard", "x", 1, 2)...)
		next++
		fixture.runRound()
		if big.State == taskstate.StatePlaced {
			if waited := time.Duration(step) * time.Second; waited < tuning.WaitBound-2*time.Second {
				t.Fatalf("%s was placed after %v, want at least %v", big.Name(), waited, tuning.WaitBound-2*time.Second)
			}
			return
		}
		ended := 0
		for _, task := range running {
			if task.State == taskstate.StatePlaced && ended < 2 {
				fixture.endTask(task)
				ended++
			}
		}
	}
	t.Errorf("%s was not placed in 200 rounds of one second", big.Name())
}

// TestRoundsLoseNoTask guards against lost and duplicated tasks: after any sequence of rounds,
// every unfinished task is either on a machine with room for it or in exactly one queue.
func TestRoundsLoseNoTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var types []*jobs.MachineType
		for range rapid.IntRange(1, 6).Draw(t, "machines") {
			types = append(types, rapid.SampledFrom([]*jobs.MachineType{small, large}).Draw(t, "type"))
		}
		fixture := newPlannerFixture(types...)
		var all []*taskstate.Task
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			fixture.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "later")) * time.Second
			all = append(all, fixture.addJob(i, rapid.SampledFrom([]string{"low", "standard", "urgent"}).Draw(t, "urgency"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "image"),
				rapid.SampledFrom([]float64{1, 4, 16}).Draw(t, "cpus"), rapid.IntRange(1, 20).Draw(t, "tasks"))...)
			for _, task := range all {
				if task.State == taskstate.StatePlaced && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					fixture.endTask(task)
				}
			}
			worker := fixture.machines[rapid.IntRange(0, len(fixture.machines)-1).Draw(t, "host")]
			worker.DrainReason = rapid.SampledFrom([]string{"", "", "idle"}).Draw(t, "drain")
			fixture.runRound()
		}
		for _, worker := range fixture.machines {
			if worker.Used.CPUs > worker.MachineType.CPUs+resource.Epsilon || worker.Used.MemoryGB > worker.MachineType.MemoryGB+resource.Epsilon {
				t.Fatalf("%s uses %g processors and %g GB, want at most %g and %g", worker.ID, worker.Used.CPUs, worker.Used.MemoryGB, worker.MachineType.CPUs, worker.MachineType.MemoryGB)
			}
		}
		queued := map[*taskstate.Task]int{}
		for _, task := range fixture.extraQueue {
			queued[task]++
		}
		for _, q := range fixture.imageQueues {
			for _, task := range q {
				queued[task]++
			}
		}
		for _, task := range fixture.arrivals {
			queued[task]++
		}
		for _, task := range all {
			if task.State == taskstate.StateWaiting && queued[task] != 1 {
				t.Fatalf("%s waits in %d queues, want 1", task.Name(), queued[task])
			}
		}
	})
}

// TestFetchesGoToDifferentMachines checks that a task whose image no machine caches is placed
// on a machine that fetches no image, even if a fuller one has room, because images fetched at
// the same time may share the pull rate.
func TestFetchesGoToDifferentMachines(t *testing.T) {
	fixture := newPlannerFixture(large, large, large)
	fixture.machines[0].Used.CPUs, fixture.machines[0].FetchingTasks = 16, 1
	fixture.machines[1].Used.CPUs = 8
	first := fixture.addJob(1, "standard", "x", 4, 1)
	fixture.runRound()
	if first[0].WorkerID != "vm-001" {
		t.Errorf("task with an uncached image is placed on %q, want vm-001", first[0].WorkerID)
	}
	fixture.machines[0].UseImage("y", 1)
	second := fixture.addJob(2, "standard", "y", 4, 1)
	fixture.runRound()
	if second[0].WorkerID != "vm-000" {
		t.Errorf("task with a cached image is placed on %q, want vm-000", second[0].WorkerID)
	}
}

// BenchmarkRound measures a round by the number of machines. All machines are full, and as many
// tasks wait as are placed.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n, "machines"), func(b *testing.B) {
			types := make([]*jobs.MachineType, n)
			for i := range types {
				types[i] = large
			}
			fixture := newPlannerFixture(types...)
			for i := range 40 {
				fixture.addJob(i, "standard", fmt.Sprint("image", i%16), 16, n*4/40)
			}
			fixture.runRound()
			for b.Loop() {
				fixture.runRound()
			}
		})
	}
}
