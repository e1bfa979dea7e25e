package leader

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
	"lemonmoor/internal/workers"
)

// processRuntime is the runtime of one process. Once the process is killed nothing is sent or
// called back any more.
type processRuntime struct {
	*statetest.Service
	killed bool
}

// After sets a timer that a killed process does not see.
func (r *processRuntime) After(delay time.Duration, fn func()) {
	r.Service.After(delay, func() {
		if !r.killed {
			fn()
		}
	})
}

// CallHTTP sends a request unless the process is killed, which does not see the answer either.
func (r *processRuntime) CallHTTP(address string, call http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error)) {
	if r.killed {
		return
	}
	r.Service.CallHTTP(address, call, timeout, func(response http1.Response, err error) {
		if !r.killed {
			fn(response, err)
		}
	})
}

// nodeConfig is what differs between the nodes of the tests.
type nodeConfig struct {
	process       uint64 // number of the process; a later one takes over from an earlier one
	shards        int
	zones         []string // shard N has one large machine, in zone N modulo their number
	maxCPUs       float64  // quota of the team red
	maxOperations int      // of a commit
}

// node is a controller that leads, with one large machine in each shard. No shard owner or
// worker runs the dispatched tasks.
type node struct {
	service  *statetest.Service
	runtime  *processRuntime
	config   nodeConfig
	leases   *statestore.LeaseManager
	catalog  *userapi.Catalog
	store    *taskstate.Store
	fleet    *fleet.Fleet
	leader   *Leader
	metrics  *metrics.Metrics
	statuses uint64
	backoffs []fleet.JobBackoff // that the owner of shard 0 reports
	hold     workers.Hold       // on the machine of shard 0
}

// startNode returns a started controller with one shard that tries to acquire the leadership.
func startNode(service *statetest.Service) *node {
	return startProcess(service, nodeConfig{process: 1, shards: 1, zones: []string{"a"}, maxCPUs: 24, maxOperations: 10})
}

// startProcess returns a started process of a controller that tries to acquire the leadership.
func startProcess(service *statetest.Service, config nodeConfig) *node {
	log := slog.New(slog.DiscardHandler)
	platform := &settings.Settings{}
	platform.Deployment.Teams = []settings.Team{{Name: "red", CPUsMax: config.maxCPUs, GPUsMax: 4}}
	platform.Deployment.State.WriteRPS = 1000
	platform.Deployment.Cloud.RPS = 100
	platform.SetShardCount(config.shards)
	service.Other = func(call http1.ClientRequest) http1.Response {
		if call.Target == "/machine_types" {
			return statetest.Reply(200, map[string]any{"builds": []jobs.MachineType{{Name: "g8", CPUs: 500, GPUs: 100, MemoryGB: 500, Zones: config.zones}}})
		}
		return statetest.Reply(200, map[string]any{"hosts": []any{}})
	}
	node := &node{service: service, runtime: &processRuntime{Service: service}, config: config, metrics: metrics.New()}
	state := statestore.New(node.runtime, statetest.Address, log)
	state.FreshnessCheckInterval = 0
	state.SetLimits(statestore.Limits{MaxOperations: config.maxOperations, MaxValueBytes: 1 << 16, FutureWriteShare: 1})
	node.leases = statestore.NewLeaseManager(node.runtime, state, log, statestore.LeaseConfig{
		Node: "node-0", Nonce: config.process, ShardCount: config.shards, Observer: node,
	})
	node.catalog = userapi.NewCatalog(node.runtime, state, platform.Deployment.Teams, log, node)
	node.store = taskstate.NewStore(node.runtime, state, log)
	machines := NewMachineUsage(config.shards)
	node.fleet = fleet.New(fleet.Dependencies{Runtime: node.runtime, Address: "cloud", Leases: node.leases, Loads: machines, Settings: platform, Log: log})
	node.leader = New(Dependencies{
		Runtime: node.runtime, State: state, Leases: node.leases, Catalog: node.catalog, Records: node.store,
		Fleet: node.fleet, Machines: machines, Settings: platform, Metrics: node.metrics, Log: log,
	})
	node.store.Observe(node.leader)
	node.fleet.Start()
	node.catalog.Start()
	node.store.Start()
	node.leases.Start()
	return node
}

// replace kills the process of the node and returns the process that follows it.
func (n *node) replace() *node {
	n.runtime.killed = true
	config := n.config
	config.process++
	return startProcess(n.service, config)
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

// runRound passes the machines' statuses to the fleet and lets the leader run a dispatch round.
func (n *node) runRound() {
	n.statuses++
	for shard := range n.config.shards {
		machine := fleet.MachineStatus{
			ID: fmt.Sprintf("vm-%d", shard+n.config.shards), MachineType: "g8", Zone: n.config.zones[shard%len(n.config.zones)],
			HasReported: true, AcceptsTasks: true,
		}
		status := &fleet.ShardStatus{Shard: shard, Full: true, Token: 1, Seq: n.statuses}
		if shard == 0 {
			status.Backoffs, machine.HeldForJob, machine.HoldMinPriority = n.backoffs, n.hold.JobID, n.hold.MinPriority
		}
		status.Hosts = []fleet.MachineStatus{machine}
		n.fleet.HandleStatus(status)
	}
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

// putRecord stores a task record of a job in shard 0, as an earlier leader would have created it.
func putRecord(t *testing.T, service *statetest.Service, job string, number int, index ...int) *taskstate.Record {
	t.Helper()
	return storeRecord(t, service, taskstate.NewRecord(0, job, number, index, nil, nil))
}

// storeRecord stores a task record, as an earlier leader would have created it, and returns it.
func storeRecord(t *testing.T, service *statetest.Service, record *taskstate.Record) *taskstate.Record {
	t.Helper()
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	service.Set(t, record.Key, value)
	return record
}

// storedRecord returns the task record with a key, which a leader must have dispatched.
func storedRecord(t *testing.T, service *statetest.Service, key string) *taskstate.Record {
	t.Helper()
	stored, found := service.Get(key)
	if !found {
		t.Fatalf("record %s is not stored: its tasks are not dispatched", key)
	}
	record, err := taskstate.DecodeRecord(stored.Key, stored.Value, stored.Revision)
	if err != nil {
		t.Fatal(err)
	}
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
