package placement

import (
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// serviceCapacity describes the machines that run replicas of services and cache an image.
type serviceCapacity struct {
	cachingServices map[string]bool // their IDs, with or without free processors
	machines        int             // how many of them have free processors
	replicas        int             // how many replicas of one processor fit on these
}

// runDrawnServices places a drawn number of replicas of services with another image on each
// machine and has some machines cache the image. It returns what room these have.
func (f *plannerFixture) runDrawnServices(t *rapid.T, image string) serviceCapacity {
	room := serviceCapacity{cachingServices: map[string]bool{}}
	for i, worker := range f.machines {
		cached := rapid.Bool().Draw(t, "cached")
		if cached {
			worker.UseImage(image, 1)
		}
		replicas := rapid.IntRange(0, int(worker.MachineType.CPUs)).Draw(t, "replicas")
		if replicas > 0 {
			for _, task := range f.addService(100+i, "other", 1, replicas) {
				f.PlaceTask(task, worker)
			}
		}
		if free := int(worker.MachineType.CPUs) - replicas; cached && replicas > 0 && free > 0 {
			room.machines++
			room.replicas += free
		}
		room.cachingServices[worker.ID] = worker.HasImage(image) && worker.ServiceCPUs > 0
	}
	f.arrivals = nil
	return room
}

// TestReplicasOfAServiceGoToDifferentMachines checks that the replicas of a service are spread
// over machines only where that costs little: no replica starts later than if they were
// packed, none is placed on a machine without services while one with services has room, and
// none on a machine without the image while one that caches it has room.
func TestReplicasOfAServiceGoToDifferentMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newPlannerFixture(drawMachineTypes(t, 1, 8)...)
		room := fixture.runDrawnServices(t, "x")
		replicas := fixture.addService(1, "x", 1, rapid.IntRange(2, 6).Draw(t, "wanted"))
		free := 0
		for _, worker := range fixture.machines {
			free += int(worker.Free().CPUs)
		}
		fixture.runRound()
		placed, placedOn := 0, map[string]int{}
		for _, task := range replicas {
			if task.State == taskstate.StatePlaced {
				placed++
				placedOn[task.WorkerID]++
			}
		}
		if placed != min(len(replicas), free) {
			t.Fatalf("%d replicas are placed, want %d: %d wait and %d fit", placed, min(len(replicas), free), len(replicas), free)
		}
		machines, placedOnCaching := 0, 0
		for id, count := range placedOn {
			if room.cachingServices[id] {
				machines++
				placedOnCaching += count
			}
		}
		if want := min(room.machines, len(replicas)); machines != want {
			t.Fatalf("replicas are placed on %d machines with services and the image, want %d", machines, want)
		}
		if want := min(room.replicas, len(replicas)); placedOnCaching != want {
			t.Fatalf("%d replicas are placed on machines with services and the image, want %d", placedOnCaching, want)
		}
	})
}

// TestServicesShareFewMachines checks that replicas of many small services share few machines,
// and that arrays whose image no machine caches do not use these while others have room.
func TestServicesShareFewMachines(t *testing.T) {
	expensive, cheap := *small, *large
	expensive.Price, cheap.Price = 1, 4
	fixture := newPlannerFixture(&expensive, &cheap, &cheap, &expensive, &cheap)
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
		t.Fatalf("20 replicas are on %d machines, the first of type %s; want one of type %s", len(list), list[0].MachineType.Name, cheap.Name)
	}
	fixture.addJob(100, "standard", "y", 4, 10)
	fixture.runRound()
	for _, worker := range serving() {
		if worker.Used.CPUs > worker.ServiceCPUs {
			t.Errorf("%s runs arrays on %.0f processors while other machines have room, want 0", worker.ID, worker.Used.CPUs-worker.ServiceCPUs)
		}
	}
}
