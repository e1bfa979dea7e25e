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

// addDrawnGangs spreads the machines over zones a and b and adds one to four gangs, each of
// which fits into the zone fixed for it.
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

// checkRoom fails the test if a machine's tasks need more than its resources.
func (f *plannerFixture) checkRoom(t *rapid.T) {
	for _, worker := range f.machines {
		if free := worker.Free(); free.CPUs < -1e-6 || free.MemoryGB < -1e-6 {
			t.Fatalf("%s is overcommitted: %g processors and %g GB free, want at least 0", worker.ID, free.CPUs, free.MemoryGB)
		}
	}
}

// endPlacedGang ends a gang if it is placed and reports whether it was. It fails the test if
// only a part of the gang is placed, or a task outside its zone or under another attempt.
func (f *plannerFixture) endPlacedGang(t *rapid.T, job *taskstate.Job) bool {
	placed := countPlaced(job)
	if placed == 0 {
		return false
	}
	if placed != len(job.Tasks) {
		t.Fatalf("%d tasks of gang %s are placed, want 0 or %d", placed, job.Spec.ID, len(job.Tasks))
	}
	for _, task := range job.Tasks {
		if worker := f.Worker(task.WorkerID); worker.Zone != task.Zone || task.WireAttempt() != job.Gang.Attempt {
			t.Fatalf("%s is placed in zone %s under attempt %d, want zone %s and attempt %d", task.Name(), worker.Zone, task.WireAttempt(), task.Zone, job.Gang.Attempt)
		}
		f.endTask(task)
	}
	return true
}

// TestGangIsPlacedWholeOrNotAtAll guards against partly placed gangs and against starvation.
// With any running and arriving work, a round places all of a gang or nothing, under one
// attempt, on machines with room and in the zones fixed for it; no gang waits forever behind
// small tasks or another gang.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newGangFixture(drawMachineTypes(t, 3, 8)...)
		fixture.promptly = func(string) bool { return rapid.Bool().Draw(t, "prompt") }
		gangs := fixture.addDrawnGangs(t)
		ended := map[*taskstate.Job]bool{}
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
				ended[job] = ended[job] || fixture.endPlacedGang(t, job)
			}
			smallTasks = slices.DeleteFunc(smallTasks, func(task *taskstate.Task) bool {
				if task.State == taskstate.StatePlaced && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					fixture.endTask(task)
				}
				return task.State == taskstate.StateDone
			})
		}
		for _, job := range gangs {
			if !ended[job] {
				t.Fatalf("gang %s of %d tasks of %g processors each was not placed in 400 rounds", job.Spec.ID, len(job.Tasks), job.Spec.CPUs)
			}
		}
	})
}

// TestGangGoesToFewMachinesThatCacheItsImage checks that a gang is placed on machines that cache
// its image and, of these, on one that has room for all of it.
func TestGangGoesToFewMachinesThatCacheItsImage(t *testing.T) {
	fixture := newGangFixture(small, small, large, large)
	fixture.machines[3].UseImage("x", 1)
	fixture.machines[0].UseImage("x", 1)
	job := fixture.addGangJob(1, "x", 1, 8)
	fixture.runRound()
	for _, task := range job.Tasks {
		if task.WorkerID != fixture.machines[3].ID {
			t.Errorf("%s is placed on %q, want %s", task.Name(), task.WorkerID, fixture.machines[3].ID)
		}
	}
}

// TestRoomIsReservedForExpectedGangs checks that after a gang, other work leaves room for the
// next one, which then starts at once. Once tuning.GangReservePeriod has passed without a gang,
// other work gets the reserved room too.
func TestRoomIsReservedForExpectedGangs(t *testing.T) {
	fixture := newGangFixture(large, large, large, large, large, large)
	for _, worker := range fixture.machines[1:] {
		worker.Used.CPUs = worker.MachineType.CPUs // in use
	}
	fixture.promptly = func(string) bool { return true }
	first := fixture.addGangJob(1, "x", 2, 4)
	fixture.runRound()
	if countPlaced(first) != 4 {
		t.Fatalf("%d tasks of the first gang are placed, want 4", countPlaced(first))
	}
	fixture.addJob(2, "urgent", "s", 1, 40)
	fixture.runRound()
	second := fixture.addGangJob(3, "x", 2, 4)
	fixture.runRound()
	if countPlaced(second) != 4 {
		t.Errorf("%d tasks of the second gang are placed, want 4: other work uses the reserved room", countPlaced(second))
	}
	fixture.now += tuning.GangReservePeriod + time.Second
	for _, job := range []*taskstate.Job{first, second} {
		for _, task := range job.Tasks {
			fixture.endTask(task)
		}
	}
	fixture.runRound()
	if free := fixture.machines[0].Free(); free.CPUs > resource.Epsilon {
		t.Errorf("%g processors of %s are free after the reserve period, want 0", free.CPUs, fixture.machines[0].ID)
	}
}

// TestOverdueGangHoldsMachinesFromWorkOfItsPriority guards against an overdue gang that never
// starts because an endless stream of small tasks of its priority uses every processor that
// becomes free.
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
				t.Fatalf("%d tasks of the gang are placed after %v, want 2 after at least %v", countPlaced(job), waited, tuning.WaitBound)
			}
			return
		}
		if i := slices.IndexFunc(running, func(task *taskstate.Task) bool { return task.State == taskstate.StatePlaced }); i >= 0 {
			fixture.endTask(running[i])
		}
	}
	t.Errorf("the gang was not placed within %v", tuning.StarvedAfter)
}
