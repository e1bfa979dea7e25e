package userapi

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/wiretest"
)

// submittedJob is a job as a user sends it, stored is its description as it is kept.
const (
	submittedJob = `{"id":"wk-000412","lane":"batch","crew":"red","shape":"gang","urgency":"urgent","pieces":2,"cpus":1.5,"cards":0,"memoryGb":3.5,` +
		`"kit":"image-1","pullGb":4.5,"builds":null,"yard":null,"samePlace":false,"spread":false,"loaners":true,"expectS":60.5,` +
		`"snapshotS":0,"flushS":0,"dueS":null}`
	storedSpec = `{"id":"wk-000412","lane":"batch","crew":"red","shape":"gang","urgency":"urgent","pieces":2,"cpus":1.5,"cards":0,"memoryGb":3.5,` +
		`"kit":"image-1","pullGb":4.5,"loaners":true,"expectS":60.5}`
)

// TestWireRecord: how a job is stored.
func TestWireRecord(t *testing.T) {
	var record Record
	const full = `{"phase":"cancelled","at":1700000000001,"job":{"id":"wk-1","lane":"l","crew":"c","shape":"gang","urgency":"low","pieces":1,` +
		`"cpus":2,"cards":3,"memoryGb":4,"kit":"k","pullGb":5,"builds":["g8"],"yard":"y","samePlace":true,"spread":true,"loaners":true,` +
		`"expectS":6,"snapshotS":7,"flushS":8,"dueS":9},"n":10,"off":1700000000002}`
	wiretest.CheckRoundTrip(t, full, &record)
	wiretest.CheckEncoding(t, Record{}, `{"at":0}`)
	wiretest.CheckEncoding(t, Record{Phase: PhaseDone, SubmittedMS: 1, TaskCount: 2}, `{"phase":"done","at":1,"n":2}`)
	wiretest.CheckRoundTrip(t, `{"id":"wk-1","phase":"running","done":2,"running":3}`, &jobStatus{})
	if KeyPrefix != "job/" || PhaseDone != "done" || PhaseCancelled != "cancelled" {
		t.Error(KeyPrefix, PhaseDone, PhaseCancelled)
	}
}

// timestamp finds the times of day in a record.
var timestamp = regexp.MustCompile(`"(at|off)":[1-9][0-9]*`)

// userSession sends a user's requests one after the other.
type userSession struct{ *testAPI }

// exchange is one request of a user, what is committed for it (timestamps as MS) and the
// answer.
type exchange struct {
	method, path, body string
	wantCommit         string
	wantStatus         int
	wantBody           string
}

// serve answers what the state service is asked: commits are checked, verifications show
// that nothing is new.
func (u *userSession) serve(t *testing.T, wantCommit string) {
	t.Helper()
	service := u.service
	for len(service.requests) > 0 {
		next := service.next()
		if next.call.Target != "/commit" {
			next.answer(service.nothingNew(), nil)
			continue
		}
		if commit := timestamp.ReplaceAllString(string(next.call.Body), `"$1":MS`); commit != wantCommit {
			t.Errorf("committed %s, not %s", commit, wantCommit)
		}
		service.revision++
		next.answer(http1.Response{Status: 200, Body: fmt.Appendf(nil, `{"epoch":%d}`, service.revision)}, nil)
	}
}

// send sends a request and checks that it is answered once, and how.
func (u *userSession) send(t *testing.T, sent exchange) {
	t.Helper()
	answers := 0
	request := &http1.Request{Method: sent.method, Path: sent.path, Body: []byte(sent.body)}
	routed := u.Route(request, func(status int, body []byte, _ int) {
		answers++
		if status != sent.wantStatus || string(body) != sent.wantBody {
			t.Errorf("%s %s: %d %s, not %d %s", sent.method, sent.path, status, body, sent.wantStatus, sent.wantBody)
		}
	})
	for range 20 {
		u.serve(t, sent.wantCommit)
		if answers > 0 || len(u.service.timers) == 0 {
			break
		}
		u.service.fireNext(time.Second)
	}
	if !routed || answers != 1 {
		t.Errorf("%s %s: %d answers", sent.method, sent.path, answers)
	}
}

// TestWireOfUserRequests: the life of a job as its user sees it, from the submission to the
// cancellation, and what is sent to the state service for it.
func TestWireOfUserRequests(t *testing.T) {
	session := &userSession{startAPI(&statestore.Limits{MaxOperations: 12, MaxValueBytes: 8000, FutureWriteShare: 1}, 100, "", 1)}
	session.service.revision = 8
	if !strings.HasPrefix(session.listTarget, "/keys?under=job%2F&limit=") {
		t.Errorf("jobs are read from %s", session.listTarget)
	}
	for _, sent := range []exchange{
		{"GET", "/work/wk-000412", "", "", 404, `{"error":"no such job"}`},
		{"POST", "/work/wk-000412/cancel", "", "", 404, `{"error":"no such job"}`},
		{
			"POST", "/work", submittedJob,
			`{"guards":[{"key":"job/wk-000412","stamp":0}],"apply":[{"set":"job/wk-000412","v":{"at":MS,"job":` + storedSpec + `}}]}`,
			201, `{"id":"wk-000412","phase":"pending"}`,
		},
		{"POST", "/work", submittedJob, "", 200, `{"id":"wk-000412","phase":"pending","done":0,"running":0}`},
	} {
		session.send(t, sent)
	}
	session.progress.running = 2
	for _, sent := range []exchange{
		{"GET", "/work/wk-000412", "", "", 200, `{"id":"wk-000412","phase":"running","done":0,"running":2}`},
		{
			"POST", "/work/wk-000412/cancel", "",
			`{"guards":[{"key":"job/wk-000412","stamp":9}],"apply":[{"set":"job/wk-000412","v":{"phase":"cancelled","at":MS,"job":` + storedSpec + `,"off":MS}}]}`,
			200, `{"id":"wk-000412","phase":"cancelled","done":0,"running":0}`,
		},
	} {
		session.send(t, sent)
	}
	session.catalog.Observe("wk-000413", []byte(`{"phase":"done","at":1,"n":7}`), 10)
	for _, sent := range []exchange{
		{"GET", "/work/wk-000413", "", "", 200, `{"id":"wk-000413","phase":"done","done":7,"running":0}`},
		{"POST", "/work", strings.Replace(submittedJob, `"pieces":2`, `"pieces":"2"`, 1), "", 400, `{"error":"field \"pieces\": want int, not string"}`},
		{"POST", "/work", strings.Replace(submittedJob, `"red"`, `"blue"`, 1), "", 200, `{"id":"wk-000412","phase":"cancelled","done":0,"running":0}`},
		{"POST", "/work", strings.NewReplacer(`"red"`, `"blue"`, "412", "414").Replace(submittedJob), "", 422, `{"error":"unknown team \"blue\""}`},
		{"PUT", "/work", "", "", 405, `{"error":"method not allowed"}`},
		{"DELETE", "/work/wk-000412", "", "", 405, `{"error":"method not allowed"}`},
		{"GET", "/work/wk-000412/cancel", "", "", 405, `{"error":"method not allowed"}`},
		{"GET", "/work/wk-000412/novel", "", "", 404, `{"error":"no such path"}`},
	} {
		session.send(t, sent)
	}
	if session.Route(&http1.Request{Method: "GET", Path: "/jobs"}, func(int, []byte, int) {}) {
		t.Error("/jobs is taken for a path of the users'")
	}
}
