package leader

import (
	"slices"
	"testing"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
)

// refusedRoomCase is a way in which the owner of shard 0 may refuse its only machine, vm-2, to wk-1.
type refusedRoomCase struct {
	name     string
	backoffs []fleet.JobBackoff
	refused  bool
}

var refusedRoomCases = []refusedRoomCase{
	{name: "not refused"},
	{name: "failed there", backoffs: []fleet.JobBackoff{{Job: "wk-1", MachineID: "vm-2", ForMS: 3_600_000}}, refused: true},
	{name: "failed on another machine", backoffs: []fleet.JobBackoff{{Job: "wk-1", MachineID: "vm-9", ForMS: 3_600_000}}},
	{name: "the wait is over", backoffs: []fleet.JobBackoff{{Job: "wk-1", MachineID: "vm-2"}}},
}

// TestTasksThatTheirShardDoesNotPlaceAreRecalled guards against tasks that wait in a shard whose owner
// passes its machine over for them, because the leader counts the machine's room for them: they are
// recalled for the machine of another shard, gangs too.
func TestTasksThatTheirShardDoesNotPlaceAreRecalled(t *testing.T) {
	for _, shape := range []jobs.Shape{jobs.ShapeArray, jobs.ShapeGang} {
		for _, test := range refusedRoomCases {
			t.Run(string(shape)+" "+test.name, func(t *testing.T) {
				service := statetest.New()
				spec := newSpec("wk-1", 2)
				spec.Shape = shape
				submit(t, service, spec)
				putRecord(t, service, spec.ID, 0, 0, 1)
				node := startProcess(service, twoZones)
				node.backoffs = test.backoffs
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
			node.backoffs = test.backoffs
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
