package placement

import (
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// addService makes a service whose replicas arrive.
func (y *plannerFixture) addService(id int, image string, cpus float64, replicas int) []*taskstate.Task {
	tasks := y.addJob(id, "urgent", image, cpus, replicas)
	for _, task := range tasks {
		task.Job.Spec.Shape = "daemon"
		task.Job.Tasks[task.Index] = task
	}
	return tasks
}

// TestReplicasApart: replicas of a service go to different machines where that costs
// little: never later than packed, never to a machine without services while one with
// services has room, and never to one without the image while one that caches it has.
func TestReplicasApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var types []*jobs.MachineType
		for range rapid.IntRange(1, 8).Draw(t, "machines") {
			types = append(types, rapid.SampledFrom([]*jobs.MachineType{small, large}).Draw(t, "type"))
		}
		fixture := newPlannerFixture(types...)
		serving, room := 0, 0 // machines with services that cache the image and have room; room there
		for i, worker := range fixture.machines {
			cached := rapid.Bool().Draw(t, "cached")
			if cached {
				worker.UseImage("x", 1)
			}
			replicas := rapid.IntRange(0, int(worker.MachineType.CPUs)).Draw(t, "replicas")
			if replicas > 0 {
				// They are there already, under another image.
				for _, task := range fixture.addService(100+i, "other", 1, replicas) {
					fixture.PlaceTask(task, worker)
				}
			}
			if free := int(worker.MachineType.CPUs) - replicas; cached && replicas > 0 && free > 0 {
				serving++
				room += free
			}
		}
		fixture.arrivals = nil
		replicas := fixture.addService(1, "x", 1, rapid.IntRange(2, 6).Draw(t, "wanted"))
		free := 0
		for _, worker := range fixture.machines {
			free += int(worker.Free().CPUs)
		}
		before := map[string]bool{} // machines that cached the image and had services
		for _, worker := range fixture.machines {
			before[worker.ID] = worker.HasImage("x") && worker.ServiceCPUs > 0
		}
		fixture.runRound()
		placed, there := 0, map[string]int{}
		for _, task := range replicas {
			if task.State == taskstate.StatePlaced {
				placed++
				there[task.WorkerID]++
			}
		}
		if placed != min(len(replicas), free) {
			t.Fatalf("%d of %d replicas placed, room for %d", placed, len(replicas), free)
		}
		apart, on := 0, 0
		for id, n := range there {
			if before[id] {
				apart++
				on += n
			}
		}
		if want := min(serving, len(replicas)); apart != want {
			t.Fatalf("replicas on %d machines with services and the image, %d of them had room", apart, want)
		}
		if want := min(room, len(replicas)); on != want {
			t.Fatalf("%d replicas on machines with services and the image, which had room for %d", on, want)
		}
	})
}

// TestServicesPacked: replicas of many small services share few machines, and arrays
// that are cached nowhere leave those to them while others have room.
func TestServicesPacked(t *testing.T) {
	dear, cheap := *small, *large
	dear.Price, cheap.Price = 1, 4
	fixture := newPlannerFixture(&dear, &cheap, &cheap, &dear, &cheap)
	for i := range 20 {
		fixture.addService(i, "x", 1, 1)
		fixture.runRound()
	}
	serving := func() (list []*workers.Worker) {
		for _, worker := range fixture.machines {
			if worker.ServiceCPUs > 0 {
				list = append(list, worker)
			}
		}
		return list
	}
	if list := serving(); len(list) != 1 || list[0].MachineType != &cheap {
		t.Fatalf("20 replicas on %d machines, the first %s", len(list), list[0].MachineType.Name)
	}
	fixture.addJob(100, "standard", "y", 4, 10)
	fixture.runRound()
	for _, worker := range serving() {
		if worker.Used.CPUs > worker.ServiceCPUs {
			t.Errorf("%s has %.0f processors of arrays while others have room", worker.ID, worker.Used.CPUs-worker.ServiceCPUs)
		}
	}
}
