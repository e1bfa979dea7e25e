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
	"lemonmoor/internal/workers"
)

// plannerFixture is a planner with machines whose tasks are kept here.
type plannerFixture struct {
	*Planner
	machines    []*workers.Worker
	now         time.Duration
	byID        map[string]*workers.Worker
	placesGangs bool                    // tasks are placed as gangs are
	promptly    func(class string) bool // nil: no class starts promptly
}

var (
	small = &jobs.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 10, Zones: []string{"a"}}
	large = &jobs.MachineType{Name: "large", CPUs: 32, MemoryGB: 128, CacheGB: 10, Zones: []string{"a"}}
)

func newPlannerFixture(types ...*jobs.MachineType) *plannerFixture {
	fixture := &plannerFixture{now: time.Hour, byID: map[string]*workers.Worker{}}
	fixture.Planner = New(fixture, fixture, tuning.WaitBound)
	for i, machineType := range types {
		worker := &workers.Worker{
			ID:      fmt.Sprintf("vm-%03d", i),
			Machine: workers.Machine{MachineTypeName: machineType.Name, Zone: "a", MachineType: machineType},
			Load:    workers.Load{Tasks: map[*taskstate.Task]bool{}},
		}
		fixture.machines = append(fixture.machines, worker)
		fixture.byID[worker.ID] = worker
	}
	return fixture
}

func (y *plannerFixture) AcceptsTasks(worker *workers.Worker) bool { return worker.DrainReason == "" }
func (y *plannerFixture) Worker(id string) *workers.Worker         { return y.byID[id] }
func (y *plannerFixture) UpdateRank(*taskstate.Job, int64) bool    { return false }
func (y *plannerFixture) StartsPromptly(class string) bool {
	return y.promptly != nil && y.promptly(class)
}

func (y *plannerFixture) PlaceTask(task *taskstate.Task, worker *workers.Worker) {
	if y.placesGangs {
		task.PlaceOn(worker.ID)
		worker.Tasks[task] = true
		worker.Used = worker.Used.Plus(task.Job.Spec.Resources())
		worker.UseImage(task.Job.Spec.Image, task.Job.Spec.ImageGB)
		return
	}
	task.State, task.WorkerID, task.Job.HasPlacedTask = taskstate.StatePlaced, worker.ID, true
	worker.AddTask(task)
}

func (y *plannerFixture) runRound() { y.RunRound(y.machines, y.now, time.UnixMilli(0).Add(y.now)) }

// endTask takes a task off its machine.
func (y *plannerFixture) endTask(task *taskstate.Task) {
	y.Worker(task.WorkerID).RemoveTask(task)
	task.State = taskstate.StateDone
}

// addJob makes a job whose tasks arrive.
func (y *plannerFixture) addJob(id int, urgency, image string, cpus float64, tasks int) []*taskstate.Task {
	job := taskstate.NewJob(&jobs.Spec{ID: fmt.Sprintf("wk-%d", id), Urgency: urgency, Image: image, ImageGB: 1, CPUs: cpus, MemoryGB: cpus, Spot: true},
		y.now.Milliseconds()+int64(id), false)
	var list []*taskstate.Task
	for i := range tasks {
		task := &taskstate.Task{Job: job, Index: i}
		list = append(list, task)
		y.AddTask(task, y.now)
	}
	return list
}

// TestPullOrder: an arriving task runs on an idle machine that caches its image,
// else on another, else it queues; a machine with room takes from its own queue,
// then the extra queue, then the last task of the longest queue.
func TestPullOrder(t *testing.T) {
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
	host := first[0].WorkerID
	var taken []string
	take := func(done *taskstate.Task) *taskstate.Task {
		fixture.endTask(done)
		fixture.runRound()
		for _, list := range [][]*taskstate.Task{own, extra} {
			for _, task := range list {
				if task.State == taskstate.StatePlaced && task.WorkerID == host {
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
	if taken[2] != "wk-3/0" || taken[3] != fixture.lastPlacedOn(own, host) {
		t.Errorf("taken in the order %v", taken)
	}
}

// lastPlacedOn is the highest task of a list that a machine has had.
func (y *plannerFixture) lastPlacedOn(list []*taskstate.Task, host string) string {
	best := ""
	for _, task := range list {
		if task.WorkerID == host && task.Name() > best {
			best = task.Name()
		}
	}
	return best
}

// TestCachedWorkFirst: of other machines' queues, those with work whose image is
// cached come first, though another is longer.
func TestCachedWorkFirst(t *testing.T) {
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

// TestWaitBound: a large task past the bound gets the next machine, though small
// ones of its priority take every processor that comes free.
func TestWaitBound(t *testing.T) {
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

// TestRoundsLoseNothing: after any rounds every task is on one machine, which
// has room for it, or in one queue, and no machine with room is passed over.
func TestRoundsLoseNothing(t *testing.T) {
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

// BenchmarkRound shows what a round costs by the number of machines, all full,
// with as many tasks waiting.
func BenchmarkRound(bm *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		bm.Run(fmt.Sprint(n, "machines"), func(bm *testing.B) {
			types := make([]*jobs.MachineType, n)
			for i := range types {
				types[i] = large
			}
			fixture := newPlannerFixture(types...)
			for i := range 40 {
				fixture.addJob(i, "standard", fmt.Sprint("image", i%16), 16, n*4/40)
			}
			fixture.runRound()
			for bm.Loop() {
				fixture.runRound()
			}
		})
	}
}

// TestFetchesApart: a task whose image is cached nowhere goes to a machine that
// fetches nothing, though a fuller one has room; images fetched at the same time
// may share the rate.
func TestFetchesApart(t *testing.T) {
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
