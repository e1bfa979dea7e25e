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

// node is a controller that leads, with one shard of one large machine. Nobody carries the
// work out.
type node struct {
	service  *statetest.Service
	leases   *statestore.LeaseManager
	catalog  *userapi.Catalog
	store    *taskstate.Store
	fleet    *fleet.Fleet
	leader   *Leader
	statuses uint64
}

// startNode returns a controller that stands for the leadership.
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

// JobChanged tells the leader of a job.
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

// ShardAcquired is of no interest here.
func (n *node) ShardAcquired(int, uint64) {}

// ShardLost is of no interest here.
func (n *node) ShardLost(int) {}

// decide lets the leader decide once more.
func (n *node) decide() {
	n.statuses++
	n.fleet.HandleStatus(&fleet.ShardStatus{
		Full: true, Token: 1, Seq: n.statuses,
		Hosts: []fleet.MachineStatus{{ID: "vm-1", MachineType: "g8", Zone: "a", HasReported: true, AcceptsTasks: true}},
	})
	n.leader.RequestRound()
	n.leader.AfterBatch()
}

// run lets time pass; the leader decides every 100 ms.
func (n *node) run(duration time.Duration) {
	for ; duration > 0; duration -= 100 * time.Millisecond {
		n.decide()
		n.service.Run(100 * time.Millisecond)
	}
}

// newSpec returns a job of the team red.
func newSpec(id string, tasks int) *jobs.Spec {
	return &jobs.Spec{ID: id, Team: "red", Shape: "array", Urgency: "urgent", Tasks: tasks, CPUs: 1, EstimateSeconds: 5}
}

// submit stores jobs as accepted.
func submit(t *testing.T, service *statetest.Service, list ...*jobs.Spec) {
	t.Helper()
	for i, spec := range list {
		service.Set(t, userapi.KeyPrefix+spec.ID, userapi.Record{SubmittedMS: service.WallClock().UnixMilli() + int64(i), Spec: spec})
	}
}

// dispatchedTasks counts the tasks of a job in all records.
func (n *node) dispatchedTasks(job string) (tasks int) {
	for _, record := range n.store.JobRecords(job) {
		tasks += len(record.TaskIndexes)
	}
	return tasks
}

// putPage writes a log page of the shard that tells of the tasks of a record.
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

// putRecord stores a record of tasks of a job, as an earlier leader has.
func putRecord(t *testing.T, service *statetest.Service, job string, number int, index ...int) *taskstate.Record {
	t.Helper()
	made := taskstate.NewRecord(0, job, number, index, nil, nil)
	value, err := made.Encode()
	if err != nil {
		t.Fatal(err)
	}
	service.Set(t, made.Key, value)
	return made
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

// TestOpenTasksStayWithinTheQuota: the open tasks of a team's jobs never exceed its quota of
// processors and of GPUs, also while the newest records have not been seen yet.
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
			for range 3 { // no watch tells of anything meanwhile
				service.AdvanceClock(time.Second)
				node.decide()
			}
			node.run(2 * time.Second)
			if got := node.dispatchedTasks("wk-1") + node.dispatchedTasks("wk-2"); got != test.want {
				t.Errorf("%d tasks are dispatched, the quota is %d", got, test.want)
			}
		})
	}
}

// TestLateDispatchOfAnEarlierLeaderFails: a dispatch that is held up on its way until another
// node leads changes nothing.
func TestLateDispatchOfAnEarlierLeaderFails(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	if len(service.Held) != 1 {
		t.Fatalf("%d dispatches", len(service.Held))
	}
	service.Set(t, statestore.LeaderKey, map[string]any{"node": "node-1", "nonce": 1})
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("carried out under another leader: %d", answer.Status)
	}
}

// TestRepeatedDispatchFails: carried out once more, later, it does not make its records anew.
func TestRepeatedDispatchFails(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	if answer := service.Commit(service.Held[0]); answer.Status != 200 {
		t.Fatalf("answered %d", answer.Status)
	}
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("carried out twice: %d", answer.Status)
	}
}

// TestDispatchOfUnknownOutcomeIsRepeatedWhole: a dispatch that got no answer may have been
// carried out. Until that is known all of it is sent again, also when an attempt is refused.
func TestDispatchOfUnknownOutcomeIsRepeatedWhole(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	node.run(2 * time.Second)
	service.Hold = isDispatch
	submit(t, service, newSpec("wk-1", 3), newSpec("wk-2", 3))
	node.run(2 * time.Second)
	if len(service.Held) != 1 || len(service.Held[0].Operations) != 2 {
		t.Fatalf("%d dispatches, the first of %d records", len(service.Held), len(service.Held[0].Operations))
	}
	service.Held[0].Answer(http1.Response{}, eventloop.ErrNoAnswer)
	node.run(2 * time.Second)
	service.Held[1].Answer(statetest.Reply(503, nil), nil)
	node.run(2 * time.Second)
	if len(service.Held) != 3 || len(service.Held[1].Operations) != 2 || len(service.Held[2].Operations) != 2 {
		t.Errorf("%d attempts, the last of %d records", len(service.Held), len(service.Held[len(service.Held)-1].Operations))
	}
}

