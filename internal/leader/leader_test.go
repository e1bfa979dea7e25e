package leader

import (
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// node is a controller that leads, with one shard that has one large machine. No shard owner or
// worker runs the dispatched tasks.
type node struct {
	service  *statetest.Service
	leases   *statestore.LeaseManager
	catalog  *userapi.Catalog
	store    *taskstate.Store
	fleet    *fleet.Fleet
	leader   *Leader
	statuses uint64
}

// startNode returns a started controller that tries to acquire the leadership.
func startNode(service *statetest.Service) *node {
	log := slog.New(slog.DiscardHandler)
	config := &settings.Settings{}
	config.Deployment.Teams = []settings.Team{{Name: "red", CPUsMax: 24, GPUsMax: 4}}
	config.Deployment.State.WriteRPS = 1000
	config.Deployment.Cloud.RPS = 100
	state := statestore.New(service, statetest.Address, log)
	state.FreshnessCheckInterval = 0
	state.SetLimits(statestore.Limits{MaxOperations: 10, MaxValueBytes: 1 << 16, FutureWriteShare: 1})
	service.Other = func(call http1.ClientRequest) http1.Response {
		if call.Target == "/machine_types" {
			return statetest.Reply(200, map[string]any{"builds": []jobs.MachineType{{Name: "g8", CPUs: 500, GPUs: 100, MemoryGB: 500, Zones: []string{"a"}}}})
		}
		return statetest.Reply(200, map[string]any{"hosts": []any{}})
	}
	node := &node{service: service}
	node.leases = statestore.NewLeaseManager(service, state, log, statestore.LeaseConfig{Node: "node-0", Nonce: 1, ShardCount: 1, Observer: node})
	node.catalog = userapi.NewCatalog(service, state, config.Deployment.Teams, log, node)
	node.store = taskstate.NewStore(service, state, log)
	machines := NewMachineUsage(1)
	node.fleet = fleet.New(fleet.Dependencies{Runtime: service, Address: "cloud", Leases: node.leases, Loads: machines, Settings: config, Log: log})
	node.leader = New(Dependencies{
		Runtime: service, State: state, Leases: node.leases, Catalog: node.catalog, Records: node.store,
		Fleet: node.fleet, Machines: machines, Settings: config, Log: log,
	})
	node.store.Observe(node.leader)
	node.fleet.Start()
	node.catalog.Start()
	node.store.Start()
	node.leases.Start()
	return node
}

// JobChanged passes a changed job to the leader.
func (n *node) JobChanged(entry *userapi.Entry) { n.leader.JobChanged(entry) }

// LeadershipAcquired begins a term.
func (n *node) LeadershipAcquired(token uint64) {
	n.leader.BeginTerm(token)
	n.fleet.BeginTerm()
}

// LeadershipLost ends the term.
func (n *node) LeadershipLost() {
	n.leader.EndTerm()
	n.fleet.EndTerm()
}

// ShardAcquired does nothing: the tests need no shard owner.
func (n *node) ShardAcquired(int, uint64) {}

// ShardLost does nothing: the tests need no shard owner.
func (n *node) ShardLost(int) {}

// runRound passes the machine's status to the fleet and lets the leader run a dispatch round.
func (n *node) runRound() {
	n.statuses++
	n.fleet.HandleStatus(&fleet.ShardStatus{
		Full: true, Token: 1, Seq: n.statuses,
		Hosts: []fleet.MachineStatus{{ID: "vm-1", MachineType: "g8", Zone: "a", HasReported: true, AcceptsTasks: true}},
	})
	n.leader.RequestRound()
	n.leader.AfterBatch()
}

// run advances the simulated time and runs a dispatch round every 100 ms.
func (n *node) run(duration time.Duration) {
	for ; duration > 0; duration -= 100 * time.Millisecond {
		n.runRound()
		n.service.Run(100 * time.Millisecond)
	}
}

// newSpec returns a job of the team red with tasks of one processor.
func newSpec(id string, tasks int) *jobs.Spec {
	return &jobs.Spec{ID: id, Team: "red", Shape: "array", Urgency: "urgent", Tasks: tasks, CPUs: 1, EstimateSeconds: 5}
}

// submit stores jobs as accepted submissions.
func submit(t *testing.T, service *statetest.Service, list ...*jobs.Spec) {
	t.Helper()
	for i, spec := range list {
		service.Set(t, userapi.KeyPrefix+spec.ID, userapi.Record{SubmittedMS: service.WallClock().UnixMilli() + int64(i), Spec: spec})
	}
}

// dispatchedTasks returns the number of tasks of a job in all of its records.
func (n *node) dispatchedTasks(job string) (tasks int) {
	for _, record := range n.store.JobRecords(job) {
		tasks += len(record.TaskIndexes)
	}
	return tasks
}

// putPage stores a log page of a record's shard with all tasks of the record, after change was
// applied to each.
func putPage(t *testing.T, service *statetest.Service, page int, record *taskstate.Record, change func(*taskstate.Task)) {
	t.Helper()
	group := taskstate.LoadRecord(&taskstate.Job{Spec: newSpec(record.Job, len(record.TaskIndexes)), Tasks: map[int]*taskstate.Task{}, Groups: map[string]*taskstate.TaskGroup{}}, record)
	for _, task := range group.Tasks {
		change(task)
	}
	pages, _, err := taskstate.PackPages(group.Tasks, 1<<16, 1)
	if err != nil || len(pages) != 1 {
		t.Fatalf("%d pages, %v", len(pages), err)
	}
	service.Set(t, taskstate.PageKey(record.Shard, page), pages[0].Value)
}

// putRecord stores a task record of a job, as an earlier leader would have created it.
func putRecord(t *testing.T, service *statetest.Service, job string, number int, index ...int) *taskstate.Record {
	t.Helper()
	record := taskstate.NewRecord(0, job, number, index, nil, nil)
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	service.Set(t, record.Key, value)
	return record
}

func markDone(task *taskstate.Task) { task.State, task.Attempt = taskstate.StateDone, 1 }

// isDispatch reports whether a commit dispatches tasks.
func isDispatch(commit *statetest.Commit) bool {
	return len(commit.Operations) > 0 && strings.HasPrefix(commit.Operations[0].PutKey, taskstate.KeyPrefix)
}

// isJobEnd reports whether a commit ends jobs.
func isJobEnd(commit *statetest.Commit) bool {
	return len(commit.Operations) > 0 && strings.HasPrefix(commit.Operations[0].PutKey, userapi.KeyPrefix)
}

// TestOpenTasksStayWithinTheQuota guards against open tasks that exceed the team's quota of
// processors or GPUs: records that are committed but not reported by the watch yet must count.
func TestOpenTasksStayWithinTheQuota(t *testing.T) {
	for _, test := range []struct {
		name  string
		cards float64
		want  int
	}{{"processors", 0, 24}, {"GPUs", 1, 4}} {
		t.Run(test.name, func(t *testing.T) {
			service := statetest.New()
			node := startNode(service)
			node.run(2 * time.Second)
			for _, id := range []string{"wk-1", "wk-2"} {
				spec := newSpec(id, 30)
				spec.GPUs = test.cards
				submit(t, service, spec)
			}
			node.run(100 * time.Millisecond)
			for range 3 { // no watch reports changes in this time
				service.AdvanceClock(time.Second)
				node.runRound()
			}
			node.run(2 * time.Second)
			if got := node.dispatchedTasks("wk-1") + node.dispatchedTasks("wk-2"); got != test.want {
				t.Errorf("%d tasks are dispatched, want %d, the quota", got, test.want)
			}
		})
	}
}

// TestLateDispatchOfAnEarlierLeaderFails guards against a dispatch that is delayed on its way to
// the state service and carried out after another node has become the leader.
func TestLateDispatchOfAnEarlierLeaderFails(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	if len(service.Held) != 1 {
		t.Fatalf("%d dispatches were sent, want 1", len(service.Held))
	}
	service.Set(t, statestore.LeaderKey, map[string]any{"node": "node-1", "nonce": 1})
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("commit under another leader answered %d, want 409", answer.Status)
	}
}

