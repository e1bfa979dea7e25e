package controller

import (
	"encoding/json"
	"regexp"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/wiretest"
)

// TestWireStatusMessage: an owner's status message is the shard's status with the drains'
// report beside its fields, not below them.
func TestWireStatusMessage(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"node":"node-1","block":2,"token":3,"seq":4,"full":true,"lit":["yard-a"],"hosts":[{"id":"vm-1","addr":"10.0.0.1:7",`+
		`"build":"g8","zone":"yard-a","spot":true,"up":true,"open":true,"idleMs":5,"busy":true,"back":"old"}],"drains":{"machines":[{"id":"vm-1",`+
		`"tasks":[{"job":"wk-1","index":2,"attempt":3,"runsMs":4}]}],"granted":[{"j":"wk-1","i":5,"a":6,"g":7,"runs":true,"void":true}],`+
		`"teams":{"red":{"running":{"tasks":8,"cpus":9.5},"disturbed":{"tasks":10,"cpus":11.5}}},"down":{"wk-2":12},"partial":true}}`, &statusMessage{})
}

// TestWireLayout: the number of shards as it is stored.
func TestWireLayout(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"blocks":3}`, &layout{})
	if layoutKey != "layout" {
		t.Error(layoutKey)
	}
}

// askPeer is what a controller answers to a message of another one.
func askPeer(t *testing.T, controller *simController, path, body string) (answer string, taken bool) {
	t.Helper()
	answers := 0
	controller.node.HandlePeer(path, []byte(body), func(b []byte, ok bool) {
		answers++
		answer, taken = string(b), ok
	})
	if answers != 1 {
		t.Fatalf("%d answers to %s", answers, path)
	}
	return answer, taken
}

// TestWirePeers: what controllers answer each other, by paths and bytes.
func TestWirePeers(t *testing.T) {
	sim := newSimulation(61)
	if answer, taken := askPeer(t, sim.controllers[0], "/heard", "{}"); !taken || answer != "9223372036854" {
		t.Errorf("nothing heard ever: %s", answer)
	}
	if answer, taken := askPeer(t, sim.controllers[0], "/state", "{}"); !taken || answer != "false" {
		t.Errorf("a state service that has not answered yet: %s", answer)
	}
	sim.run(15 * time.Second)
	leader, owner := sim.leader(), sim.ownerOfShard0()
	if leader == nil || owner == nil {
		t.Fatal("no leader or owner")
	}
	if answer, taken := askPeer(t, leader, "/state", "{}"); !taken || answer != "true" {
		t.Errorf("a state service that answers: %s", answer)
	}
	if answer, taken := askPeer(t, leader, "/digest", `{"node":"novel","block":0,"token":1,"seq":1,"hosts":[]}`); !taken || answer != "{}" {
		t.Errorf("a status message of a node that does not own the shard: %s", answer)
	}
	const report = `{"host":"vm-000000","addr":"w:1","build":"b","yard":"a","loaners":false,"shift":1,"tick":1,"baton":0,"pieces":[]}`
	token, _ := json.Marshal(owner.node.shardOwners[0].token)
	if answer, taken := askPeer(t, owner, "/beat", report); !taken || answer != `{"baton":`+string(token)+`,"orders":[]}` {
		t.Errorf("a heartbeat passed on: %s, %v", answer, taken)
	}
	if answer, taken := askPeer(t, leader, "/operator/drain", `{"verb":"status","selection":{}}`); !taken ||
		answer != `{"status":"refused","node":"`+leader.name+`","field":"drains","reason":"not turned on in the operators' settings of this node"}` {
		t.Errorf("an operator's request: %s", answer)
	}
	for _, controller := range sim.controllers {
		if answer, taken := askPeer(t, controller, "/operator/drain", "[]"); taken || answer != "" {
			t.Errorf("a malformed request: %s", answer)
		}
		if answer, taken := askPeer(t, controller, "/status", "{}"); taken || answer != "" {
			t.Errorf("an unknown path: %s", answer)
		}
		if controller != leader {
			if _, taken := askPeer(t, controller, "/digest", `{"node":"node-0","block":0,"token":1,"seq":1,"hosts":[]}`); taken {
				t.Errorf("%s does not lead and takes a status message", controller.name)
			}
		}
	}
}

