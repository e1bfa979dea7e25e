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

// node is a controller that leads, with one block of one large machine, of which nobody
// carries the work out.
type node struct {
	service  *statetest.Service
	leases   *statestore.LeaseManager
	catalog  *userapi.Catalog
	store    *taskstate.Store
	fleet    *fleet.Fleet
	leader   *Leader
	statuses uint64
}

// newNode returns a controller that stands for the leadership.
func newNode(s *statetest.Service) *node {
	log := slog.New(slog.DiscardHandler)
	set := &settings.Settings{}
	set.Deployment.Teams = []settings.Team{{Name: "red", CPUsMax: 24, GPUsMax: 4}}
	set.Deployment.State.WriteRPS = 1000
	set.Deployment.Cloud.RPS = 100
	state := statestore.New(s, statetest.Address, log)
	state.FreshnessCheckInterval = 0
	state.SetLimits(statestore.Limits{MaxOperations: 10, MaxValueBytes: 1 << 16, FutureWriteShare: 1})
	s.Other = func(c http1.ClientRequest) http1.Response {
		if c.Target == "/machine_types" {
			return statetest.Reply(200, map[string]any{"builds": []jobs.MachineType{{Name: "g8", CPUs: 500, GPUs: 100, MemoryGB: 500, Zones: []string{"a"}}}})
		}
		return statetest.Reply(200, map[string]any{"hosts": []any{}})
	}
	n := &node{service: s}
	n.leases = statestore.NewLeaseManager(s, state, log, statestore.LeaseConfig{Node: "node-0", Nonce: 1, ShardCount: 1, Observer: n})
	n.catalog = userapi.NewCatalog(s, state, set.Deployment.Teams, log, n)
	n.store = taskstate.NewStore(s, state, log)
	n.fleet = fleet.New(s, "cloud", n.leases, set, log)
	n.leader = New(s, state, n.leases, n.catalog, n.store, n.fleet, set, log)
	n.store.RecordAdded, n.store.RecordRemoved, n.store.TaskStatusChanged = n.leader.RecordAdded, n.leader.RecordRemoved, n.leader.TaskStatusChanged
	n.fleet.Start()
	n.catalog.Start()
	n.store.Start()
	n.leases.Start()
	return n
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

// settle lets the leader decide once more.
func (n *node) settle() {
	n.statuses++
	n.fleet.HandleStatus(&fleet.ShardStatus{
		Full: true, Token: 1, Seq: n.statuses,
		Hosts: []fleet.MachineStatus{{ID: "vm-1", MachineType: "g8", Zone: "a", HasReported: true, AcceptsTasks: true}},
	})
	n.leader.RequestRound()
	n.leader.AfterBatch()
}

// run lets time pass, with a look at everything every 100 ms.
func (n *node) run(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		n.settle()
		n.service.Run(100 * time.Millisecond)
	}
}

// job is one of the team red.
func job(id string, tasks int) *jobs.Spec {
	return &jobs.Spec{ID: id, Team: "red", Shape: "array", Urgency: "urgent", Tasks: tasks, CPUs: 1, EstimateSeconds: 5}
}

// submit stores jobs.
func submit(t *testing.T, s *statetest.Service, list ...*jobs.Spec) {
	t.Helper()
	for i, d := range list {
		s.Set(t, userapi.KeyPrefix+d.ID, userapi.Record{SubmittedMS: s.WallClock().UnixMilli() + int64(i), Spec: d})
	}
}

// handedOut counts the tasks of a job in all records.
func (n *node) handedOut(job string) (tasks int) {
	for _, r := range n.store.JobRecords(job) {
		tasks += len(r.TaskIndexes)
	}
	return tasks
}

// logTasks writes a page of the block's log that tells of the tasks of a record.
func logTasks(t *testing.T, s *statetest.Service, page int, r *taskstate.Record, change func(*taskstate.Task)) {
	t.Helper()
	c := taskstate.LoadRecord(&taskstate.Job{Spec: job(r.Job, len(r.TaskIndexes)), Tasks: map[int]*taskstate.Task{}, Groups: map[string]*taskstate.TaskGroup{}}, r)
	for _, k := range c.Tasks {
		change(k)
	}
	pages, _, _, err := taskstate.PackPages(c.Tasks, 1<<16, 1)
	if err != nil || len(pages) != 1 {
		t.Fatalf("%d pages, %v", len(pages), err)
	}
	s.Set(t, taskstate.PageKey(r.Shard, page), pages[0])
}

// record makes one of the job's tasks, as an earlier leader has.
func record(t *testing.T, s *statetest.Service, job string, number int, index ...int) *taskstate.Record {
	t.Helper()
	r := taskstate.NewRecord(0, job, number, index, nil, nil)
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.Set(t, r.Key, value)
	return r
}

func done(k *taskstate.Task) { k.State, k.Attempt = taskstate.StateDone, 1 }

// holdRecords has commits held back that hand tasks out.
func holdRecords(c *statetest.Commit) bool {
	return len(c.Apply) > 0 && strings.HasPrefix(c.Apply[0].PutKey, taskstate.KeyPrefix)
}

