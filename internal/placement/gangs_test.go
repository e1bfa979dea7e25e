package placement

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// addDrawnGangs adds some gangs that have room in the zones fixed for them.
func (f *plannerFixture) addDrawnGangs(t *rapid.T) []*taskstate.Job {
	cpusIn := map[string]float64{}
	for i, worker := range f.machines {
		worker.Zone = []string{"a", "b"}[i%2]
		cpusIn[worker.Zone] += worker.MachineType.CPUs
	}
	var gangs []*taskstate.Job
	for id := range rapid.IntRange(1, 4).Draw(t, "gangs") {
		zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
		cpus := rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus")
		gangs = append(gangs, f.addGangJob(id, "g", cpus, rapid.IntRange(1, int(cpusIn[zone]/cpus)).Draw(t, "members"), zone))
	}
	return gangs
}

// checkRoom fails if a machine has more tasks than it has room for.
func (f *plannerFixture) checkRoom(t *rapid.T) {
	for _, worker := range f.machines {
		if free := worker.Free(); free.CPUs < -1e-6 || free.MemoryGB < -1e-6 {
			t.Fatalf("%s holds too much", worker.ID)
		}
	}
}

// endPlacedGang ends a gang and tells whether it was placed. It fails if a part of it was,
// or not in its zone and under one attempt.
func (f *plannerFixture) endPlacedGang(t *rapid.T, job *taskstate.Job) bool {
	placed := countPlaced(job)
	if placed == 0 {
		return false
	}
	if placed != len(job.Tasks) {
		t.Fatalf("%d of %d tasks are placed", placed, len(job.Tasks))
	}
	for _, task := range job.Tasks {
		if worker := f.Worker(task.WorkerID); worker.Zone != task.Zone || task.WireAttempt() != job.Gang.Attempt {
			t.Fatalf("task in zone %s, not %s, attempt %d of %d", worker.Zone, task.Zone, task.WireAttempt(), job.Gang.Attempt)
		}
		f.endTask(task)
	}
	return true
}

// TestGangIsPlacedWholeOrNotAtAll: whatever runs and comes, a round places all of a gang or
// nothing of it, under one attempt and on machines with the room and in the zones fixed; no
// gang waits for ever behind small tasks or another gang.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newGangFixture(drawMachineTypes(t, 3, 8)...)
		fixture.promptly = func(string) bool { return rapid.Bool().Draw(t, "prompt") }
		gangs := fixture.addDrawnGangs(t)
		over := map[*taskstate.Job]bool{}
		var smallTasks []*taskstate.Task
		id := 100
		for step := range 400 {
			if step < 300 { // small work never ends
				id++
				smallTasks = append(smallTasks, fixture.addJob(id, "standard", "s", 1, rapid.IntRange(1, 6).Draw(t, "small"))...)
			}
			fixture.runRound()
			fixture.now += 5 * time.Second
			fixture.checkRoom(t)
			for _, job := range gangs {
				over[job] = over[job] || fixture.endPlacedGang(t, job)
			}
			smallTasks = slices.DeleteFunc(smallTasks, func(task *taskstate.Task) bool {
				if task.State == taskstate.StatePlaced && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					fixture.endTask(task)
				}
				return task.State == taskstate.StateDone
			})
		}
		for _, job := range gangs {
			if !over[job] {
				t.Fatalf("a gang of %d tasks of %g processors has never found room", len(job.Tasks), job.Spec.CPUs)
			}
		}
	})
}

// TestGangGoesToFewMachinesThatCacheItsImage: machines that cache the image come first, and of
// them one that takes all of the gang.
func TestGangGoesToFewMachinesThatCacheItsImage(t *testing.T) {
	fixture := newGangFixture(small, small, large, large)
	fixture.machines[3].UseImage("x", 1)
	fixture.machines[0].UseImage("x", 1)
	job := fixture.addGangJob(1, "x", 1, 8)
	fixture.runRound()
	for _, task := range job.Tasks {
		if task.WorkerID != fixture.machines[3].ID {
			t.Errorf("task on %s", task.WorkerID)
		}
	}
}

// TestRoomIsReservedForExpectedGangs: after a gang, other work leaves room for the next, which
// then starts at once; when none has come for a while it gets all room.
func TestRoomIsReservedForExpectedGangs(t *testing.T) {
	fixture := newGangFixture(large, large, large, large, large, large)
	for _, worker := range fixture.machines[1:] {
		worker.Used.CPUs = worker.MachineType.CPUs // in use
	}
	fixture.promptly = func(string) bool { return true }
	first := fixture.addGangJob(1, "x", 2, 4)
	fixture.runRound()
	if countPlaced(first) != 4 {
		t.Fatal("the first gang finds no room")
	}
	fixture.addJob(2, "urgent", "s", 1, 40)
	fixture.runRound()
	second := fixture.addGangJob(3, "x", 2, 4)
	fixture.runRound()
	if countPlaced(second) != 4 {
		t.Error("other work has taken the room")
	}
	fixture.now += tuning.GangReservePeriod + time.Second
	for _, job := range []*taskstate.Job{first, second} {
		for _, task := range job.Tasks {
			fixture.endTask(task)
		}
	}
	fixture.runRound()
	if free := fixture.machines[0].Free(); free.CPUs > resource.Epsilon {
		t.Errorf("%g processors are still kept", free.CPUs)
	}
}

// TestOverdueGangHoldsMachinesFromWorkOfItsPriority: small tasks that arrive without end
// would else take every processor that comes free.
func TestOverdueGangHoldsMachinesFromWorkOfItsPriority(t *testing.T) {
	fixture := newGangFixture(small, small)
	running := fixture.addJob(1, "standard", "x", 1, 8)
	fixture.runRound()
	job := fixture.addGangJob(2, "y", 4, 2)
	for step := range int(tuning.StarvedAfter/time.Second) - 1 { // a starved job holds them from all work
		fixture.now += time.Second
		running = append(running, fixture.addJob(3+step, "standard", "x", 1, 2)...)
		fixture.runRound()
		if countPlaced(job) > 0 {
			if waited := time.Duration(step+1) * time.Second; countPlaced(job) != 2 || waited < tuning.WaitBound {
				t.Fatalf("%d of 2 tasks placed after %v", countPlaced(job), waited)
			}
			return
		}
		if i := slices.IndexFunc(running, func(task *taskstate.Task) bool { return task.State == taskstate.StatePlaced }); i >= 0 {
			fixture.endTask(running[i])
		}
	}
	t.Error("the gang never ran")
}
