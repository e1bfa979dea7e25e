package leader

import (
	"slices"
	"testing"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
	"lemonmoor/internal/workers"
)

// refusedRoomCase is a way in which the owner of shard 0 may refuse its only machine, vm-2, to wk-1.
type refusedRoomCase struct {
	name     string
	backoffs []fleet.JobBackoff
	hold     workers.Hold
	refused  bool
}

var refusedRoomCases = []refusedRoomCase{
	{name: "not refused"},
	{name: "failed there", backoffs: []fleet.JobBackoff{{Job: "wk-1", MachineID: "vm-2", ForMS: 3_600_000}}, refused: true},
	{name: "failed on another machine", backoffs: []fleet.JobBackoff{{Job: "wk-1", MachineID: "vm-9", ForMS: 3_600_000}}},
	{name: "the wait is over", backoffs: []fleet.JobBackoff{{Job: "wk-1", MachineID: "vm-2"}}},
	{name: "held for another job", hold: workers.Hold{JobID: "wk-2", MinPriority: jobs.PriorityCritical}, refused: true},
	{name: "held for the job", hold: workers.Hold{JobID: "wk-1", MinPriority: jobs.PriorityCritical}},
}

// TestTasksThatTheirShardDoesNotPlaceAreRecalled guards against tasks that wait in a shard whose owner
// passes its machine over for them, because the leader counts the machine's room for them: they are
// recalled for the machine of another shard, gangs too.
func TestTasksThatTheirShardDoesNotPlaceAreRecalled(t *testing.T) {
	for _, shape := range []jobs.Shape{jobs.ShapeArray, jobs.ShapeGang} {
		// The tasks of a paused job would fail elsewhere too.
		paused := refusedRoomCase{name: "paused", backoffs: []fleet.JobBackoff{{Job: "wk-1", ForMS: 3_600_000}}}
		for _, test := range append(slices.Clone(refusedRoomCases), paused) {
			t.Run(string(shape)+" "+test.name, func(t *testing.T) {
				service := statetest.New()
				spec := newSpec("wk-1", 2)
				spec.Shape = shape
				submit(t, service, spec)
				putRecord(t, service, spec.ID, 0, 0, 1)
				node := startProcess(service, twoZones)
				node.backoffs, node.hold = test.backoffs, test.hold
				node.run(8 * time.Second)
				recalled := slices.Contains(node.leader.TakeRecalls(0), fleet.Recall{Job: spec.ID, Tasks: 2})
				if recalled != test.refused {
					t.Errorf("recalled: %v, want %v", recalled, test.refused)
				}
			})
		}
	}
}

// TestTasksAreDispatchedWhereTheyArePlaced checks that new tasks are dispatched to a shard whose owner
// places them at once.
func TestTasksAreDispatchedWhereTheyArePlaced(t *testing.T) {
	paused := refusedRoomCase{name: "paused", backoffs: []fleet.JobBackoff{{Job: "wk-1", ForMS: 3_600_000}}, refused: true}
	for _, test := range append(slices.Clone(refusedRoomCases), paused) {
		t.Run(test.name, func(t *testing.T) {
			service := statetest.New()
			node := startProcess(service, twoZones)
			node.backoffs, node.hold = test.backoffs, test.hold
			node.run(3 * time.Second)
			spec := newSpec("wk-1", 2)
			submit(t, service, spec)
			node.run(time.Second)
			for _, record := range node.store.JobRecords(spec.ID) {
				if refused := record.Shard == 0 && test.refused; refused || record.Statuses[0].State != taskstate.StateWaiting {
					t.Errorf("dispatched to shard %d, whose owner does not place the tasks", record.Shard)
				}
			}
			if dispatched := node.dispatchedTasks(spec.ID); dispatched != 2 {
				t.Errorf("%d tasks are dispatched, want 2", dispatched)
			}
		})
	}
}

// TestLeaderLeavesRoomThatTheOwnerReserves checks that arrays are dispatched to no room that the owner
// of the shard reserves for gangs, and starved ones are.
func TestLeaderLeavesRoomThatTheOwnerReserves(t *testing.T) {
	machine := machineCapacity{available: resource.Vector{CPUs: 8, MemoryGB: 8}, ownerReserved: resource.Vector{CPUs: 6, MemoryGB: 6}}
	spec := &jobs.Spec{ID: "wk-1", CPUs: 1, MemoryGB: 1}
	gang := &jobs.Spec{ID: "wk-2", Shape: jobs.ShapeGang, CPUs: 1, MemoryGB: 1}
	view := &capacityView{backoffs: &drawnBackoffs{}}
	for _, test := range []struct {
		name    string
		request *roomRequest
		room    int
	}{
		{"array", view.roomFor(spec, false), 2},
		{"starved array", view.roomFor(spec, true), 8},
		{"gang", view.roomFor(gang, false), 8},
	} {
		if got := machine.taskCount(test.request, nil); got != test.room {
			t.Errorf("%s: room for %d tasks, want %d", test.name, got, test.room)
		}
	}
	machine.reserved = resource.Vector{CPUs: 7}
	if got := machine.taskCount(view.roomFor(spec, false), nil); got != 1 {
		t.Errorf("beside the leader's own reserve: room for %d tasks, want 1", got)
	}
}

