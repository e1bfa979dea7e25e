package leader

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
)

// gangShards are shards without machines that return the tasks of a gang when they are asked to.
type gangShards struct {
	node  *node
	spec  *jobs.Spec
	pages int // log pages written so far
}

// step runs the leader for 100 ms and answers its recalls. It reports whether each task of the
// gang is open in a record then.
func (s *gangShards) step(t *testing.T) (isWhole bool) {
	t.Helper()
	s.node.run(100 * time.Millisecond)
	isWhole = true
	for _, count := range s.node.openRecords(s.spec) {
		isWhole = isWhole && count == 1
	}
	if isWhole {
		return true
	}
	for shard := range s.node.config.shards {
		if len(s.node.leader.TakeRecalls(shard)) > 0 {
			s.returnWaiting(t, shard)
		}
	}
	return false
}

// returnWaiting stores log pages on which a shard returns all tasks that wait in it.
func (s *gangShards) returnWaiting(t *testing.T, shard int) {
	t.Helper()
	for _, record := range s.node.store.JobRecords(s.spec.ID) {
		if record.Shard != shard || record.Statuses[0].State != taskstate.StateWaiting {
			continue
		}
		s.pages++
		putPage(t, s.node.service, s.pages, record, func(task *taskstate.Task) { task.State = taskstate.StateReturned })
	}
}

// TestGangOfSeveralCommitsIsDispatchedWhole guards against a gang that never runs because its
// records do not fit into one commit: the tasks that are left out must follow those that were
// committed, instead of the latter being recalled for ever.
func TestGangOfSeveralCommitsIsDispatchedWhole(t *testing.T) {
	service := statetest.New()
	config := twoZones
	config.shards, config.zones, config.maxOperations = 1, []string{"a"}, 2
	node := startProcess(service, config)
	node.run(2 * time.Second)
	spec := newSpec("wk-1", 3000) // three records
	spec.Shape, spec.CPUs = jobs.ShapeGang, 0.01
	submit(t, service, spec)
	shards := &gangShards{node: node, spec: spec}
	for range 300 {
		if shards.step(t) {
			return
		}
	}
	t.Error("not all tasks of the gang are in a shard after 30 s")
}

// TestDividedGangCutByARefusalIsDispatchedWhole guards against a divided gang that never runs
// because the state service has refused one of its parts: the other part must be recalled, and
// the gang dispatched again.
func TestDividedGangCutByARefusalIsDispatchedWhole(t *testing.T) {
	service := statetest.New()
	node := startProcess(service, twoZones)
	node.run(2 * time.Second)
	service.Hold = isDispatch
	spec := newSpec("wk-1", 4)
	spec.Shape, spec.CPUs = jobs.ShapeGang, 200 // two tasks fit into each of the two shards
	submit(t, service, spec)
	node.run(30 * time.Second) // a gang is divided after some time only
	if len(service.Held) != 1 || len(service.Held[0].Operations) != 2 {
		t.Fatalf("%d dispatches were sent, want one of two parts", len(service.Held))
	}
	service.Held[0].Answer(statetest.Reply(429, nil), nil)
	node.run(time.Second)
	service.Held[1].Answer(service.Commit(service.Held[1]), nil)
	service.Hold = nil
	shards := &gangShards{node: node, spec: spec}
	for range 300 {
		if shards.step(t) {
			return
		}
	}
	t.Errorf("tasks of the gang are open in %v records after 30 s, want each in 1", node.openRecords(spec))
}

// TestPartOfAGangThatIsBeingReturnedWaitsForTheRest guards against a gang that is torn apart while
// a shard returns it: the tasks on the shard's first log page must not be dispatched again before
// those on the next one are back.
func TestPartOfAGangThatIsBeingReturnedWaitsForTheRest(t *testing.T) {
	service := statetest.New()
	spec := newSpec("wk-1", 4)
	spec.Shape = jobs.ShapeGang
	submit(t, service, spec)
	first, second := putRecord(t, service, spec.ID, 0, 0, 1), putRecord(t, service, spec.ID, 1, 2, 3)
	node := startProcess(service, twoZones)
	node.run(2 * time.Second)
	markReturned := func(task *taskstate.Task) { task.State = taskstate.StateReturned }
	putPage(t, service, 0, first, markReturned)
	node.run(2 * time.Second)
	if got := node.dispatchedTasks(spec.ID); got != spec.Tasks {
		t.Fatalf("%d tasks are in records while a part is being returned, want %d", got, spec.Tasks)
	}
	putPage(t, service, 1, second, markReturned)
	node.run(3 * time.Second)
	node.checkEachTaskIsDispatchedOnce(t, spec)
}
