package shard

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// owner is a node that may hold block 0.
type owner struct {
	leases *statestore.LeaseManager
	store  *taskstate.Store
	tasks  *TaskStore
	token  uint64
	begun  int // tokens won
}

// newOwner returns a node that stands for the leadership and is given the block then.
func newOwner(s *statetest.Service, node string) *owner {
	log := slog.New(slog.DiscardHandler)
	set := &settings.Settings{}
	set.Deployment.State.WriteRPS = 1000
	state := statestore.New(s, statetest.Address, log)
	state.FreshnessCheckInterval = 0
	state.SetLimits(statestore.Limits{MaxOperations: 10, MaxValueBytes: 1 << 16, FutureWriteShare: 1})
	o := &owner{}
	o.leases = statestore.NewLeaseManager(s, state, log, statestore.LeaseConfig{Node: node, Nonce: 1, ShardCount: 1, Observer: o})
	catalog := userapi.NewCatalog(s, state, nil, log, o)
	o.store = taskstate.NewStore(s, state, log)
	o.tasks = NewTaskStore(s, state, o.leases, catalog, o.store, set, log, 0)
	o.tasks.TaskWaiting = func(*taskstate.Task) {}
	o.tasks.PlacementDurable = func(*taskstate.Task) {}
	o.tasks.RecordsLoaded = func() {}
	o.store.RecordAdded = o.tasks.RecordAdded
	catalog.Start()
	o.store.Start()
	o.leases.Start()
	return o
}

// JobChanged tells the shard's tasks of a job.
func (o *owner) JobChanged(entry *userapi.Entry) { o.tasks.JobChanged(entry) }

// LeadershipAcquired is of no interest here.
func (o *owner) LeadershipAcquired(uint64) {}

// LeadershipLost is of no interest here.
func (o *owner) LeadershipLost() {}

// ShardAcquired begins a term.
func (o *owner) ShardAcquired(_ int, token uint64) {
	o.token = token
	o.begun++
	o.tasks.BeginTerm(token)
}

// ShardLost ends the term.
func (o *owner) ShardLost(int) {
	o.token = 0
	o.tasks.EndTerm()
}

// owned is a state service with one job of so many tasks handed to block 0, and the
// block's owner, which has read it.
func owned(t *testing.T, tasks int) (*statetest.Service, *owner) {
	t.Helper()
	s := statetest.New()
	job := &jobs.Spec{ID: "wk-1", Shape: "array", Tasks: tasks, CPUs: 1}
	s.Set(t, userapi.KeyPrefix+job.ID, userapi.Record{SubmittedMS: 1, Spec: job})
	index := make([]int, tasks)
	for i := range index {
		index[i] = i
	}
	record := taskstate.NewRecord(0, job.ID, 0, index, nil, nil)
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.Set(t, record.Key, value)
	o := newOwner(s, "node-0")
	s.Run(5 * time.Second)
	if !o.tasks.IsLoaded() || o.tasks.Job(job.ID) == nil {
		t.Fatal("the block's records are not read")
	}
	return s, o
}

// place gives a task of the job to a machine and has that committed.
func (o *owner) place(index int, host string) *taskstate.Task {
	k := o.tasks.Job("wk-1").Tasks[index]
	k.PlaceOn(host)
	o.tasks.TaskChanged(k, true)
	o.tasks.Flush()
	return k
}

// logPage tells whether a commit writes the block's log.
func logPage(c *statetest.Commit) bool {
	return len(c.Apply) > 0 && strings.HasPrefix(c.Apply[0].PutKey, "work/0/log/")
}
