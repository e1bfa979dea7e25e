package leader

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
)

// TestBoardTakesWhatFits: hand-outs give a job as many tasks as there is room
// for, on machines that it may use, and never more than a machine holds.
func TestBoardTakesWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &capacityView{totalCPUs: make([]float64, 2), queuedCPUs: make([]float64, 2)}
		types := []*jobs.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}}, {Name: "l", CPUs: 64, MemoryGB: 128, Zones: []string{"a", "b"}}}
		before := map[*machineGroup]float64{}
		for range rapid.IntRange(0, 8).Draw(t, "racks") {
			typ := rapid.SampledFrom(types).Draw(t, "type")
			r := &machineGroup{
				kind:  &fleet.AvailableMachine{MachineKind: fleet.MachineKind{MachineType: typ.Name, Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot")}, MachineType: typ},
				shard: rapid.IntRange(0, 1).Draw(t, "block"), booting: rapid.Bool().Draw(t, "booting"),
			}
			for range rapid.IntRange(0, 5).Draw(t, "rooms") {
				r.machines = append(r.machines, machineCapacity{cpus: rapid.Float64Range(0.5, typ.CPUs).Draw(t, "cpus"), memoryGB: rapid.Float64Range(0.5, typ.MemoryGB).Draw(t, "memory")})
			}
			for _, m := range r.machines {
				before[r] += m.cpus
			}
			b.groups = append(b.groups, r)
		}
		p := &jobState{spec: &jobs.Spec{
			CPUs: rapid.SampledFrom([]float64{0.5, 1, 4, 16}).Draw(t, "task"), MemoryGB: rapid.SampledFrom([]float64{0, 1, 40}).Draw(t, "gb"),
			Spot: rapid.Bool().Draw(t, "spot allowed"), Zone: rapid.SampledFrom([]string{"", "a"}).Draw(t, "only zone"),
		}}
		block, booting := rapid.IntRange(-1, 1).Draw(t, "which"), rapid.Bool().Draw(t, "which are booting")
		want := rapid.IntRange(0, 60).Draw(t, "tasks")
		usable := func(r *machineGroup) bool {
			return r.booting == booting && (block < 0 || r.shard == block) && r.kind.CouldRun(p.spec, "")
		}
		room := 0
		for _, r := range b.groups {
			for i := range r.machines {
				if usable(r) {
					room += r.machines[i].taskCount(p.spec)
				}
			}
		}
		told := 0
		got := b.take(p, "", block, booting, want, func(at, n int) {
			told += n
			if block >= 0 && at != block {
				t.Fatalf("block %d gave room, %d was asked", at, block)
			}
		})
		if got != min(want, room) || told != got {
			t.Fatalf("%d tasks, room for %d: %d taken, %d told", want, room, got, told)
		}
		used := 0.0
		for _, r := range b.groups {
			left := 0.0
			for _, m := range r.machines {
				if m.cpus < -slack || m.memoryGB < -slack {
					t.Fatalf("a machine is left with %+v", m)
				}
				left += m.cpus
			}
			if !usable(r) && math.Abs(left-before[r]) > 1e-6 {
				t.Fatal("room was taken on machines that the job may not use")
			}
			if usable(r) {
				used += before[r] - left // less what full machines had left
			}
		}
		if used < float64(got)*p.spec.CPUs-1e-6 {
			t.Fatalf("%d tasks of %g processors took %g", got, p.spec.CPUs, used)
		}
	})
}