// TestDemandOfJobsThatFail checks how many machines the tasks of a job ask for after failures: a paused
// job for none, and one that may fail everywhere for one, since more would not help it. A gang needs
// all of its machines to run at all.
func TestDemandOfJobsThatFail(t *testing.T) {
	paused := fleet.JobBackoff{Job: "wk-1", ForMS: 3_600_000}
	failsEverywhere := fleet.JobBackoff{Job: "wk-1", MayFailEverywhere: true}
	for _, test := range []struct {
		name          string
		shape         jobs.Shape
		backoffs      []fleet.JobBackoff
		tasks, queued int
	}{
		{name: "no failure", shape: jobs.ShapeArray, tasks: 5},
		{name: "another job fails", shape: jobs.ShapeArray, backoffs: []fleet.JobBackoff{{Job: "wk-2", ForMS: 3_600_000, MayFailEverywhere: true}}, tasks: 5},
		{name: "paused", shape: jobs.ShapeArray, backoffs: []fleet.JobBackoff{paused}, queued: 5},
		{name: "may fail everywhere", shape: jobs.ShapeArray, backoffs: []fleet.JobBackoff{failsEverywhere}, tasks: 1},
		{name: "a paused gang", shape: jobs.ShapeGang, backoffs: []fleet.JobBackoff{paused}, queued: 5},
		{name: "a gang that may fail everywhere", shape: jobs.ShapeGang, backoffs: []fleet.JobBackoff{failsEverywhere}, tasks: 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := startProcess(statetest.New(), twoZones)
			node.backoffs = test.backoffs
			node.run(3 * time.Second)
			spec := newSpec("wk-1", 5)
			spec.Shape = test.shape
			round := &dispatchRound{leader: node.leader}
			round.addDemand(&jobState{spec: spec, entry: &userapi.Entry{ID: spec.ID}}, "", 5)
			if len(round.demands) != 1 || round.demands[0].Tasks != test.tasks || round.demands[0].Queued != test.queued {
				t.Errorf("demands %+v, want one of %d tasks and %d queued ones", round.demands, test.tasks, test.queued)
			}
		})
	}
}

// TestQueuedTasksAreReportedToTheFleet checks that tasks for which their shard has room, or which are
// paused there, are reported as queued, so that the idle machines they are to use stay.
func TestQueuedTasksAreReportedToTheFleet(t *testing.T) {
	for _, shape := range []jobs.Shape{jobs.ShapeArray, jobs.ShapeGang} {
		for _, backoffs := range [][]fleet.JobBackoff{nil, {{Job: "wk-1", ForMS: 3_600_000}}} {
			service := statetest.New()
			spec := newSpec("wk-1", 2)
			spec.Shape = shape
			submit(t, service, spec)
			putRecord(t, service, spec.ID, 0, 0, 1)
			node := startProcess(service, twoZones)
			node.backoffs = backoffs
			node.run(3 * time.Second)
			round := &dispatchRound{leader: node.leader, capacity: newCapacityView(2, node.fleet, node.leader.machines, service.Now())}
			round.planQueuedTasks()
			if len(round.demands) != 1 || round.demands[0].Queued != 2 || round.demands[0].Tasks != 0 {
				t.Errorf("%s, %d backoffs: demands %+v, want one of two queued tasks", shape, len(backoffs), round.demands)
			}
		}
	}
}

// TestGangIsNotSentToAvoidedMachines checks that a machine that a gang avoids does not count as one that
// could hold it.
func TestGangIsNotSentToAvoidedMachines(t *testing.T) {
	node := startProcess(statetest.New(), twoZones)
	node.backoffs = []fleet.JobBackoff{{Job: "wk-1", MachineID: "vm-2", ForMS: 3_600_000}}
	node.run(3 * time.Second)
	spec := newSpec("wk-1", 2)
	spec.Shape = jobs.ShapeGang
	room := node.leader.emptyMachineRoom(spec)
	if room[shardZone{0, ""}] != 0 || room[shardZone{1, ""}] == 0 {
		t.Errorf("room on empty machines: %v, want some in shard 1 only", room)
	}
}