// TestWirePaths: what workers, users and health checks are answered, by paths and bytes.
func TestWirePaths(t *testing.T) {
	sim := newSimulation(62)
	ask := func(controller *simController, method, path, body string) (int, string) {
		status, answer := 0, ""
		controller.node.Handle(&http1.Request{Method: method, Path: path, Body: []byte(body)}, func(s int, b []byte, _ int) { status, answer = s, string(b) })
		return status, answer
	}
	expect := func(controller *simController, method, path, body string, wantStatus int, want string) {
		t.Helper()
		if status, answer := ask(controller, method, path, body); status != wantStatus || answer != want {
			t.Errorf("%s %s: %d %s, not %d %s", method, path, status, answer, wantStatus, want)
		}
	}
	expect(sim.controllers[0], "GET", "/up", "", 503, `{"error":"not ready"}`)
	sim.run(15 * time.Second)
	owner := sim.ownerOfShard0()
	if owner == nil {
		t.Fatal("no owner")
	}
	const report = `{"host":"vm-000000","addr":"w:1","build":"b","yard":"a","loaners":false,"shift":1,"tick":1,"baton":0,"pieces":[]}`
	token, _ := json.Marshal(owner.node.shardOwners[0].token)
	for _, controller := range sim.controllers {
		expect(controller, "GET", "/up", "", 200, `{}`)
		expect(controller, "POST", "/up", "", 405, `{"error":"method not allowed"}`)
		expect(controller, "GET", "/agent/beat", "", 405, `{"error":"method not allowed"}`)
		expect(controller, "POST", "/agent/beat", "{}", 400, `{"error":"report: \"host\" or \"shift\" missing"}`)
		expect(controller, "GET", "/novel", "", 404, `{"error":"no such path"}`)
		expect(controller, "GET", "/work", "", 405, `{"error":"method not allowed"}`)
		if controller == owner {
			expect(controller, "POST", "/agent/beat", report, 200, `{"baton":`+string(token)+`,"orders":[]}`)
		} else {
			expect(controller, "POST", "/agent/beat", report, 421, `{"upstream":"`+owner.name+`"}`)
		}
	}
	for path, lane := range map[string]eventloop.Lane{"/work": eventloop.UserLane, "/work/wk-1/cancel": eventloop.UserLane, "/agent/beat": eventloop.HeartbeatLane, "/up": eventloop.HeartbeatLane} {
		if got := RequestLane(&http1.Request{Path: path}); got != lane {
			t.Errorf("%s is in lane %d, not %d", path, got, lane)
		}
	}
}

// rentalName is the form of the names of rentals: a leader's token and a number, or of a
// replacement the drain, its creation, the machine and the try.
var rentalName = regexp.MustCompile(`^(r-[1-9][0-9]*-[1-9][0-9]*|drain-all-[1-9][0-9]{12}-vm-[0-9]{6}-[0-9])$`)

// TestWireKeysOfADay: a day's work leaves no key of another form than these.
func TestWireKeysOfADay(t *testing.T) {
	sim := newSimulation(63)
	sim.withDrains(nil, 2, 1)
	sim.restart()
	prefixes := map[string]bool{
		"lease/lead": false, "lease/node/node-": false, "lease/block/": false, "job/wk-": false, "work/0/wk-": false,
		"work/0/log/": false, "drain/all/head": false, "drain/all/page/0": false, "drain/all/grant/": false, "layout": false,
	}
	for i := range 3 {
		job := newGang(i, 2, 1)
		job.gang, job.runTime = i > 0, 100*time.Second
		sim.after(time.Duration(2+i)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	for elapsed := time.Duration(1); elapsed <= 120; elapsed++ {
		sim.run(elapsed * time.Second)
		for key := range sim.state.keys {
			known := false
			for prefix := range prefixes {
				if strings.HasPrefix(key, prefix) {
					prefixes[prefix], known = true, true
				}
			}
			if !known {
				t.Fatalf("a key of another form: %s", key)
			}
		}
		if elapsed == 20 {
			sim.startDrainOf(t, "all", func(*simWorker) bool { return true })
		}
	}
	for prefix, met := range prefixes {
		if !met {
			t.Errorf("no key %s has been written", prefix)
		}
	}
	for name := range sim.cloud.rentals {
		if !rentalName.MatchString(name) {
			t.Errorf("a rental of the name %q", name)
		}
	}
	if len(sim.cloud.rentals) == 0 {
		t.Error("nothing has been rented")
	}
	if string(sim.state.keys["layout"].value) != `{"blocks":1}` {
		t.Errorf("layout %s", sim.state.keys["layout"].value)
	}
}
