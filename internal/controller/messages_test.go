package controller

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"lemonmoor/internal/fleet"
)

// TestProductionMessages: what controllers of the version in production have told
// each other is read, and told again it is the same; a message that this version
// does not know is refused.
func TestProductionMessages(t *testing.T) {
	raw, err := os.ReadFile("../taskstate/testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var p struct {
		Peers []struct {
			Path   string          `json:"path"`
			Body   json.RawMessage `json:"body"`
			Answer json.RawMessage `json:"answer"`
			OK     bool            `json:"ok"`
		} `json:"peers"`
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		t.Fatal(err)
	}
	same := func(what string, raw json.RawMessage, v any) {
		t.Helper()
		if err := json.Unmarshal(raw, v); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		again, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var a, b any
		if json.Unmarshal(raw, &a) != nil || json.Unmarshal(again, &b) != nil || !reflect.DeepEqual(a, b) {
			t.Errorf("%s: was %s, is %s", what, raw, again)
		}
	}
	words := 0
	for _, m := range p.Peers {
		if m.Path != statusPath {
			t.Errorf("a message of the kind %q", m.Path)
			continue
		}
		words++
		same("status message", m.Body, &fleet.ShardStatus{})
		if m.OK {
			same("reply", m.Answer, &fleet.StatusReply{})
		}
	}
	if words < 10 {
		t.Errorf("%d messages only", words)
	}
	w := newWorld(60)
	w.run(15e9)
	for _, n := range w.nodes {
		for path, body := range map[string]string{"/novel": "{}", statusPath: "not JSON", heartbeatPath: "[]"} {
			answered := 0
			n.node.HandlePeer(path, []byte(body), func(b []byte, ok bool) {
				answered++
				if ok || len(bytes.TrimSpace(b)) > 0 {
					t.Errorf("%s answers %s to %s", n.name, b, path)
				}
			})
			if answered != 1 {
				t.Errorf("%s gives %d answers to %s", n.name, answered, path)
			}
		}
	}
}
