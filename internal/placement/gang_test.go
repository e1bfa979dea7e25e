package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// gang makes a gang whose tasks arrive.
func (y *yard) gang(id int, image string, cpus float64, tasks int, zones ...string) *taskstate.Job {
	j := taskstate.NewJob(&jobs.Spec{
		ID: fmt.Sprintf("wk-%d", id), Class: "g", Shape: "gang", Urgency: "standard", Image: image, ImageGB: 1, CPUs: cpus,
		MemoryGB: cpus, Spot: true, Tasks: tasks,
	}, y.now.Milliseconds()+int64(id), false)
	j.Gang = &taskstate.Gang{}
	index := make([]int, tasks)
	for i := range index {
		index[i] = i
	}
	taskstate.LoadRecord(j, taskstate.NewRecord(0, j.Spec.ID, 0, index, zones, nil))
	for _, t := range j.Tasks {
		y.AddTask(t, y.now)
	}
	return j
}

func newGangYard(types ...*jobs.MachineType) *yard {
	y := newYard(types...)
	y.placesGangs = true
	return y
}

func placed(j *taskstate.Job) (n int) {
	for _, t := range j.Tasks {
		if t.State == taskstate.StatePlaced {
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
		y := newGangYard(types...)
		room := map[string]float64{}
		for i, h := range y.hosts {
			h.Zone = []string{"a", "b"}[i%2]
			room[h.Zone] += h.MachineType.CPUs
		}
		y.promptly = func(string) bool { return rapid.Bool().Draw(t, "prompt") }
		var gangs []*taskstate.Job
		var small []*taskstate.Task
		for n := range rapid.IntRange(1, 4).Draw(t, "gangs") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			cpus := rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus")
			gangs = append(gangs, y.gang(n, "g", cpus, rapid.IntRange(1, int(room[zone]/cpus)).Draw(t, "mates"), zone))
		}
		over := map[*taskstate.Job]bool{}
		id := 100
		for step := range 400 {
			if step < 300 { // small work never ends
				id++
				small = append(small, y.job(id, "standard", "s", 1, rapid.IntRange(1, 6).Draw(t, "small"))...)
			}
			y.round()
			y.now += 5 * time.Second
			for _, h := range y.hosts {
				if free := h.Free(); free.CPUs < -1e-6 || free.MemoryGB < -1e-6 {
					t.Fatalf("%s holds too much", h.ID)
				}
			}
			for _, j := range gangs {
				if over[j] || placed(j) == 0 {
					continue
				}
				if placed(j) != len(j.Tasks) {
					t.Fatalf("%d of %d tasks are placed", placed(j), len(j.Tasks))
				}
				for _, k := range j.Tasks {
					if h := y.Worker(k.WorkerID); h.Zone != k.Zone || k.WireAttempt() != j.Gang.Attempt {
						t.Fatalf("task in zone %s, not %s, attempt %d of %d", h.Zone, k.Zone, k.WireAttempt(), j.Gang.Attempt)
					}
					y.end(k)
				}
				over[j] = true
			}
			small = slices.DeleteFunc(small, func(k *taskstate.Task) bool {
				if k.State == taskstate.StatePlaced && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					y.end(k)
				}
				return k.State == taskstate.StateDone
			})
		}
		for _, j := range gangs {
			if !over[j] {
				t.Fatalf("a gang of %d tasks of %g processors has never found room", len(j.Tasks), j.Spec.CPUs)
			}
		}
	})
}

// TestGangOnFewCachingMachines: machines that cache the image come first, and of
// them one that takes all of the gang.
func TestGangOnFewCachingMachines(t *testing.T) {
	y := newGangYard(small, small, large, large)
	y.hosts[3].UseImage("x", 1)
	y.hosts[0].UseImage("x", 1)
	j := y.gang(1, "x", 1, 8)
	y.round()
	for _, k := range j.Tasks {
		if k.WorkerID != y.hosts[3].ID {
			t.Errorf("task on %s", k.WorkerID)
		}
	}
}

// TestRoomForGangsToCome: after a gang, other work leaves room for the next, which
// then starts at once; when none has come for a while it gets all room.
func TestRoomForGangsToCome(t *testing.T) {
	y := newGangYard(large, large, large, large, large, large)
	for _, h := range y.hosts[1:] {
		h.Used.CPUs = h.MachineType.CPUs // in use
	}
	y.promptly = func(string) bool { return true }
	first := y.gang(1, "x", 2, 4)
	y.round()
	if placed(first) != 4 {
		t.Fatal("the first gang finds no room")
	}
	y.job(2, "urgent", "s", 1, 40)
	y.round()
	second := y.gang(3, "x", 2, 4)
	y.round()
	if placed(second) != 4 {
		t.Error("other work has taken the room")
	}
	y.now += tuning.GangReservePeriod + time.Second
	for _, j := range []*taskstate.Job{first, second} {
		for _, k := range j.Tasks {
			y.end(k)
		}
	}
	y.round()
	if free := y.hosts[0].Free(); free.CPUs > slack {
		t.Errorf("%g processors are still kept", free.CPUs)
	}
}
