package leader

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/workers"
)

// drawnBackoffs are the backoffs of the test's job, by shard.
type drawnBackoffs [2]*fleet.Backoff

// Backoff returns the backoff of the job in a shard, nil for none.
func (b *drawnBackoffs) Backoff(_ string, shard int) *fleet.Backoff { return b[shard] }

// drawBackoffs draws which shards pause the job, and which machines it avoids in them.
func drawBackoffs(t *rapid.T) *drawnBackoffs {
	backoffs := &drawnBackoffs{}
	for shard := range backoffs {
		if !rapid.Bool().Draw(t, "backs off") {
			continue
		}
		var entries []fleet.JobBackoff
		if rapid.IntRange(0, 3).Draw(t, "paused") == 0 {
			entries = append(entries, fleet.JobBackoff{Job: testJobID, ForMS: 1000})
		}
		for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom(machineIDs), rapid.ID).Draw(t, "avoided") {
			entries = append(entries, fleet.JobBackoff{Job: testJobID, MachineID: id, ForMS: 1000})
		}
		backoffs[shard] = fleet.NewBackoff(entries, 0)
	}
	return backoffs
}

const testJobID = "wk-1"

// machineIDs are the IDs of the drawn machines; several may have the same one.
var machineIDs = []string{"vm-0", "vm-1", "vm-2", "vm-3"}

// drawHold draws a hold on a machine, mostly none.
func drawHold(t *rapid.T) workers.Hold {
	if rapid.IntRange(0, 3).Draw(t, "held") > 0 {
		return workers.Hold{}
	}
	return workers.Hold{
		JobID:       rapid.SampledFrom([]string{testJobID, "wk-2"}).Draw(t, "held for"),
		MinPriority: jobs.Priority(rapid.IntRange(1, 4).Draw(t, "minimum priority")),
	}
}

// drawCapacityView draws groups of machines of two types, each machine with some free capacity.
func drawCapacityView(t *rapid.T) *capacityView {
	view := &capacityView{totalCPUs: make([]float64, 2), queuedCPUs: make([]float64, 2), backoffs: drawBackoffs(t)}
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
			group.machines = append(group.machines, machineCapacity{
				id: rapid.SampledFrom(machineIDs).Draw(t, "id"), hold: drawHold(t),
				available: resource.Vector{
					CPUs:     rapid.Float64Range(0.5, machineType.CPUs).Draw(t, "cpus"),
					MemoryGB: rapid.Float64Range(0.5, machineType.MemoryGB).Draw(t, "memory"),
				},
			})
		}
		view.groups = append(view.groups, group)
	}
	return view
}

// mayUse reports whether a job may use a group of a set: it repeats what the shard's owner goes by.
func (v *capacityView) mayUse(group *machineGroup, set machineSet, spec *jobs.Spec) bool {
	return group.booting == set.booting && (set.shard < 0 || group.shard == set.shard) && group.kind.CouldRun(spec, "") &&
		!v.backoffs.Backoff(spec.ID, group.shard).IsPaused(0)
}

// roomIn returns for how many tasks of a job a group has room on machines that the shard's owner does
// not refuse to the job.
func (v *capacityView) roomIn(group *machineGroup, spec *jobs.Spec) int {
	room := 0
	for _, machine := range group.machines {
		heldForOther := machine.hold.JobID != "" && machine.hold.JobID != spec.ID && spec.Priority() < machine.hold.MinPriority
		if !heldForOther && !v.backoffs.Backoff(spec.ID, group.shard).Avoids(machine.id, 0) {
			room += spec.Resources().CountIn(machine.available)
		}
	}
	return room
}

// freeCPUs returns the free processors of the machines of a group. It fails the test if a
// machine has negative free capacity.
func freeCPUs(t *rapid.T, group *machineGroup) float64 {
	sum := 0.0
	for _, machine := range group.machines {
		if machine.available.CPUs < -resource.Epsilon || machine.available.MemoryGB < -resource.Epsilon {
			t.Fatalf("free capacity of a machine is %+v, want no negative value", machine)
		}
		sum += machine.available.CPUs
	}
	return sum
}

// TestAllocateUsesAllSuitableRoom guards against a job that gets less room than its machines
// have, room on machines that it may not use, or more than a machine has.
func TestAllocateUsesAllSuitableRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawCapacityView(t)
		freeBefore := map[*machineGroup]float64{}
		for _, group := range view.groups {
			freeBefore[group] = freeCPUs(t, group)
		}
		job := &jobState{spec: &jobs.Spec{
			ID: testJobID, Urgency: rapid.SampledFrom([]string{"low", "standard", "urgent"}).Draw(t, "urgency"),
			CPUs: rapid.SampledFrom([]float64{0.5, 1, 4, 16}).Draw(t, "task"), MemoryGB: rapid.SampledFrom([]float64{0, 1, 40}).Draw(t, "gb"),
			Spot: rapid.Bool().Draw(t, "spot allowed"), Zone: rapid.SampledFrom([]string{"", "a"}).Draw(t, "only zone"),
		}}
		set := machineSet{shard: rapid.IntRange(anyShard, 1).Draw(t, "which"), booting: rapid.Bool().Draw(t, "which are booting")}
		limit := rapid.IntRange(0, 60).Draw(t, "tasks")
		usable := func(group *machineGroup) bool { return view.mayUse(group, set, job.spec) }
		room := 0
		for _, group := range view.groups {
			if usable(group) {
				room += view.roomIn(group, job.spec)
			}
		}
		reported := 0
		allocated := view.allocate(job, set, limit, func(shard, tasks int) {
			reported += tasks
			if set.shard >= 0 && shard != set.shard {
				t.Fatalf("allocated room in shard %d, want only shard %d", shard, set.shard)
			}
		})
		if allocated != min(limit, room) || reported != allocated {
			t.Fatalf("limit %d, room for %d tasks: allocated %d, reported %d by callback, want %d", limit, room, allocated, reported, min(limit, room))
		}
		used := 0.0
		for _, group := range view.groups {
			freeAfter := freeCPUs(t, group)
			if !usable(group) && math.Abs(freeAfter-freeBefore[group]) > 1e-6 {
				t.Fatalf("free processors of a group that the job may not use went from %g to %g, want no change", freeBefore[group], freeAfter)
			}
			if usable(group) {
				used += freeBefore[group] - freeAfter // includes the remainder of machines removed as full
			}
		}
		if used < float64(allocated)*job.spec.CPUs-1e-6 {
			t.Fatalf("%d tasks of %g processors used %g processors, want at least %g", allocated, job.spec.CPUs, used, float64(allocated)*job.spec.CPUs)
		}
	})
}
