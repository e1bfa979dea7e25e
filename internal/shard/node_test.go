package shard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// testNode is a node that may own shard 0. It records the calls of its task store.
type testNode struct {
	leases    *statestore.LeaseManager
	store     *taskstate.Store
	tasks     *TaskStore
	token     uint64
	termCount int // number of tokens acquired

	errors  bytes.Buffer      // log lines at level error
	durable []*taskstate.Task // in the order in which their placements became durable
	waiting []*taskstate.Task // in the order in which they were announced
}

// newTestNode returns a node that campaigns for leadership and then acquires the shard.
func newTestNode(service *statetest.Service) *testNode {
	node := &testNode{}
	log := slog.New(slog.NewTextHandler(&node.errors, &slog.HandlerOptions{Level: slog.LevelError}))
	nodeSettings := &settings.Settings{}
	nodeSettings.Deployment.State.WriteRPS = 1000
	state := newStateClient(service)
	node.leases = statestore.NewLeaseManager(service, state, log, statestore.LeaseConfig{Node: "node-0", Nonce: 1, ShardCount: 1, Observer: node})
	catalog := userapi.NewCatalog(service, state, nil, log, node)
	node.store = taskstate.NewStore(service, state, log)
	node.tasks = NewTaskStore(0, Dependencies{
		Runtime: service, State: state, Leases: node.leases, Catalog: catalog, Records: node.store,
		Settings: nodeSettings, Handler: node, Metrics: metrics.New(), Log: log,
	})
	node.store.Observe(node.tasks)
	catalog.Start()
	node.store.Start()
	node.leases.Start()
	return node
}

// newStateClient returns a client of a state service for the tests.
func newStateClient(service *statetest.Service) *statestore.Client {
	state := statestore.New(service, statetest.Address, slog.New(slog.DiscardHandler))
	state.FreshnessCheckInterval = 0
	state.SetLimits(statestore.Limits{MaxOperations: 10, MaxValueBytes: 1 << 16, FutureWriteShare: 1})
	return state
}

// JobChanged forwards a changed job to the task store.
func (n *testNode) JobChanged(entry *userapi.Entry) { n.tasks.JobChanged(entry) }

// LeadershipAcquired does nothing.
func (n *testNode) LeadershipAcquired(uint64) {}

// LeadershipLost does nothing.
func (n *testNode) LeadershipLost() {}

// ShardAcquired begins a term.
func (n *testNode) ShardAcquired(_ int, token uint64) {
	n.token = token
	n.termCount++
	n.tasks.BeginTerm(token)
}

// ShardLost ends the term.
func (n *testNode) ShardLost(int) {
	n.token = 0
	n.tasks.EndTerm()
}

// TaskWaiting records the task.
func (n *testNode) TaskWaiting(task *taskstate.Task) { n.waiting = append(n.waiting, task) }

// PlacementDurable records the task.
func (n *testNode) PlacementDurable(task *taskstate.Task) { n.durable = append(n.durable, task) }

// CommittedUnderToken does nothing.
func (n *testNode) CommittedUnderToken(uint64) {}

// RecordsLoaded does nothing.
func (n *testNode) RecordsLoaded() {}

// GangDone does nothing.
func (n *testNode) GangDone(*taskstate.Job) {}

// DiscardTask does nothing.
func (n *testNode) DiscardTask(*taskstate.Task) {}

// CancelJob does nothing.
func (n *testNode) CancelJob(*taskstate.Job) {}

// jobID is the ID of the job whose tasks are dispatched to the shard.
const jobID = "wk-1"

// newShardOwner returns a state service with one job of taskCount tasks dispatched to shard 0,
// and the shard's owner, which has loaded it.
func newShardOwner(t *testing.T, taskCount int) (*statetest.Service, *testNode) {
	t.Helper()
	return newOwnerOfJob(t, userapi.Record{SubmittedMS: 1, Spec: &jobs.Spec{ID: jobID, Shape: "array", Tasks: taskCount, CPUs: 1}})
}

// newOwnerOfJob is like newShardOwner for a given job.
func newOwnerOfJob(t *testing.T, job userapi.Record) (*statetest.Service, *testNode) {
	t.Helper()
	service := statetest.New()
	service.Set(t, userapi.KeyPrefix+jobID, job)
	indexes := make([]int, job.Spec.Tasks)
	for i := range indexes {
		indexes[i] = i
	}
	record := taskstate.NewRecord(0, jobID, 0, indexes, nil, nil)
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	service.Set(t, record.Key, value)
	node := newTestNode(service)
	service.Run(5 * time.Second)
	if !node.tasks.IsLoaded() || node.tasks.Job(jobID) == nil {
		t.Fatalf("shard 0: records loaded %v, job %s present %v, want both", node.tasks.IsLoaded(), jobID, node.tasks.Job(jobID) != nil)
	}
	return service, node
}

// place places task 0 of the job on a worker and commits the placement.
func (n *testNode) place(workerID string) *taskstate.Task {
	task := n.tasks.Job(jobID).Tasks[0]
	task.PlaceOn(workerID)
	n.tasks.TaskChanged(task, true)
	n.tasks.Flush()
	return task
}

// writesLogPage reports whether a commit writes the shard's log.
func writesLogPage(commit *statetest.Commit) bool {
	return len(commit.Operations) > 0 && strings.HasPrefix(commit.Operations[0].PutKey, "work/0/log/")
}
