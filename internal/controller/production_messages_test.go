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

// peerMessage is a message between two controllers, as it was recorded.
type peerMessage struct {
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body"`
	Answer json.RawMessage `json:"answer"`
	OK     bool            `json:"ok"`
}

// readProductionRecording reads what the version in production has written and sent.
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

// checkSameWhenSentAgain checks that a recorded message keeps all that it says when it is
// read into a message and encoded again.
func checkSameWhenSentAgain(t *testing.T, what string, recorded json.RawMessage, message any) {
	t.Helper()
	if err := json.Unmarshal(recorded, message); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	again, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	var before, after any
	if json.Unmarshal(recorded, &before) != nil || json.Unmarshal(again, &after) != nil || !reflect.DeepEqual(before, after) {
		t.Errorf("%s: was %s, is %s", what, recorded, again)
	}
}

// TestProductionMessagesAreUnderstood: what controllers of the version in production have
// told each other is read, and told again it is the same.
func TestProductionMessagesAreUnderstood(t *testing.T) {
	var recording struct {
		Peers []peerMessage `json:"peers"`
	}
	readProductionRecording(t, &recording)
	statuses := 0
	for _, message := range recording.Peers {
		if message.Path != statusPath {
			t.Errorf("a message of the kind %q", message.Path)
			continue
		}
		statuses++
		checkSameWhenSentAgain(t, "status message", message.Body, &fleet.ShardStatus{})
		if message.OK {
			checkSameWhenSentAgain(t, "reply", message.Answer, &fleet.StatusReply{})
		}
	}
	if statuses < 10 {
		t.Errorf("%d messages only", statuses)
	}
}

// TestUnknownPeerMessagesAreRefused: a message that this version does not know, or that
// does not parse, is refused with an empty answer.
func TestUnknownPeerMessagesAreRefused(t *testing.T) {
	sim := newSimulation(60)
	sim.runUntil(15 * time.Second)
	for _, controller := range sim.controllers {
		for path, body := range map[string]string{"/novel": "{}", statusPath: "not JSON", heartbeatPath: "[]"} {
			if answer, taken := askPeer(t, controller, path, body); taken || strings.TrimSpace(answer) != "" {
				t.Errorf("%s answers %s to %s", controller.name, answer, path)
			}
		}
	}
}
