package shard

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// stateService is a key-value store with revisions, watches and a clock. It answers at
// once, except commits that a test holds back.
type stateService struct {
	now     time.Duration
	epoch   uint64
	rows    map[string]statestore.KeyValue
	log     []statestore.WatchEvent
	timers  []timer
	watches []watch
	hold    func(commit) bool // whether a commit is held back
	held    []commit
}

type timer struct {
	at time.Duration
	fn func()
}

type watch struct {
	prefix string
	since  uint64
	fn     func(http1.Response, error)
}

type commit struct {
	Guards []statestore.Condition `json:"guards"`
	Apply  []statestore.Operation `json:"apply"`
	fn     func(http1.Response, error)
}

func (s *stateService) Now() time.Duration   { return s.now }
func (s *stateService) WallClock() time.Time { return time.UnixMilli(1_790_000_000_000).Add(s.now) }
func (s *stateService) Rand() float64        { return 0.5 }
func (s *stateService) After(d time.Duration, fn func()) {
	s.timers = append(s.timers, timer{s.now + d, fn})
}
func (s *stateService) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {}

func (s *stateService) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	u, err := url.Parse(c.Target)
	if err != nil {
		fn(http1.Response{Status: 400}, nil)
		return
	}
	prefix := u.Query().Get("under")
	switch u.Path {
	case "/commit":
		var c2 commit
		if json.Unmarshal(c.Body, &c2) != nil {
			fn(http1.Response{Status: 400}, nil)
			return
		}
		if c2.fn = fn; s.hold != nil && s.hold(c2) {
			s.held = append(s.held, c2)
			return
		}
		fn(s.commit(c2), nil)
	case "/keys":
		rows := []statestore.KeyValue{}
		for key, r := range s.rows {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, r)
			}
		}
		slices.SortFunc(rows, func(a, b statestore.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
		fn(reply(200, map[string]any{"rows": rows, "epoch": s.epoch}), nil)
	case "/watch":
		since, _ := strconv.ParseUint(u.Query().Get("since"), 10, 64)
		w := watch{prefix, since, fn}
		if !s.tell(w, u.Query().Get("waitMs") == "0") {
			s.watches = append(s.watches, w)
		}
	case "/grants":
		fn(reply(200, map[string]any{"permit": 1}), nil)
	default: // a renewal
		fn(reply(200, map[string]any{}), nil)
	}
}

func reply(status int, body any) http1.Response {
	raw, _ := json.Marshal(body)
	return http1.Response{Status: status, Body: raw}
}

// tell answers a watch if there is anything, or anyway.
func (s *stateService) tell(w watch, anyway bool) bool {
	events := []statestore.WatchEvent{}
	for _, e := range s.log {
		if e.Revision > w.since && strings.HasPrefix(e.PutKey+e.DeletedKey, w.prefix) {
			events = append(events, e)
		}
	}
	if len(events) == 0 && !anyway {
		return false
	}
	w.fn(reply(200, map[string]any{"epoch": s.epoch, "log": events}), nil)
	return true
}

// commit carries a commit out.
func (s *stateService) commit(c commit) http1.Response {
	failed := []string{}
	for _, g := range c.Guards {
		if s.rows[g.Key].Revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return reply(409, map[string]any{"failed": failed, "epoch": s.epoch})
	}
	s.epoch++
	for _, a := range c.Apply {
		if a.DeleteKey != "" {
			delete(s.rows, a.DeleteKey)
		} else {
			s.rows[a.PutKey] = statestore.KeyValue{Key: a.PutKey, Value: a.Value, Revision: s.epoch}
		}
		s.log = append(s.log, statestore.WatchEvent{PutKey: a.PutKey, Value: a.Value, DeletedKey: a.DeleteKey, Revision: s.epoch})
	}
	return reply(200, map[string]any{"epoch": s.epoch})
}

// set writes one value.
func (s *stateService) set(t *testing.T, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	s.commit(commit{Apply: []statestore.Operation{{PutKey: key, Value: raw}}})
}

// run lets time pass: timers fire and watches tell of changes.
func (s *stateService) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 10 * time.Millisecond {
		watches := s.watches
		s.watches = nil
		for _, w := range watches {
			if !s.tell(w, false) {
				s.watches = append(s.watches, w)
			}
		}
		timers := s.timers
		s.timers = nil
		for _, tm := range timers {
			if tm.at <= s.now {
				tm.fn()
			} else {
				s.timers = append(s.timers, tm)
			}
		}
	}
}

// owner is a node that may hold block 0.
type owner struct {
	leases *statestore.LeaseManager
	store  *taskstate.Store
	tasks  *TaskStore
	token  uint64
	begun  int // tokens won
}

// newOwner returns a node that stands for the leadership and is given the block then.
func newOwner(s *stateService, node string) *owner {
	log := slog.New(slog.DiscardHandler)
	set := &settings.Settings{}
	set.Deployment.State.WriteRPS = 1000
	state := statestore.New(s, "state", log)
	state.FreshnessCheckInterval = 0
	state.SetLimits(statestore.Limits{MaxOperations: 10, MaxValueBytes: 1 << 16, FutureWriteShare: 1})
	o := &owner{}
	o.leases = statestore.NewLeaseManager(s, state, log, node, 1, 0, 1)
	catalog := userapi.NewCatalog(s, state, nil, log)
	o.store = taskstate.NewStore(s, state, log)
	o.tasks = NewTaskStore(s, state, o.leases, catalog, o.store, set, log, 0)
	o.tasks.TaskWaiting = func(*taskstate.Task) {}
	o.tasks.PlacementDurable = func(*taskstate.Task) {}
	o.tasks.RecordsLoaded = func() {}
	catalog.JobChanged = o.tasks.JobChanged
	o.store.RecordAdded = o.tasks.RecordAdded
	o.leases.LeadershipAcquired = func(uint64) {}
	o.leases.LeadershipLost = func() {}
	o.leases.ShardAcquired = func(_ int, token uint64) {
		o.token = token
		o.begun++
		o.tasks.BeginTerm(token)
	}
	o.leases.ShardLost = func(int) { o.token = 0; o.tasks.EndTerm() }
	catalog.Start()
	o.store.Start()
	o.leases.Start()
	return o
}

// owned is a state service with one job of so many tasks handed to block 0, and the
// block's owner, which has read it.
func owned(t *testing.T, tasks int) (*stateService, *owner) {
	t.Helper()
	s := &stateService{rows: map[string]statestore.KeyValue{}}
	job := &jobs.Spec{ID: "wk-1", Shape: "array", Tasks: tasks, CPUs: 1}
	s.set(t, userapi.KeyPrefix+job.ID, userapi.Record{SubmittedMS: 1, Spec: job})
	index := make([]int, tasks)
	for i := range index {
		index[i] = i
	}
	record := taskstate.NewRecord(0, job.ID, 0, index, nil, nil)
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.set(t, record.Key, value)
	o := newOwner(s, "node-0")
	s.run(5 * time.Second)
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
func logPage(c commit) bool {
	return len(c.Apply) > 0 && strings.HasPrefix(c.Apply[0].PutKey, "work/0/log/")
}

var _ eventloop.Runtime = (*stateService)(nil)
