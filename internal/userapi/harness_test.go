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

// fakeService is a state service whose answers wait for the test, and the runtime of the
// code under test, whose timers do.
type fakeService struct {
	now       time.Duration
	timers    []func()
	requests  []request
	revisions map[string]uint64 // of the keys
	revision  uint64
}

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

// commit carries a commit out unless one of its conditions fails.
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

// nothingNew answers a verification.
func (f *fakeService) nothingNew() http1.Response {
	return http1.Response{Status: 200, Body: fmt.Appendf(nil, `{"epoch":%d,"log":[]}`, f.revision)}
}

// next takes the oldest request off; there must be one.
func (f *fakeService) next() request {
	next := f.requests[0]
	f.requests = f.requests[1:]
	return next
}

// fireNext lets some time pass and fires the oldest timer; there must be one.
func (f *fakeService) fireNext(passed time.Duration) {
	fn := f.timers[0]
	f.timers = f.timers[1:]
	f.now += passed
	fn()
}

// take takes the first request to a path off; watches that wait for changes are passed over.
func (f *fakeService) take(t *testing.T, path string) request {
	t.Helper()
	for i, pending := range f.requests {
		if strings.HasPrefix(pending.call.Target, path) && !waitsForChanges(pending.call) {
			f.requests = append(f.requests[:i:i], f.requests[i+1:]...)
			return pending
		}
	}
	t.Fatalf("no request to %s", path)
	return request{}
}

// waitsForChanges tells a long watch from a verification.
func waitsForChanges(call http1.ClientRequest) bool {
	return strings.Contains(call.Target, "waitMs") && !strings.Contains(call.Target, "waitMs=0")
}

// ignoreJobs is an observer that does nothing.
type ignoreJobs struct{}

func (ignoreJobs) JobChanged(*Entry) {}

// fixedProgress counts the same tasks for every job.
type fixedProgress struct{ done, placed, running int }

func (p *fixedProgress) Progress(string) (done, placed int) { return p.done, p.placed }
func (p *fixedProgress) RunningGangTasks(string) int        { return p.running }

// oneMachineType is a deployment of machines of one type.
type oneMachineType struct{}

func (oneMachineType) MachineTypes() []jobs.MachineType {
	return []jobs.MachineType{{Name: "g8", CPUs: 8, MemoryGB: 8}}
}

// testAPI is a user API that has read its catalog, with what it works with.
type testAPI struct {
	*API
	service    *fakeService
	catalog    *Catalog
	progress   *fixedProgress
	listTarget string // from where the catalog was read
}

// startAPI returns the user API of a deployment with one team, red. The catalog has been
// read up to a revision; entries are its JSON. Without limits a commit holds one operation.
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
	started.catalog = NewCatalog(service, client, config.Deployment.Teams, log, ignoreJobs{})
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

// newTestAPI returns a user API whose state service takes values of so many bytes; entries
// are what is stored, as JSON.
func newTestAPI(maxValueBytes int, entries string) (*fakeService, *Catalog, *API) {
	started := startAPI(&statestore.Limits{MaxOperations: 4, MaxValueBytes: maxValueBytes, FutureWriteShare: 1}, 0, entries, 9)
	return started.service, started.catalog, started.API
}

// submissionBody is a user's request for an array of three tasks.
func submissionBody(id int) []byte {
	return fmt.Appendf(nil, `{"id":"wk-%06d","lane":"x","crew":"red","shape":"array","urgency":"urgent","pieces":3,"cpus":1,"cards":0,"memoryGb":1,
		"kit":"img","pullGb":1,"builds":null,"yard":null,"samePlace":false,"spread":false,"loaners":true,"expectS":5,"snapshotS":0,"flushS":0,"dueS":null}`, id)
}
