package controller

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/fleet"
)

// peerMessage is a recorded message between two controllers.
type peerMessage struct {
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body"`
	Answer json.RawMessage `json:"answer"`
	OK     bool            `json:"ok"`
}

// readProductionRecording reads the recording of what the version in production has stored and
// sent.
func readProductionRecording(t *testing.T, recording any) {
	t.Helper()
	raw, err := os.ReadFile("../taskstate/testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, recording); err != nil {
		t.Fatal(err)
	}
}

// checkRoundTrip checks that a recorded message is unchanged when it is decoded into message and
// encoded again.
func checkRoundTrip(t *testing.T, kind string, recorded json.RawMessage, message any) {
	t.Helper()
	if err := json.Unmarshal(recorded, message); err != nil {
		t.Fatalf("decoding a recorded %s: %v", kind, err)
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	var want, got any
	if json.Unmarshal(recorded, &want) != nil || json.Unmarshal(encoded, &got) != nil || !reflect.DeepEqual(want, got) {
		t.Errorf("%s decoded and encoded again: got %s, want %s", kind, encoded, recorded)
	}
}

// TestProductionMessagesRoundTrip checks that messages between controllers of the version in
// production are decoded and encoded again without loss.
func TestProductionMessagesRoundTrip(t *testing.T) {
	var recording struct {
		Peers []peerMessage `json:"peers"`
	}
	readProductionRecording(t, &recording)
	statuses := 0
	for _, message := range recording.Peers {
		if message.Path != statusPath {
			t.Errorf("recorded message with path %q, want %q", message.Path, statusPath)
			continue
		}
		statuses++
		checkRoundTrip(t, "status message", message.Body, &fleet.ShardStatus{})
		if message.OK {
			checkRoundTrip(t, "reply", message.Answer, &fleet.StatusReply{})
		}
	}
	if statuses < 10 {
		t.Errorf("%d recorded status messages, want at least 10", statuses)
	}
}

// TestUnknownPeerMessagesAreRefused checks that a message with an unknown path or a malformed
// body is refused with an empty answer.
func TestUnknownPeerMessagesAreRefused(t *testing.T) {
	sim := newSimulation(60)
	sim.runUntil(15 * time.Second)
	for _, controller := range sim.controllers {
		for path, body := range map[string]string{"/novel": "{}", statusPath: "not JSON", heartbeatPath: "[]"} {
			if answer, accepted := askPeer(t, controller, path, body); accepted || strings.TrimSpace(answer) != "" {
				t.Errorf("%s answers message %s %s with %q (accepted %v), want it refused with an empty answer", controller.name, path, body, answer, accepted)
			}
		}
	}
}
