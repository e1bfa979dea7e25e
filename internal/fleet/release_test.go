package fleet

import (
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// TestMachineIsGoneWhenItsReleaseIsConfirmed checks that a machine and its tasks count as gone,
// and are reported so to the shard owner, only when the cloud has confirmed the release. A
// release that is refused or not answered proves nothing.
func TestMachineIsGoneWhenItsReleaseIsConfirmed(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer http1.Response
		err    error
		gone   bool
	}{
		{"refused", http1.Response{Status: 503}, nil, false},
		{"no answer", http1.Response{}, eventloop.ErrNoAnswer, false},
		{"confirmed", http1.Response{Status: 200, Body: []byte(`{}`)}, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := &settings.Settings{}
			config.Deployment.Cloud.RPS = 100
			runtime, fleet := newSmallFleet(config)
			fleet.BeginTerm()
			fleet.HandleStatus(&ShardStatus{
				Node: "node-0", Token: 1, Seq: 1, Full: true,
				Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, ReleaseReason: "idle"}},
			})
			runtime.now += time.Second
			runtime.fireTimers()
			runtime.checkLastCall(t, "POST", "/rentals/release", `{"hosts":["vm-1"]}`)
			if fleet.IsGone("vm-1") {
				t.Error("vm-1 counts as gone before the release is answered")
			}
			runtime.answers[len(runtime.answers)-1](test.answer, test.err)
			reply := fleet.HandleStatus(&ShardStatus{Node: "node-0", Token: 1, Seq: 2})
			if gone, reported := fleet.IsGone("vm-1"), len(reply.Released) == 1; gone != test.gone || reported != test.gone {
				t.Errorf("vm-1 gone: %v, reported to its owner: %v, want %v for both", gone, reported, test.gone)
			}
		})
	}
}
