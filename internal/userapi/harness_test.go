package userapi

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
)

// fakeService is a fake state service and the runtime of the code under test. Requests are
// answered and timers fire only when the test does so.
type fakeService struct {
	now       time.Duration
	timers    []func()
	requests  []request
	revisions map[string]uint64 // current revisions, by key
	revision  uint64
}

// request is a request to the state service that has not been answered.
type request struct {
	call   http1.ClientRequest
	answer func(http1.Response, error)
}

func newFakeService() *fakeService {
	return &fakeService{revisions: map[string]uint64{}, now: time.Minute}
}

func (f *fakeService) Now() time.Duration               { return f.now }
func (f *fakeService) WallClock() time.Time             { return time.UnixMilli(0).Add(f.now) }
func (f *fakeService) Rand() float64                    { return 0.5 }
func (f *fakeService) After(_ time.Duration, fn func()) { f.timers = append(f.timers, fn) }
func (f *fakeService) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {
}

func (f *fakeService) CallHTTP(_ string, call http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	f.requests = append(f.requests, request{call, fn})
}

// commit applies a commit unless one of its conditions fails, and returns the response.
func (f *fakeService) commit(body []byte) http1.Response {
	var commit struct {
		Conditions []statestore.Condition `json:"guards"`
		Operations []statestore.Operation `json:"apply"`
	}
	if json.Unmarshal(body, &commit) != nil {
		return http1.Response{Status: 400}
	}
	var failed []string
	for _, condition := range commit.Conditions {
		if f.revisions[condition.Key] != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		raw, _ := json.Marshal(map[string]any{"failed": failed, "epoch": f.revision})
		return http1.Response{Status: 409, Body: raw}
	}
	f.revision++
	for _, operation := range commit.Operations {
		f.revisions[operation.PutKey] = f.revision
	}
	return http1.Response{Status: 200, Body: fmt.Appendf(nil, `{"epoch":%d}`, f.revision)}
}

// emptyWatchAnswer returns the response to a watch or verification without any changes.
func (f *fakeService) emptyWatchAnswer() http1.Response {
	return http1.Response{Status: 200, Body: fmt.Appendf(nil, `{"epoch":%d,"log":[]}`, f.revision)}
}

// popRequest removes and returns the oldest request; there must be one.
func (f *fakeService) popRequest() request {
	next := f.requests[0]
	f.requests = f.requests[1:]
	return next
}

// fireNext advances the clock by the given time and fires the oldest timer; there must be one.
func (f *fakeService) fireNext(elapsed time.Duration) {
	fn := f.timers[0]
	f.timers = f.timers[1:]
	f.now += elapsed
	fn()
}

// takeRequest removes and returns the oldest request whose target starts with path, skipping
// watches that wait for changes. It fails the test if there is none.
func (f *fakeService) takeRequest(t *testing.T, path string) request {
	t.Helper()
	for i, pending := range f.requests {
		if strings.HasPrefix(pending.call.Target, path) && !isLongPoll(pending.call) {
			f.requests = append(f.requests[:i:i], f.requests[i+1:]...)
			return pending
		}
	}
	t.Fatalf("no request to %s", path)
	return request{}
}

// isLongPoll reports whether a request is a watch that waits for changes, and not a
// verification, which is a watch with a wait of 0.
func isLongPoll(call http1.ClientRequest) bool {
	return strings.Contains(call.Target, "waitMs") && !strings.Contains(call.Target, "waitMs=0")
}

// noopObserver is a JobObserver that does nothing.
type noopObserver struct{}

func (noopObserver) JobChanged(*Entry) {}

// fixedProgress is a TaskProgress that returns the same counts for every job.
type fixedProgress struct{ done, placed, running int }

func (p *fixedProgress) Progress(string) (done, placed int) { return p.done, p.placed }
func (p *fixedProgress) RunningGangTasks(string) int        { return p.running }

// oneMachineType provides the machine types of a deployment with a single type.
type oneMachineType struct{}

func (oneMachineType) MachineTypes() []jobs.MachineType {
	return []jobs.MachineType{{Name: "g8", CPUs: 8, MemoryGB: 8}}
}

// testAPI is a user API that has read its catalog, with its dependencies.
type testAPI struct {
	*API
	service    *fakeService
	catalog    *Catalog
	progress   *fixedProgress
	listTarget string // target of the request that listed the catalog
}

// startAPI returns the user API of a deployment with one team, red. Its catalog has been read
// at the given revision with entries, the JSON of the listed records. With nil limits, a
// commit holds one operation.
func startAPI(limits *statestore.Limits, writesPerSecond float64, entries string, revision uint64) *testAPI {
	service := newFakeService()
	log := slog.New(slog.DiscardHandler)
	client := statestore.New(service, "state", log)
	if limits != nil {
		client.SetLimits(*limits)
	}
	config := &settings.Settings{}
	config.Deployment.Teams = []settings.Team{{Name: "red", CPUsMax: 100}}
	config.Deployment.State.WriteRPS = writesPerSecond
	started := &testAPI{service: service, progress: &fixedProgress{}}
	started.catalog = NewCatalog(service, client, config.Deployment.Teams, log, noopObserver{})
	started.API = NewAPI(Config{
		Runtime: service, Client: client, Catalog: started.catalog, Settings: config,
		Progress: started.progress, Machines: oneMachineType{},
	})
	started.catalog.Start()
	started.listTarget = service.requests[0].call.Target
	listing := fmt.Appendf(nil, `{"rows":[%s],"epoch":%d}`, entries, revision)
	service.requests[0].answer(http1.Response{Status: 200, Body: listing}, nil)
	service.requests = nil
	service.revision = revision
	return started
}

// newTestAPI returns a user API whose state service is configured with a limit of maxValueBytes
// per value; entries is the JSON of the stored records.
func newTestAPI(maxValueBytes int, entries string) (*fakeService, *Catalog, *API) {
	started := startAPI(&statestore.Limits{MaxOperations: 4, MaxValueBytes: maxValueBytes, FutureWriteShare: 1}, 0, entries, 9)
	return started.service, started.catalog, started.API
}

// submissionBody returns the body of a submission of an array job with three tasks.
func submissionBody(id int) []byte {
	return fmt.Appendf(nil, `{"id":"wk-%06d","lane":"x","crew":"red","shape":"array","urgency":"urgent","pieces":3,"cpus":1,"cards":0,"memoryGb":1,
		"kit":"img","pullGb":1,"builds":null,"yard":null,"samePlace":false,"spread":false,"loaners":true,"expectS":5,"snapshotS":0,"flushS":0,"dueS":null}`, id)
}
