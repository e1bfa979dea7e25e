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

// TestWireStatusMessage checks the encoding of an owner's status message: the fields of the
// shard's status are at the top level, and the drains' report is a field beside them.
func TestWireStatusMessage(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"node":"node-1","block":2,"token":3,"seq":4,"full":true,"lit":["yard-a"],"hosts":[{"id":"vm-1","addr":"10.0.0.1:7",`+
		`"build":"g8","zone":"yard-a","spot":true,"up":true,"open":true,"idleMs":5,"busy":true,"back":"old",`+
		`"heldFor":"wk-2","heldMin":2,"reservedCpus":1.5,"reservedCards":1,"reservedMemoryGb":6}],`+
		`"backoffs":[{"job":"wk-1","host":"vm-1","forMs":10000,"fails":true}],"drains":{"machines":[{"id":"vm-1",`+
		`"tasks":[{"job":"wk-1","index":2,"attempt":3,"runsMs":4}]}],"granted":[{"j":"wk-1","i":5,"a":6,"g":7,"runs":true,"void":true}],`+
		`"teams":{"red":{"running":{"tasks":8,"cpus":9.5},"disturbed":{"tasks":10,"cpus":11.5}}},"down":{"wk-2":12},"partial":true}}`, &statusMessage{})
}

// TestWireLayout checks the stored encoding of the number of shards, and its key.
func TestWireLayout(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"blocks":3}`, &layout{})
	if layoutKey != "layout" {
		t.Errorf("layoutKey is %q, want \"layout\"", layoutKey)
	}
}

// askPeer sends a controller a peer message and returns its answer, and whether it accepted the
// message.
func askPeer(t *testing.T, controller *simController, path, body string) (answer string, accepted bool) {
	t.Helper()
	answers := 0
	controller.node.HandlePeer(path, []byte(body), func(b []byte, ok bool) {
		answers++
		answer, accepted = string(b), ok
	})
	if answers != 1 {
		t.Fatalf("got %d answers to %s, want 1", answers, path)
	}
	return answer, accepted
}

// TestWirePeers checks the exact answers of controllers to each other's messages, for each path.
func TestWirePeers(t *testing.T) {
	sim := newSimulation(61)
	if answer, accepted := askPeer(t, sim.controllers[0], "/heard", "{}"); !accepted || answer != "9223372036854" {
		t.Errorf("/heard before any heartbeat: got %s, accepted %v; want 9223372036854", answer, accepted)
	}
	if answer, accepted := askPeer(t, sim.controllers[0], "/state", "{}"); !accepted || answer != "false" {
		t.Errorf("/state before the first answer of the state service: got %s, accepted %v; want false", answer, accepted)
	}
	sim.runUntil(15 * time.Second)
	leader, owner := sim.leader(), sim.ownerOfShard0()
	if leader == nil || owner == nil {
		t.Fatalf("after 15 s: found a leader %v, an owner of shard 0 %v; want both", leader != nil, owner != nil)
	}
	if answer, accepted := askPeer(t, leader, "/state", "{}"); !accepted || answer != "true" {
		t.Errorf("/state while the state service answers: got %s, accepted %v; want true", answer, accepted)
	}
	if answer, accepted := askPeer(t, leader, "/digest", `{"node":"novel","block":0,"token":1,"seq":1,"hosts":[]}`); !accepted || answer != "{}" {
		t.Errorf("/digest of a node that does not own the shard: got %s, accepted %v; want {}", answer, accepted)
	}
	const report = `{"host":"vm-000000","addr":"w:1","build":"b","yard":"a","loaners":false,"shift":1,"tick":1,"baton":0,"pieces":[]}`
	token, _ := json.Marshal(owner.node.shardOwners[0].token)
	if answer, accepted := askPeer(t, owner, "/beat", report); !accepted || answer != `{"baton":`+string(token)+`,"orders":[]}` {
		t.Errorf("/beat with a relayed heartbeat at the owner: got %s, accepted %v; want token %s and no commands", answer, accepted, token)
	}
	if answer, accepted := askPeer(t, leader, "/operator/drain", `{"verb":"status","selection":{}}`); !accepted ||
		answer != `{"status":"refused","node":"`+leader.name+`","field":"drains","reason":"not turned on in the operators' settings of this node"}` {
		t.Errorf("/operator/drain with drains disabled: got %s, accepted %v; want a refusal of field \"drains\"", answer, accepted)
	}
	for _, controller := range sim.controllers {
		if answer, accepted := askPeer(t, controller, "/operator/drain", "[]"); accepted || answer != "" {
			t.Errorf("/operator/drain with a malformed request at %s: got %q, accepted %v; want it rejected", controller.name, answer, accepted)
		}
		if answer, accepted := askPeer(t, controller, "/status", "{}"); accepted || answer != "" {
			t.Errorf("unknown path /status at %s: got %q, accepted %v; want it rejected", controller.name, answer, accepted)
		}
		if controller != leader {
			if _, accepted := askPeer(t, controller, "/digest", `{"node":"node-0","block":0,"token":1,"seq":1,"hosts":[]}`); accepted {
				t.Errorf("%s does not lead but accepts a status message", controller.name)
			}
		}
	}
}

