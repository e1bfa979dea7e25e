package leader

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
)

// drawCapacityView draws machines of two types with some room left on them.
func drawCapacityView(t *rapid.T) *capacityView {
	view := &capacityView{totalCPUs: make([]float64, 2), queuedCPUs: make([]float64, 2)}
	types := []*jobs.MachineType{
		{Name: "s", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}},
		{Name: "l", CPUs: 64, MemoryGB: 128, Zones: []string{"a", "b"}},
	}
	for range rapid.IntRange(0, 8).Draw(t, "groups") {
		machineType := rapid.SampledFrom(types).Draw(t, "type")
		kind := fleet.MachineKind{
			MachineType: machineType.Name, Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Spot: rapid.Bool().Draw(t, "spot"),
		}
		group := &machineGroup{
			kind:  &fleet.AvailableMachine{MachineKind: kind, MachineType: machineType},
			shard: rapid.IntRange(0, 1).Draw(t, "shard"), booting: rapid.Bool().Draw(t, "booting"),
		}
		for range rapid.IntRange(0, 5).Draw(t, "machines") {
			group.machines = append(group.machines, machineCapacity{available: resource.Vector{
				CPUs:     rapid.Float64Range(0.5, machineType.CPUs).Draw(t, "cpus"),
				MemoryGB: rapid.Float64Range(0.5, machineType.MemoryGB).Draw(t, "memory"),
			}})
		}
		view.groups = append(view.groups, group)
	}
	return view
}

// freeCPUs sums up what the machines of a group have left.
func freeCPUs(t *rapid.T, group *machineGroup) float64 {
	sum := 0.0
	for _, machine := range group.machines {
		if machine.available.CPUs < -resource.Epsilon || machine.available.MemoryGB < -resource.Epsilon {
			t.Fatalf("a machine is left with %+v", machine)
		}
		sum += machine.available.CPUs
	}
	return sum
}

// TestAllocateUsesAllSuitableRoom: a job gets room for as many tasks as there is, on machines that it
// may use, and never more than a machine holds.
func TestAllocateUsesAllSuitableRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawCapacityView(t)
		freeBefore := map[*machineGroup]float64{}
		for _, group := range view.groups {
			freeBefore[group] = freeCPUs(t, group)
		}
		job := &jobState{spec: &jobs.Spec{
			CPUs: rapid.SampledFrom([]float64{0.5, 1, 4, 16}).Draw(t, "task"), MemoryGB: rapid.SampledFrom([]float64{0, 1, 40}).Draw(t, "gb"),
			Spot: rapid.Bool().Draw(t, "spot allowed"), Zone: rapid.SampledFrom([]string{"", "a"}).Draw(t, "only zone"),
		}}
		set := machineSet{shard: rapid.IntRange(anyShard, 1).Draw(t, "which"), booting: rapid.Bool().Draw(t, "which are booting")}
		limit := rapid.IntRange(0, 60).Draw(t, "tasks")
		usable := func(group *machineGroup) bool {
			return group.booting == set.booting && (set.shard < 0 || group.shard == set.shard) && group.kind.CouldRun(job.spec, "")
		}
		room := 0
		for _, group := range view.groups {
			for i := range group.machines {
				if usable(group) {
					room += group.machines[i].taskCount(job.spec)
				}
			}
		}
		reported := 0
		allocated := view.allocate(job, set, limit, func(shard, tasks int) {
			reported += tasks
			if set.shard >= 0 && shard != set.shard {
				t.Fatalf("shard %d gave room, %d was asked", shard, set.shard)
			}
		})
		if allocated != min(limit, room) || reported != allocated {
			t.Fatalf("%d tasks, room for %d: %d taken, %d reported", limit, room, allocated, reported)
		}
		used := 0.0
		for _, group := range view.groups {
			freeAfter := freeCPUs(t, group)
			if !usable(group) && math.Abs(freeAfter-freeBefore[group]) > 1e-6 {
				t.Fatal("room was taken on machines that the job may not use")
			}
			if usable(group) {
				used += freeBefore[group] - freeAfter // less what full machines had left
			}
		}
		if used < float64(allocated)*job.spec.CPUs-1e-6 {
			t.Fatalf("%d tasks of %g processors took %g", allocated, job.spec.CPUs, used)
		}
	})
}
