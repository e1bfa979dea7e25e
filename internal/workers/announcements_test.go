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

// TestNewTokenIsAnnouncedToLiveWorkersFirst checks that workers with a recent heartbeat are
// told of a new token before silent ones. Each announcement to a silent worker occupies a slot
// until it times out, so hundreds of them would delay a takeover.
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
			t.Fatalf("after %d announcements: %d in flight, want 1 to %d", announced, len(fixture.calls), tuning.MaxConcurrentAnnouncements)
		}
		announced += len(fixture.calls)
		for i, worker := range fixture.registry.announceQueue {
			if worker.Zone == "b" && announced >= all*2/3 {
				t.Fatalf("after %d announcements: %s, which reported recently, is still at position %d of the queue", announced, worker.ID, i)
			}
		}
		calls := fixture.calls
		fixture.calls = nil
		for _, direct := range calls {
			direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
		}
	}
}

// TestAnnouncementAnswerMustBeTheWorkersOwnAndCurrent checks that the answer to an
// announcement counts as a heartbeat only if it comes from the same worker, from its newest
// session and under the announced token.
func TestAnnouncementAnswerMustBeTheWorkersOwnAndCurrent(t *testing.T) {
	for name, change := range map[string]func(*Heartbeat){
		"own and current":    func(*Heartbeat) {},
		"of another machine": func(heartbeat *Heartbeat) { heartbeat.WorkerID = "vm-2" },
		"of another token":   func(heartbeat *Heartbeat) { heartbeat.Token-- },
		"of an old session":  func(heartbeat *Heartbeat) { heartbeat.Session-- },
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
				t.Errorf("answer %s: counts as a heartbeat: %v, want %v", name, counts, !counts)
			}
		})
	}
}