// TestRepeatedDispatchFails guards against a dispatch that the state service carries out twice:
// the second time must not create its records again.
func TestRepeatedDispatchFails(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	if answer := service.Commit(service.Held[0]); answer.Status != 200 {
		t.Fatalf("first commit answered %d, want 200", answer.Status)
	}
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("repeated commit answered %d, want 409", answer.Status)
	}
}

// TestDispatchOfUnknownOutcomeIsRepeatedWhole guards against records that are dropped from a
// dispatch while it is unknown whether it was carried out: after an attempt without an answer,
// all of it must be sent again, even if a later attempt is refused.
func TestDispatchOfUnknownOutcomeIsRepeatedWhole(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	node.run(2 * time.Second)
	service.Hold = isDispatch
	submit(t, service, newSpec("wk-1", 3), newSpec("wk-2", 3))
	node.run(2 * time.Second)
	if len(service.Held) != 1 || len(service.Held[0].Operations) != 2 {
		t.Fatalf("%d dispatches were sent, the first of %d records, want one of 2", len(service.Held), len(service.Held[0].Operations))
	}
	service.Held[0].Answer(http1.Response{}, eventloop.ErrNoAnswer)
	node.run(2 * time.Second)
	service.Held[1].Answer(statetest.Reply(503, nil), nil)
	node.run(2 * time.Second)
	if len(service.Held) != 3 || len(service.Held[1].Operations) != 2 || len(service.Held[2].Operations) != 2 {
		t.Errorf("%d attempts were sent, the last of %d records, want 3 of 2 each", len(service.Held), len(service.Held[len(service.Held)-1].Operations))
	}
}