// TestNothingIsSentAfterTheTokenWasRejected: when a commit has failed on the leader's lease,
// nothing more is sent before the leases have been read anew.
func TestNothingIsSentAfterTheTokenWasRejected(t *testing.T) {
	service := statetest.New()
	service.Hold = isDispatch
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 3))
	node.run(3 * time.Second)
	service.Set(t, statestore.LeaderKey, map[string]any{"node": "node-1", "nonce": 1})
	service.Held[0].Answer(service.Commit(service.Held[0]), nil)
	service.AdvanceClock(time.Second)
	node.decide()
	if len(service.Held) > 1 || node.leader.IsLoaded() {
		t.Errorf("%d dispatches, leads %v", len(service.Held), node.leader.IsLoaded())
	}
}

// TestReturnedTaskKeepsItsLastAttempt: a task that a shard has returned keeps its last attempt
// in its next record, also when another leader dispatches it, so that no attempt is used
// twice.
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
				t.Fatal("not dispatched again")
			}
			again, err := taskstate.DecodeRecord(next.Key, next.Value, next.Revision)
			if err != nil {
				t.Fatal(err)
			}
			for _, status := range again.Statuses {
				if status.Attempt != 3 {
					t.Errorf("dispatched with last attempt %d, it was 3", status.Attempt)
				}
			}
		})
	}
}

// TestRecordsOfACancelledJobStayUntilWrittenOff: removed on the leader's own judgement, a
// placement that the shard owner commits at the same time would be lost.
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
		t.Fatal("removed while its tasks may be on machines")
	}
	putPage(t, service, 0, record, func(task *taskstate.Task) { task.State, task.Attempt = taskstate.StateDropped, 1 })
	node.run(3 * time.Second)
	if _, ok := service.Get(record.Key); ok {
		t.Error("never removed")
	}
}

// TestJobIsDoneOnlyWhenEveryTaskIs: the tasks of a job that seems to be over are counted
// once more, each by its index, since one may be done on two records.
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
		t.Fatalf("%s when one of its two tasks is", entry.Phase)
	}
	stored, ok := service.Get(taskstate.RecordKey(0, spec.ID, 2))
	if !ok {
		t.Fatal("its other task is not dispatched")
	}
	last, err := taskstate.DecodeRecord(stored.Key, stored.Value, stored.Revision)
	if err != nil {
		t.Fatal(err)
	}
	putPage(t, service, 2, last, markDone)
	node.run(3 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != userapi.PhaseDone {
		t.Errorf("%q when both are", entry.Phase)
	}
}

// TestJobEndIsReportedOnlyWhenDurable: users are told of the end of a job when it is durable,
// and it never overwrites a cancellation.
func TestJobEndIsReportedOnlyWhenDurable(t *testing.T) {
	service := statetest.New()
	service.Hold = isJobEnd
	node := startNode(service)
	spec := newSpec("wk-1", 1)
	submit(t, service, spec)
	putPage(t, service, 0, putRecord(t, service, spec.ID, 0, 0), markDone)
	node.run(3 * time.Second)
	if len(service.Held) != 1 || !slices.ContainsFunc(service.Held[0].Operations, func(operation statestore.Operation) bool { return operation.PutKey == userapi.KeyPrefix+spec.ID }) {
		t.Fatalf("%d ends of jobs", len(service.Held))
	}
	if entry := node.catalog.Get(spec.ID); entry.Phase != "" {
		t.Errorf("told %q before that is durable", entry.Phase)
	}
	service.Set(t, userapi.KeyPrefix+spec.ID, userapi.Record{SubmittedMS: 1, Spec: spec, Phase: userapi.PhaseCancelled, CancelledMS: 1})
	if answer := service.Commit(service.Held[0]); answer.Status != 409 {
		t.Errorf("a cancelled job is overwritten: %d", answer.Status)
	}
}

// TestDispatchWaitsForVerifiedCopies: a new leader dispatches nothing before the copies of the
// records and of the jobs are verified to hold all that earlier leaders have committed.
func TestDispatchWaitsForVerifiedCopies(t *testing.T) {
	for name, prefix := range map[string]string{"records": taskstate.KeyPrefix, "jobs": userapi.KeyPrefix} {
		t.Run(name, func(t *testing.T) {
			service := statetest.New()
			service.Refuse = func(call http1.ClientRequest) bool { return statetest.IsFreshnessCheck(call, prefix) }
			node := startNode(service)
			submit(t, service, newSpec("wk-1", 3))
			node.run(5 * time.Second)
			if node.leases.LeaderToken() == 0 || node.leader.IsLoaded() || node.dispatchedTasks("wk-1") > 0 {
				t.Errorf("token %d, acts %v on copies that are not verified", node.leases.LeaderToken(), node.leader.IsLoaded())
			}
			service.Refuse = nil
			if node.run(5 * time.Second); node.dispatchedTasks("wk-1") != 3 {
				t.Error("does not act when they are")
			}
		})
	}
}

// TestRecordMadeAgainAfterItsJobEndedIsRemoved: a dispatch carried out once more, late, makes a
// record that nobody acts on.
func TestRecordMadeAgainAfterItsJobEndedIsRemoved(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	spec := newSpec("wk-1", 1)
	submit(t, service, spec)
	putPage(t, service, 0, putRecord(t, service, spec.ID, 0, 0), markDone)
	node.run(5 * time.Second)
	if entry := node.catalog.Get(spec.ID); entry.Phase != userapi.PhaseDone {
		t.Fatalf("the job is %q", entry.Phase)
	}
	again := putRecord(t, service, spec.ID, 1, 0)
	node.run(10 * time.Second)
	if _, stored := service.Get(again.Key); stored {
		t.Error("the record stays")
	}
}