// holdEnds has commits held back that end jobs.
func holdEnds(c *statetest.Commit) bool {
	return len(c.Apply) > 0 && strings.HasPrefix(c.Apply[0].PutKey, userapi.KeyPrefix)
}

// TestHandOutsKeepToTheLimits: the open tasks of a team's jobs never exceed its limits of
// processors and of GPUs, also while the newest hand-outs have not been seen yet.
func TestHandOutsKeepToTheLimits(t *testing.T) {
	for _, c := range []struct {
		name  string
		cards float64
		want  int
	}{{"processors", 0, 24}, {"GPUs", 1, 4}} {
		t.Run(c.name, func(t *testing.T) {
			s := statetest.New()
			n := newNode(s)
			n.run(2 * time.Second)
			for _, id := range []string{"wk-1", "wk-2"} {
				d := job(id, 30)
				d.GPUs = c.cards
				submit(t, s, d)
			}
			n.run(100 * time.Millisecond)
			for range 3 { // no watch tells of anything meanwhile
				s.Skip(time.Second)
				n.settle()
			}
			n.run(2 * time.Second)
			if got := n.handedOut("wk-1") + n.handedOut("wk-2"); got != c.want {
				t.Errorf("%d tasks are handed out, the limit is %d", got, c.want)
			}
		})
	}
}

// TestLateHandOutOfAnEarlierLeaderFails: a hand-out that is held up on its way until another
// node leads changes nothing.
func TestLateHandOutOfAnEarlierLeaderFails(t *testing.T) {
	s := statetest.New()
	s.Hold = holdRecords
	n := newNode(s)
	submit(t, s, job("wk-1", 3))
	n.run(3 * time.Second)
	if len(s.Held) != 1 {
		t.Fatalf("%d hand-outs", len(s.Held))
	}
	s.Set(t, statestore.LeaderKey, map[string]any{"node": "node-1", "nonce": 1})
	if a := s.Commit(s.Held[0]); a.Status != 409 {
		t.Errorf("carried out under another leader: %d", a.Status)
	}
}

// TestRepeatedHandOutFails: carried out once more, later, it does not make its records anew.
func TestRepeatedHandOutFails(t *testing.T) {
	s := statetest.New()
	s.Hold = holdRecords
	n := newNode(s)
	submit(t, s, job("wk-1", 3))
	n.run(3 * time.Second)
	if a := s.Commit(s.Held[0]); a.Status != 200 {
		t.Fatalf("answered %d", a.Status)
	}
	if a := s.Commit(s.Held[0]); a.Status != 409 {
		t.Errorf("carried out twice: %d", a.Status)
	}
}

// TestHandOutInDoubtIsRepeatedWhole: a hand-out that got no answer may have been carried out.
// Until that is known all of it is sent again, also when a try is refused.
func TestHandOutInDoubtIsRepeatedWhole(t *testing.T) {
	s := statetest.New()
	n := newNode(s)
	n.run(2 * time.Second)
	s.Hold = holdRecords
	submit(t, s, job("wk-1", 3), job("wk-2", 3))
	n.run(2 * time.Second)
	if len(s.Held) != 1 || len(s.Held[0].Apply) != 2 {
		t.Fatalf("%d hand-outs, the first of %d records", len(s.Held), len(s.Held[0].Apply))
	}
	s.Held[0].Answer(http1.Response{}, eventloop.ErrNoAnswer)
	n.run(2 * time.Second)
	s.Held[1].Answer(statetest.Reply(503, nil), nil)
	n.run(2 * time.Second)
	if len(s.Held) != 3 || len(s.Held[1].Apply) != 2 || len(s.Held[2].Apply) != 2 {
		t.Errorf("%d tries, the last of %d records", len(s.Held), len(s.Held[len(s.Held)-1].Apply))
	}
}

// TestLeaderWhoseTokenFailedSendsNothing: when the guard of the leadership has failed, nothing
// more is sent before the leases have been looked at.
func TestLeaderWhoseTokenFailedSendsNothing(t *testing.T) {
	s := statetest.New()
	s.Hold = holdRecords
	n := newNode(s)
	submit(t, s, job("wk-1", 3))
	n.run(3 * time.Second)
	s.Set(t, statestore.LeaderKey, map[string]any{"node": "node-1", "nonce": 1})
	s.Held[0].Answer(s.Commit(s.Held[0]), nil)
	s.Skip(time.Second)
	n.settle()
	if len(s.Held) > 1 || n.leader.IsLoaded() {
		t.Errorf("%d hand-outs, leads %v", len(s.Held), n.leader.IsLoaded())
	}
}

