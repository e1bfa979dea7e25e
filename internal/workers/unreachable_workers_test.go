package workers

import (
	"encoding/json"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// TestUnreachableWorkerGetsNoTasksUntilItAnswersAProbe checks that a worker whose heartbeats
// arrive but which receives no answers gets neither tasks nor answers after a few heartbeats,
// and that it gets both again once it has answered a probe.
func TestUnreachableWorkerGetsNoTasksUntilItAnswersAProbe(t *testing.T) {
	fixture := newRegistryFixture(1)
	sent := fixture.now
	_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.receiveAnswer(body, 1, sent)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	worker := fixture.registry.Worker("vm-1")
	if !fixture.registry.AcceptsTasks(worker) {
		t.Fatal("a reachable worker accepts no tasks")
	}
	fixture.beginTerm()
	fixture.calls = nil
	for range tuning.UnreachableAfterHeartbeats + 1 {
		fixture.now += 5 * time.Second
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
	}
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); !worker.Unreachable || fixture.registry.AcceptsTasks(worker) || status != 503 {
		t.Fatalf("after heartbeats without the token: unreachable %v, accepts tasks %v, answered %d, want true, false, 503", worker.Unreachable, fixture.registry.AcceptsTasks(worker), status)
	}
	fixture.now += tuning.UnreachableProbeInterval
	fixture.registry.Tick()
	if len(fixture.calls) != 1 {
		t.Fatalf("after the probe interval: %d probes sent, want 1", len(fixture.calls))
	}
	fixture.calls[0].fn(fixture.deliverDirect(fixture.calls[0]), nil)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if worker.Unreachable || !fixture.registry.AcceptsTasks(worker) {
		t.Errorf("after the probe was answered: unreachable %v, accepts tasks %v, want false, true", worker.Unreachable, fixture.registry.AcceptsTasks(worker))
	}
}

// TestProbeAnswerUnderAnEarlierTokenIsIgnored checks that an answer to a probe that shows an
// earlier token does not make an unreachable worker reachable again.
func TestProbeAnswerUnderAnEarlierTokenIsIgnored(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	worker.Unreachable = true
	fixture.now += tuning.UnreachableProbeInterval
	fixture.registry.Tick()
	if len(fixture.calls) != 1 {
		t.Fatalf("after the probe interval: %d probes sent, want 1", len(fixture.calls))
	}
	heartbeat := fixture.heartbeat()
	heartbeat.Token = fixture.token - 1
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	if fixture.calls[0].fn(http1.Response{Status: 409, Body: raw}, nil); !worker.Unreachable {
		t.Error("after an answer under an earlier token: the worker counts as reachable")
	}
}
