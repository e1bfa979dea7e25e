package placement

import (
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/workers"
)

// servingRoom is the machines that run replicas of services and cache an image, and what
// they have room for.
type servingRoom struct {
	cachingServices map[string]bool // IDs, with room or without
	machines        int             // that have room
	replicas        int             // that they have room for
}

// runDrawnServices has the machines run replicas of services that need another image, and
// some of them cache an image already.
func (f *plannerFixture) runDrawnServices(t *rapid.T, image string) servingRoom {
	room := servingRoom{cachingServices: map[string]bool{}}
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

// TestReplicasOfAServiceGoToDifferentMachines: where that costs little: never later than
// packed, never to a machine without services while one with services has room, and never
// to one without the image while one that caches it has.
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
			t.Fatalf("%d of %d replicas placed, room for %d", placed, len(replicas), free)
		}
		machines, onThem := 0, 0
		for id, count := range placedOn {
			if room.cachingServices[id] {
				machines++
				onThem += count
			}
		}
		if want := min(room.machines, len(replicas)); machines != want {
			t.Fatalf("replicas on %d machines with services and the image, %d of them had room", machines, want)
		}
		if want := min(room.replicas, len(replicas)); onThem != want {
			t.Fatalf("%d replicas on machines with services and the image, which had room for %d", onThem, want)
		}
	})
}

// TestServicesShareFewMachines: replicas of many small services share few machines, and arrays
// that are cached nowhere leave those to them while others have room.
func TestServicesShareFewMachines(t *testing.T) {
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
