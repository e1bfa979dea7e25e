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

// TestPullOrderOwnExtraThenLongestQueue: an arriving task runs on an idle machine that caches its image,
// else on another, else it queues; a machine with room takes from its own queue,
// then the extra queue, then the last task of the longest queue.
func TestPullOrderOwnExtraThenLongestQueue(t *testing.T) {
	fixture := newPlannerFixture(small, small)
	first := fixture.addJob(1, "standard", "x", 4, 2)
	fixture.runRound()
	if first[0].WorkerID == "" || first[1].WorkerID == "" || first[0].WorkerID == first[1].WorkerID {
		t.Fatal("idle machines are left idle")
	}
	own := fixture.addJob(2, "standard", "x", 4, 4)
	fixture.runRound()
	extra := fixture.addJob(3, "standard", "y", 4, 1)
	fixture.runRound()
	if len(fixture.imageQueues[fixture.machines[0].ID]) != 2 || len(fixture.imageQueues[fixture.machines[1].ID]) != 2 || len(fixture.extraQueue) != 1 {
		t.Fatalf("queues %d and %d, extra %d", len(fixture.imageQueues[fixture.machines[0].ID]), len(fixture.imageQueues[fixture.machines[1].ID]), len(fixture.extraQueue))
	}
	workerID := first[0].WorkerID
	var taken []string
	take := func(done *taskstate.Task) *taskstate.Task {
		fixture.endTask(done)
		fixture.runRound()
		for _, list := range [][]*taskstate.Task{own, extra} {
			for _, task := range list {
				if task.State == taskstate.StatePlaced && task.WorkerID == workerID {
					taken = append(taken, task.Name())
					return task
				}
			}
		}
		t.Fatal("a machine with room takes nothing")
		return nil
	}
	task := first[0]
	for range 4 {
		task = take(task)
	}
	// Two of its own queue, then the extra queue's, then the other's last.
	if taken[2] != "wk-3/0" || taken[3] != fixture.lastPlacedOn(own, workerID) {
		t.Errorf("taken in the order %v", taken)
	}
}

// lastPlacedOn is the highest task of a list that a machine has had.
func (f *plannerFixture) lastPlacedOn(list []*taskstate.Task, workerID string) string {
	last := ""
	for _, task := range list {
		if task.WorkerID == workerID && task.Name() > last {
			last = task.Name()
		}
	}
	return last
}

// TestQueuesWithCachedWorkComeFirst: of other machines' queues, those with work whose image is
// cached come first, though another is longer.
func TestQueuesWithCachedWorkComeFirst(t *testing.T) {
	fixture := newPlannerFixture(small, small, small)
	cached := fixture.addJob(1, "standard", "x", 4, 2)
	other := fixture.addJob(2, "standard", "y", 4, 1)
	fixture.runRound()
	fixture.addJob(3, "standard", "y", 4, 3) // all in one queue
	fixture.runRound()
	fixture.addJob(4, "standard", "x", 4, 3) // two and one
	fixture.runRound()
	thief := cached[0].WorkerID
	done := cached[0]
	var taken []string
	for range 3 {
		fixture.endTask(done)
		fixture.runRound()
		for task := range fixture.Worker(thief).Tasks {
			done = task
		}
		taken = append(taken, done.Job.Spec.Image)
	}
	if len(fixture.imageQueues[other[0].WorkerID]) != 3 || fmt.Sprint(taken) != "[x x x]" {
		t.Errorf("took %v, %d left in the longest queue", taken, len(fixture.imageQueues[other[0].WorkerID]))
	}
}

// TestOverdueTaskGetsTheNextMachine: a large task past the bound gets the next machine, though small
// ones of its priority take every processor that comes free.
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
				t.Fatalf("placed after %v", waited)
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
	t.Error("the large task never ran")
}

// TestRoundsLoseNoTask: after any rounds every task is on one machine, which
// has room for it, or in one queue, and no machine with room is passed over.
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
				t.Fatalf("%s has %g of %g processors taken", worker.ID, worker.Used.CPUs, worker.MachineType.CPUs)
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
				t.Fatalf("%s is in %d queues", task.Name(), queued[task])
			}
		}
	})
}

// TestFetchesGoToDifferentMachines: a task whose image is cached nowhere goes to a machine that
// fetches nothing, though a fuller one has room; images fetched at the same time
// may share the rate.
func TestFetchesGoToDifferentMachines(t *testing.T) {
	fixture := newPlannerFixture(large, large, large)
	fixture.machines[0].Used.CPUs, fixture.machines[0].FetchingTasks = 16, 1
	fixture.machines[1].Used.CPUs = 8
	first := fixture.addJob(1, "standard", "x", 4, 1)
	fixture.runRound()
	if first[0].WorkerID != "vm-001" {
		t.Errorf("placed on %s", first[0].WorkerID)
	}
	fixture.machines[0].UseImage("y", 1)
	second := fixture.addJob(2, "standard", "y", 4, 1)
	fixture.runRound()
	if second[0].WorkerID != "vm-000" {
		t.Errorf("with its image cached placed on %s", second[0].WorkerID)
	}
}

// BenchmarkRound shows what a round costs by the number of machines, all full,
// with as many tasks waiting.
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
