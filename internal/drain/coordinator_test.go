package drain

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// fakeRuntime is a runtime with a manual clock and an empty state service. The test answers
// the commits.
type fakeRuntime struct {
	now     time.Duration
	timers  []func()
	commits []pendingCommit
	// delaysReads delays the answers to reads until answerReads is called.
	delaysReads bool
	reads       []func()
}

// pendingCommit is a commit that the test has to answer.
type pendingCommit struct {
	body   string
	answer func(http1.Response, error)
}

func (r *fakeRuntime) Now() time.Duration { return r.now }

func (r *fakeRuntime) WallClock() time.Time { return time.UnixMilli(1_790_000_000_000).Add(r.now) }

func (r *fakeRuntime) Rand() float64 { return 0.5 }

func (r *fakeRuntime) After(_ time.Duration, fn func())                                    { r.timers = append(r.timers, fn) }
func (r *fakeRuntime) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {}

func (r *fakeRuntime) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	switch {
	case c.Target == "/commit":
		r.commits = append(r.commits, pendingCommit{string(c.Body), fn})
	case strings.HasPrefix(c.Target, "/keys"):
		r.answerRead(func() { fn(http1.Response{Status: 200, Body: []byte(`{"rows":[],"epoch":1}`)}, nil) })
	case strings.Contains(c.Target, "waitMs=0"):
		r.answerRead(func() { fn(http1.Response{Status: 200, Body: []byte(`{"epoch":1,"log":[]}`)}, nil) })
	}
}

func (r *fakeRuntime) answerRead(answer func()) {
	if r.delaysReads {
		r.reads = append(r.reads, answer)
		return
	}
	answer()
}

// answerReads answers the delayed reads and resets delaysReads.
func (r *fakeRuntime) answerReads() {
	reads := r.reads
	r.reads, r.delaysReads = nil, false
	for _, answer := range reads {
		answer()
	}
}

// runTimers advances the clock by one second and runs all timers set so far, whatever their
// delay.
func (r *fakeRuntime) runTimers() {
	timers := r.timers
	r.timers = nil
	r.now += time.Second
	for _, fn := range timers {
		fn()
	}
}

// emptyCluster is a cluster without machines and tasks.
type emptyCluster struct{}

func (emptyCluster) IsKnown() bool                      { return true }
func (emptyCluster) EachMachine(func(*MachineInfo))     {}
func (emptyCluster) Machine(string) (MachineInfo, bool) { return MachineInfo{}, false }
func (emptyCluster) IsGone(string) bool                 { return false }
func (emptyCluster) CPUsPlacedOn(string) float64        { return 0 }
func (emptyCluster) Job(string) (*jobs.Spec, bool)      { return nil, false }
func (emptyCluster) TaskStatus(string, int) (taskstate.TaskStatus, bool) {
	return taskstate.TaskStatus{}, false
}
func (emptyCluster) PlacedReplicas(string) int                            { return 0 }
func (emptyCluster) EachPlacement(func(*jobs.Spec, taskstate.TaskStatus)) {}
func (emptyCluster) EachInterrupted(func(*jobs.Spec, int))                {}
func (emptyCluster) CapacityFor(*jobs.Spec, string) int                   { return 0 }
func (emptyCluster) HasUrgentWaiting(jobs.Priority) bool                  { return false }
func (emptyCluster) RentMachine(string, MachineInfo) (string, bool)       { return "", false }
func (emptyCluster) KeepIdle(map[string]bool)                             {}
func (emptyCluster) ShardKey(int) string                                  { return "lease/block/0" }
func (emptyCluster) ShardCount() int                                      { return 1 }
func (emptyCluster) LeaseValid() bool                                     { return true }

// testCluster is a cluster that also implements the leader's lease.
type testCluster interface {
	Cluster
	LeaderLease
}

// newTestCoordinator returns a coordinator on a state service without limits, with empty
// records that watch it.
func newTestCoordinator(runtime *fakeRuntime, cluster testCluster, writesPerSecond float64) *Coordinator {
	log := slog.New(slog.DiscardHandler)
	state := statestore.New(runtime, "state", log)
	records := NewRecords(runtime, state, log, func() {})
	records.Start()
	nodeSettings := &settings.Settings{}
	nodeSettings.Deployment.State.WriteRPS = writesPerSecond
	nodeSettings.Operator.Drains = &settings.Drains{}
	return NewCoordinator(Dependencies{
		Runtime: runtime, State: state, Lease: cluster, Records: records, Cluster: cluster, Settings: nodeSettings, Log: log,
	})
}

// TestCommitIsRepeatedUntilItsOutcomeIsKnown guards against acting on a commit whose answer
// is missing: the service may still carry it out at any time. Until the outcome is known,
// the same commit is repeated, no other is sent and no outcome is reported. A later term
// neither repeats the commit nor receives its outcome.
func TestCommitIsRepeatedUntilItsOutcomeIsKnown(t *testing.T) {
	runtime := &fakeRuntime{}
	coordinator := newTestCoordinator(runtime, emptyCluster{}, 100)
	coordinator.BeginTerm(7)
	for range 3 {
		runtime.runTimers()
	}
	outcomes := []bool{}
	coordinator.committer.commit(nil, []statestore.Operation{{PutKey: HeadKey("a"), Value: json.RawMessage(`{}`)}}, func(ok bool) { outcomes = append(outcomes, ok) })
	for attempt, answer := range []func(func(http1.Response, error)){
		func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNoAnswer) },
		func(fn func(http1.Response, error)) { fn(http1.Response{Status: 503}, nil) },
		func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNotSent) },
		func(fn func(http1.Response, error)) { fn(http1.Response{}, eventloop.ErrNoAnswer) },
	} {
		coordinator.Tick()
		if len(runtime.commits) != attempt+1 || runtime.commits[attempt].body != runtime.commits[0].body || !coordinator.committer.inFlight || len(outcomes) > 0 {
			t.Fatalf("after %d answers: %d commits, in flight %v, outcomes %v; want %d identical commits, in flight, no outcome", attempt, len(runtime.commits), coordinator.committer.inFlight, outcomes, attempt+1)
		}
		answer(runtime.commits[attempt].answer)
		runtime.runTimers()
	}
	if !strings.Contains(runtime.commits[0].body, `{"key":"lease/lead","stamp":7}`) {
		t.Errorf("commit without the condition on the leader's fencing token 7: %s", runtime.commits[0].body)
	}
	runtime.commits[4].answer(http1.Response{Status: 409, Body: []byte(`{"failed":["drain/a/head"],"epoch":9}`)}, nil)
	for range 3 {
		runtime.runTimers()
	}
	if len(outcomes) != 1 || outcomes[0] || coordinator.committer.inFlight {
		t.Errorf("after a conflict: outcomes %v, in flight %v; want [false], not in flight", outcomes, coordinator.committer.inFlight)
	}
	coordinator.committer.commit(nil, []statestore.Operation{{PutKey: HeadKey("b"), Value: json.RawMessage(`{}`)}}, func(bool) { t.Error("the outcome of a commit of an earlier term is reported") })
	coordinator.BeginTerm(8)
	commits := len(runtime.commits)
	runtime.commits[commits-1].answer(http1.Response{}, eventloop.ErrNoAnswer)
	runtime.runTimers()
	if len(runtime.commits) != commits {
		t.Error("a commit of an earlier term is repeated")
	}
}

// openJobCluster is a cluster in which every job is open, without machines and tasks.
type openJobCluster struct{ emptyCluster }

func (openJobCluster) Job(id string) (*jobs.Spec, bool) { return &jobs.Spec{ID: id}, true }
