package workers

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// TestNewTokenIsAnnouncedToLiveWorkersFirst guards against a takeover that waits: of hundreds
// of workers, those heard of late are told of the new token before any that have been
// silent, each of which is waited for to no purpose.
func TestNewTokenIsAnnouncedToLiveWorkersFirst(t *testing.T) {
	fixture := newRegistryFixture(1)
	const all = 900
	for i := range all {
		if i%3 == 0 {
			fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%d", i), Addr: fmt.Sprint("w:", i), MachineType: "g8", Zone: "a", Session: 1, Sequence: 1, Token: 1})
		}
	}
	fixture.now += time.Minute
	for i := range all {
		if i%3 != 0 {
			fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%d", i), Addr: fmt.Sprint("w:", i), MachineType: "g8", Zone: "b", Session: 1, Sequence: 1, Token: 1})
		}
	}
	fixture.beginTerm()
	for announced := 0; announced < all; {
		fixture.registry.AfterBatch()
		if len(fixture.calls) == 0 || len(fixture.calls) > tuning.MaxConcurrentAnnouncements {
			t.Fatalf("%d machines are told at a time after %d", len(fixture.calls), announced)
		}
		announced += len(fixture.calls)
		for i, worker := range fixture.registry.announceQueue {
			if worker.Zone == "b" && announced >= all*2/3 {
				t.Fatalf("%s, heard of late, is number %d in line after %d", worker.ID, i, announced)
			}
		}
		calls := fixture.calls
		fixture.calls = nil
		for _, direct := range calls {
			direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
		}
	}
}

// TestAnnouncementAnswerMustBeTheWorkersOwnAndCurrent: it counts only if it is the machine's own, of its newest session
// and under the token announced.
func TestAnnouncementAnswerMustBeTheWorkersOwnAndCurrent(t *testing.T) {
	for name, change := range map[string]func(*Heartbeat){
		"own and current":    func(*Heartbeat) {},
		"of another machine": func(heartbeat *Heartbeat) { heartbeat.WorkerID = "vm-2" },
		"of another token":   func(heartbeat *Heartbeat) { heartbeat.Token-- },
		"of a session over":  func(heartbeat *Heartbeat) { heartbeat.Session-- },
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newRegistryFixture(1)
			fixture.worker.session = 2
			worker := fixture.exchangeHeartbeats(t)
			lastHeartbeatAt := worker.LastHeartbeatAt
			fixture.beginTerm()
			fixture.now += time.Second
			direct := fixture.sendDirectMessage(t)
			fixture.deliverDirect(direct)
			heartbeat := fixture.heartbeat()
			change(heartbeat)
			raw, err := json.Marshal(heartbeat)
			if err != nil {
				t.Fatal(err)
			}
			direct.fn(http1.Response{Status: 200, Body: raw}, nil)
			if counts := worker.LastHeartbeatAt > lastHeartbeatAt; counts != (name == "own and current") {
				t.Errorf("answer %s counts: %v", name, counts)
			}
		})
	}
}