// TestNothingIsSentAfterTheTokenWasRejected guards against dispatches by a node that has lost
// the leadership: when a commit has failed on the condition on the leader's lease, nothing more
// may be sent before the leases have been read again.
func TestNothingIsSentAfterTheTokenWasRejected(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	service.Set(t, statestore.LeaderKey, map[string]any{"node": "node-1", "nonce": 1})
	service.Held[0].Answer(service.Commit(service.Held[0]), nil)
	service.AdvanceClock(time.Second)
	node.runRound()
	if len(service.Held) > 1 || node.leader.IsLoaded() {
		t.Errorf("%d dispatches were sent, want 1; leader is loaded: %v, want false", len(service.Held), node.leader.IsLoaded())
	}
}

// TestReturnedTaskKeepsItsLastAttempt guards against an attempt number that is used twice: the
// next record of a returned task must contain the last attempt, also if another leader
// dispatches it.
func TestReturnedTaskKeepsItsLastAttempt(t *testing.T) {
	for name, takeover := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			service := statetest.New()
			node := startNode(service)
			spec := newSpec("wk-1", 2)
			submit(t, service, spec)
			returned := putRecord(t, service, spec.ID, 0, 0, 1)
			if !takeover {
				node.run(2 * time.Second)
			}
			putPage(t, service, 0, returned, func(task *taskstate.Task) { task.State, task.Attempt = taskstate.StateReturned, 3 })
			node.run(3 * time.Second)
			next, ok := service.Get(taskstate.RecordKey(0, spec.ID, 1))
			if !ok {
				t.Fatal("the returned tasks are not dispatched again")
			}
			redispatched, err := taskstate.DecodeRecord(next.Key, next.Value, next.Revision)
			if err != nil {
				t.Fatal(err)
			}
			for _, status := range redispatched.Statuses {
				if status.Attempt != 3 {
					t.Errorf("dispatched with last attempt %d, want 3", status.Attempt)
				}
			}
		})
	}
}

// TestRecordsOfACancelledJobStayUntilWrittenOff guards against the loss of a placement that the
// shard owner commits while the leader removes the record: the leader must not remove it before
// the owner has written off its tasks.
func TestRecordsOfACancelledJobStayUntilWrittenOff(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	spec := newSpec("wk-1", 2)
	submit(t, service, spec)
	record := putRecord(t, service, spec.ID, 0, 0, 1)
	node.run(2 * time.Second)
	service.Set(t, userapi.KeyPrefix+spec.ID, userapi.Record{SubmittedMS: 1, Spec: spec, Phase: userapi.PhaseCancelled, CancelledMS: 1})
	node.run(3 * time.Second)
	if _, ok := service.Get(record.Key); !ok {
		t.Fatal("the record is removed while its tasks may be on machines")
	}
	putPage(t, service, 0, record, func(task *taskstate.Task) { task.State, task.Attempt = taskstate.StateDropped, 1 })
	node.run(3 * time.Second)
	if _, ok := service.Get(record.Key); ok {
		t.Error("the record is not removed after its tasks are written off")
	}
}