// TestWirePaths checks the exact answers to workers, users and health checks, and the lane of
// each path.
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
			t.Errorf("%s %s at %s: got %d %s, want %d %s", method, path, controller.name, status, answer, wantStatus, want)
		}
	}
	expect(sim.controllers[0], "GET", "/up", "", 503, `{"error":"not ready"}`)
	sim.runUntil(15 * time.Second)
	owner := sim.ownerOfShard0()
	if owner == nil {
		t.Fatal("shard 0 has no owner after 15 s")
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
			t.Errorf("%s is in lane %d, want %d", path, got, lane)
		}
	}
}

// rentalName matches the names of rentals: the leader's token and a number, or for a replacement
// the drain, the time of its creation, the machine and the attempt.
var rentalName = regexp.MustCompile(`^(r-[1-9][0-9]*-[1-9][0-9]*|drain-all-[1-9][0-9]{12}-vm-[0-9]{6}-[0-9])$`)

// TestWireKeysOfADay checks that a simulated day writes keys with each of the listed prefixes
// and with no other one, and that rentals have names of the known forms.
func TestWireKeysOfADay(t *testing.T) {
	sim := newSimulation(63)
	sim.enableDrains(nil, 2, 1)
	sim.restart()
	prefixes := map[string]bool{
		"lease/lead": false, "lease/node/node-": false, "lease/block/": false, "job/wk-": false, "work/0/wk-": false,
		"work/0/log/": false, "drain/all/head": false, "drain/all/page/0": false, "drain/all/grant/": false, "layout": false,
	}
	for i := range 3 {
		job := newGang(i, 2, 1)
		job.gang, job.runTime = i > 0, 100*time.Second
		sim.schedule(time.Duration(2+i)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	for elapsed := time.Duration(1); elapsed <= 120; elapsed++ {
		sim.runUntil(elapsed * time.Second)
		for key := range sim.state.keys {
			known := false
			for prefix := range prefixes {
				if strings.HasPrefix(key, prefix) {
					prefixes[prefix], known = true, true
				}
			}
			if !known {
				t.Fatalf("key %s has none of the known prefixes", key)
			}
		}
		if elapsed == 20 {
			sim.startDrainOf(t, "all", func(*simWorker) bool { return true })
		}
	}
	for prefix, found := range prefixes {
		if !found {
			t.Errorf("no key with prefix %s was found", prefix)
		}
	}
	for name := range sim.cloud.rentals {
		if !rentalName.MatchString(name) {
			t.Errorf("rental name %q does not match %s", name, rentalName)
		}
	}
	if len(sim.cloud.rentals) == 0 {
		t.Error("no machine was rented")
	}
	if string(sim.state.keys["layout"].value) != `{"blocks":1}` {
		t.Errorf("the stored layout is %s, want {\"blocks\":1}", sim.state.keys["layout"].value)
	}
}