// TestAttemptsAreCarriedOn: a task that a block gave back keeps its last attempt in its next
// record, also when another leader hands it out, so that no attempt is used twice.
func TestAttemptsAreCarriedOn(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		s := statetest.New()
		n := newNode(s)
		d := job("wk-1", 2)
		submit(t, s, d)
		r := record(t, s, d.ID, 0, 0, 1)
		if !takeover {
			n.run(2 * time.Second)
		}
		logTasks(t, s, 0, r, func(k *taskstate.Task) { k.State, k.Attempt = taskstate.StateReturned, 3 })
		n.run(3 * time.Second)
		next, ok := s.Get(taskstate.RecordKey(0, d.ID, 1))
		if !ok {
			t.Fatalf("takeover %v: not handed out again", takeover)
		}
		again, err := taskstate.Decode(next.Key, next.Value, next.Revision)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range again.Statuses {
			if m.Attempt != 3 {
				t.Errorf("takeover %v: handed out with last attempt %d, it was 3", takeover, m.Attempt)
			}
		}
	}
}

// TestRecordsOfACancelledJobStayUntilWrittenOff: removed on the leader's own judgement, a
// placement that the owner commits at the same time would be lost.
func TestRecordsOfACancelledJobStayUntilWrittenOff(t *testing.T) {
	s := statetest.New()
	n := newNode(s)
	d := job("wk-1", 2)
	submit(t, s, d)
	r := record(t, s, d.ID, 0, 0, 1)
	n.run(2 * time.Second)
	s.Set(t, userapi.KeyPrefix+d.ID, userapi.Record{SubmittedMS: 1, Spec: d, Phase: userapi.PhaseCancelled, CancelledMS: 1})
	n.run(3 * time.Second)
	if _, ok := s.Get(r.Key); !ok {
		t.Fatal("removed while its tasks may be on machines")
	}
	logTasks(t, s, 0, r, func(k *taskstate.Task) { k.State, k.Attempt = taskstate.StateDropped, 1 })
	n.run(3 * time.Second)
	if _, ok := s.Get(r.Key); ok {
		t.Error("never removed")
	}
}

// TestJobIsDoneWhenEachTaskIs: the tasks of a job that seems to be over are counted once more,
// each by its number, since one may be done on two records.
func TestJobIsDoneWhenEachTaskIs(t *testing.T) {
	s := statetest.New()
	n := newNode(s)
	d := job("wk-1", 2)
	submit(t, s, d)
	first, second := record(t, s, d.ID, 0, 0), record(t, s, d.ID, 1, 0)
	logTasks(t, s, 0, first, done)
	logTasks(t, s, 1, second, done)
	n.run(3 * time.Second)
	if e := n.catalog.Get(d.ID); e.Phase != "" {
		t.Fatalf("%s when one of its two tasks is", e.Phase)
	}
	row, ok := s.Get(taskstate.RecordKey(0, d.ID, 2))
	if !ok {
		t.Fatal("its other task is not handed out")
	}
	last, err := taskstate.Decode(row.Key, row.Value, row.Revision)
	if err != nil {
		t.Fatal(err)
	}
	logTasks(t, s, 2, last, done)
	n.run(3 * time.Second)
	if e := n.catalog.Get(d.ID); e.Phase != userapi.PhaseDone {
		t.Errorf("%q when both are", e.Phase)
	}
}

// TestEndOfAJobIsToldWhenDurable: and it never overwrites a cancellation.
func TestEndOfAJobIsToldWhenDurable(t *testing.T) {
	s := statetest.New()
	s.Hold = holdEnds
	n := newNode(s)
	d := job("wk-1", 1)
	submit(t, s, d)
	logTasks(t, s, 0, record(t, s, d.ID, 0, 0), done)
	n.run(3 * time.Second)
	if len(s.Held) != 1 || !slices.ContainsFunc(s.Held[0].Apply, func(c statestore.Operation) bool { return c.PutKey == userapi.KeyPrefix+d.ID }) {
		t.Fatalf("%d ends of jobs", len(s.Held))
	}
	if e := n.catalog.Get(d.ID); e.Phase != "" {
		t.Errorf("told %q before that is durable", e.Phase)
	}
	s.Set(t, userapi.KeyPrefix+d.ID, userapi.Record{SubmittedMS: 1, Spec: d, Phase: userapi.PhaseCancelled, CancelledMS: 1})
	if a := s.Commit(s.Held[0]); a.Status != 409 {
		t.Errorf("a cancelled job is overwritten: %d", a.Status)
	}
}

// TestLeaderBeginsOnWhatIsProvenCurrent: a new leader hands nothing out before the copies of
// the records and of the jobs are proven to hold all that earlier ones have committed.
func TestLeaderBeginsOnWhatIsProvenCurrent(t *testing.T) {
	for _, prefix := range []string{taskstate.KeyPrefix, userapi.KeyPrefix} {
		s := statetest.New()
		s.Refuse = func(c http1.ClientRequest) bool { return statetest.IsCheck(c, prefix) }
		n := newNode(s)
		submit(t, s, job("wk-1", 3))
		n.run(5 * time.Second)
		if n.leases.LeaderToken() == 0 || n.leader.IsLoaded() || n.handedOut("wk-1") > 0 {
			t.Errorf("%s: token %d, acts %v without a proof", prefix, n.leases.LeaderToken(), n.leader.IsLoaded())
		}
		s.Refuse = nil
		if n.run(5 * time.Second); n.handedOut("wk-1") != 3 {
			t.Errorf("%s: does not act when there is one", prefix)
		}
	}
}
