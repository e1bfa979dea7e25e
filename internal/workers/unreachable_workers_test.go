package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// TestUnreachableWorkerGetsNoTasksUntilItAnswersAProbe: a worker whose heartbeats arrive, but
// which does not hear, gets no tasks after a few heartbeats, and no answers; when it answers
// a probe it gets both again.
func TestUnreachableWorkerGetsNoTasksUntilItAnswersAProbe(t *testing.T) {
	fixture := newRegistryFixture(1)
	sent := fixture.now
	_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.receiveAnswer(body, 1, sent)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	worker := fixture.registry.Worker("vm-1")
	if !fixture.registry.AcceptsTasks(worker) {
		t.Fatal("a machine that hears is closed")
	}
	fixture.beginTerm()
	fixture.calls = nil
	for range tuning.DeafHeartbeats + 1 {
		fixture.now += 5 * time.Second
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
	}
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); !worker.Unreachable || fixture.registry.AcceptsTasks(worker) || status != 503 {
		t.Fatalf("deaf %v, open %v, answered %d", worker.Unreachable, fixture.registry.AcceptsTasks(worker), status)
	}
	fixture.now += tuning.DeafProbeInterval
	fixture.registry.Tick()
	if len(fixture.calls) != 1 {
		t.Fatalf("%d probes", len(fixture.calls))
	}
	fixture.calls[0].fn(fixture.deliverDirect(fixture.calls[0]), nil)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if worker.Unreachable || !fixture.registry.AcceptsTasks(worker) {
		t.Errorf("deaf %v, open %v after an answer", worker.Unreachable, fixture.registry.AcceptsTasks(worker))
	}
}

// TestProbeAnswerUnderAnEarlierTokenIsIgnored: an answer under an earlier token is none to us.
func TestProbeAnswerUnderAnEarlierTokenIsIgnored(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	worker.Unreachable = true
	fixture.now += tuning.DeafProbeInterval
	fixture.registry.Tick()
	if len(fixture.calls) != 1 {
		t.Fatalf("%d probes", len(fixture.calls))
	}
	heartbeat := fixture.heartbeat()
	heartbeat.Token = fixture.token - 1
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	if fixture.calls[0].fn(http1.Response{Status: 409, Body: raw}, nil); !worker.Unreachable {
		t.Error("counts as hearing")
	}
}
