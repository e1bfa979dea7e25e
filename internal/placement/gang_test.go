package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// addGangJob makes a gang whose tasks arrive.
func (y *plannerFixture) addGangJob(id int, image string, cpus float64, tasks int, zones ...string) *taskstate.Job {
	job := taskstate.NewJob(&jobs.Spec{
		ID: fmt.Sprintf("wk-%d", id), Class: "g", Shape: "gang", Urgency: "standard", Image: image, ImageGB: 1, CPUs: cpus,
		MemoryGB: cpus, Spot: true, Tasks: tasks,
	}, y.now.Milliseconds()+int64(id), false)
	job.Gang = &taskstate.Gang{}
	index := make([]int, tasks)
	for i := range index {
		index[i] = i
	}
	taskstate.LoadRecord(job, taskstate.NewRecord(0, job.Spec.ID, 0, index, zones, nil))
	for _, task := range job.Tasks {
		y.AddTask(task, y.now)
	}
	return job
}

func newGangFixture(types ...*jobs.MachineType) *plannerFixture {
	fixture := newPlannerFixture(types...)
	fixture.placesGangs = true
	return fixture
}

func countPlaced(job *taskstate.Job) (n int) {
	for _, task := range job.Tasks {
		if task.State == taskstate.StatePlaced {
			n++
		}
	}
	return n
}

// TestGangAllOrNothing: whatever runs and comes, a round places all of a gang or
// nothing of it, under one attempt and on machines with the room and in the zones
// fixed; no gang waits for ever behind small tasks or another gang.
func TestGangAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var types []*jobs.MachineType
		for range rapid.IntRange(3, 8).Draw(t, "machines") {
			types = append(types, rapid.SampledFrom([]*jobs.MachineType{small, large}).Draw(t, "type"))
		}
		fixture := newGangFixture(types...)
		room := map[string]float64{}
		for i, worker := range fixture.machines {
			worker.Zone = []string{"a", "b"}[i%2]
			room[worker.Zone] += worker.MachineType.CPUs
		}
		fixture.promptly = func(string) bool { return rapid.Bool().Draw(t, "prompt") }
		var gangs []*taskstate.Job
		var small []*taskstate.Task
		for n := range rapid.IntRange(1, 4).Draw(t, "gangs") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			cpus := rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus")
			gangs = append(gangs, fixture.addGangJob(n, "g", cpus, rapid.IntRange(1, int(room[zone]/cpus)).Draw(t, "mates"), zone))
		}
		over := map[*taskstate.Job]bool{}
		id := 100
		for step := range 400 {
			if step < 300 { // small work never ends
				id++
				small = append(small, fixture.addJob(id, "standard", "s", 1, rapid.IntRange(1, 6).Draw(t, "small"))...)
			}
			fixture.runRound()
			fixture.now += 5 * time.Second
			for _, worker := range fixture.machines {
				if free := worker.Free(); free.CPUs < -1e-6 || free.MemoryGB < -1e-6 {
					t.Fatalf("%s holds too much", worker.ID)
				}
			}
			for _, job := range gangs {
				if over[job] || countPlaced(job) == 0 {
					continue
				}
				if countPlaced(job) != len(job.Tasks) {
					t.Fatalf("%d of %d tasks are placed", countPlaced(job), len(job.Tasks))
				}
				for _, task := range job.Tasks {
					if worker := fixture.Worker(task.WorkerID); worker.Zone != task.Zone || task.WireAttempt() != job.Gang.Attempt {
						t.Fatalf("task in zone %s, not %s, attempt %d of %d", worker.Zone, task.Zone, task.WireAttempt(), job.Gang.Attempt)
					}
					fixture.endTask(task)
				}
				over[job] = true
			}
			small = slices.DeleteFunc(small, func(task *taskstate.Task) bool {
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

// TestGangOnFewCachingMachines: machines that cache the image come first, and of
// them one that takes all of the gang.
func TestGangOnFewCachingMachines(t *testing.T) {
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

// TestRoomForGangsToCome: after a gang, other work leaves room for the next, which
// then starts at once; when none has come for a while it gets all room.
func TestRoomForGangsToCome(t *testing.T) {
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