// TestJobIsDoneOnlyWhenEveryTaskIs guards against a job that is reported done too early: one
// task may be done in two records, so the done tasks must be counted by index.
func TestJobIsDoneOnlyWhenEveryTaskIs(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	spec := newSpec("wk-1", 2)
	submit(t, service, spec)
	first, second := putRecord(t, service, spec.ID, 0, 0), putRecord(t, service, spec.ID, 1, 0)
	putPage(t, service, 0, first, markDone)
	putPage(t, service, 1, second, markDone)
	node.run(3 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != "" {
		t.Fatalf("phase is %q when one of two tasks is done, want none", entry.Phase)
	}
	stored, ok := service.Get(taskstate.RecordKey(0, spec.ID, 2))
	if !ok {
		t.Fatal("the other task of the job is not dispatched")
	}
	last, err := taskstate.DecodeRecord(stored.Key, stored.Value, stored.Revision)
	if err != nil {
		t.Fatal(err)
	}
	putPage(t, service, 2, last, markDone)
	node.run(3 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != userapi.PhaseDone {
		t.Errorf("phase is %q when both tasks are done, want %q", entry.Phase, userapi.PhaseDone)
	}
}

// TestJobEndIsReportedOnlyWhenDurable guards against users being told of the end of a job before
// it is durable, and against an end that overwrites a cancellation stored in the meantime.
func TestJobEndIsReportedOnlyWhenDurable(t *testing.T) {
	service := statetest.New()
	service.Hold = isJobEnd
	node := startNode(service)
	spec := newSpec("wk-1", 1)
	submit(t, service, spec)
	putPage(t, service, 0, putRecord(t, service, spec.ID, 0, 0), markDone)
	node.run(3 * time.Second)
	if len(service.Held) != 1 || !slices.ContainsFunc(service.Held[0].Operations, func(operation statestore.Operation) bool { return operation.PutKey == userapi.KeyPrefix+spec.ID }) {
		t.Fatalf("%d commits of job ends were sent, want one that ends %s", len(service.Held), spec.ID)
	}
	if entry := node.catalog.Get(spec.ID); entry.Phase != "" {
		t.Errorf("phase is %q before the end is durable, want none", entry.Phase)
	}
	service.Set(t, userapi.KeyPrefix+spec.ID, userapi.Record{SubmittedMS: 1, Spec: spec, Phase: userapi.PhaseCancelled, CancelledMS: 1})
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("commit of the end of a cancelled job answered %d, want 409", answer.Status)
	}
}

// TestDispatchWaitsForVerifiedCopies guards against a new leader that dispatches from outdated
// copies of the records or the jobs, which may lack what earlier leaders have committed.
func TestDispatchWaitsForVerifiedCopies(t *testing.T) {
	for name, prefix := range map[string]string{"records": taskstate.KeyPrefix, "jobs": userapi.KeyPrefix} {
		t.Run(name, func(t *testing.T) {
			service := statetest.New()
			service.Refuse = func(call http1.ClientRequest) bool { return statetest.IsFreshnessCheck(call, prefix) }
			node := startNode(service)
			submit(t, service, newSpec("wk-1", 3))
			node.run(5 * time.Second)
			if node.leases.LeaderToken() == 0 || node.leader.IsLoaded() || node.dispatchedTasks("wk-1") > 0 {
				t.Errorf("with unverified copies: token %d, want one; loaded %v, want false; %d tasks dispatched, want 0", node.leases.LeaderToken(), node.leader.IsLoaded(), node.dispatchedTasks("wk-1"))
			}
			service.Refuse = nil
			if node.run(5 * time.Second); node.dispatchedTasks("wk-1") != 3 {
				t.Errorf("with verified copies: %d tasks dispatched, want 3", node.dispatchedTasks("wk-1"))
			}
		})
	}
}

// TestRecordMadeAgainAfterItsJobEndedIsRemoved guards against records that stay indefinitely: a
// dispatch that is carried out again after its job has ended creates a record that no shard
// owner acts on and no other component removes.
func TestRecordMadeAgainAfterItsJobEndedIsRemoved(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	spec := newSpec("wk-1", 1)
	submit(t, service, spec)
	putPage(t, service, 0, putRecord(t, service, spec.ID, 0, 0), markDone)
	node.run(5 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != userapi.PhaseDone {
		t.Fatalf("phase of the job is %q, want %q", entry.Phase, userapi.PhaseDone)
	}
	remade := putRecord(t, service, spec.ID, 1, 0)
	node.run(10 * time.Second)
	if _, stored := service.Get(remade.Key); stored {
		t.Errorf("record %s is still stored, want it removed", remade.Key)
	}
}
