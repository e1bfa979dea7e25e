package fleet

import (
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// TestMachineIsGoneWhenItsReleaseIsConfirmed: a release that the cloud refuses, or does not
// answer, proves nothing. The machine and the tasks on it count as gone when it has answered
// that they are, and the owner is told then.
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
				t.Error("gone before there is an answer")
			}
			runtime.answers[len(runtime.answers)-1](test.answer, test.err)
			reply := fleet.HandleStatus(&ShardStatus{Node: "node-0", Token: 1, Seq: 2})
			if gone, told := fleet.IsGone("vm-1"), len(reply.Released) == 1; gone != test.gone || told != test.gone {
				t.Errorf("gone %v, its owner is told so: %v", gone, told)
			}
		})
	}
}
