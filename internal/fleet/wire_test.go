package fleet

import (
	"testing"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/wiretest"
)

// TestWireStatus checks the JSON of a shard owner's status message and of the leader's reply.
func TestWireStatus(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"node":"node-1","block":2,"token":3,"seq":4,"full":true,"lit":["yard-a"],"hosts":[{"id":"vm-1","addr":"10.0.0.1:7",`+
		`"build":"g8","zone":"yard-a","spot":true,"up":true,"open":true,"idleMs":5,"busy":true,"back":"old",`+
		`"heldFor":"wk-2","heldMin":2,"reservedCpus":1.5,"reservedCards":1,"reservedMemoryGb":6}],`+
		`"backoffs":[{"job":"wk-1","host":"vm-1","forMs":10000,"fails":true}]}`, &ShardStatus{})
	wiretest.CheckEncoding(t, ShardStatus{}, `{"node":"","block":0,"token":0,"seq":0,"hosts":null}`)
	wiretest.CheckEncoding(t, MachineStatus{}, `{"id":"","addr":"","build":"","zone":"","spot":false,"up":false,"open":false}`)
	wiretest.CheckEncoding(t, JobBackoff{}, `{"job":""}`)
	wiretest.CheckRoundTrip(t, `{"full":true,"drain":["vm-1"],"machines":[{"id":"vm-2","addr":"10.0.0.2:7"}],"returned":["vm-3"],`+
		`"recall":[{"job":"wk-1","number":4}]}`, &StatusReply{})
	wiretest.CheckEncoding(t, StatusReply{}, `{}`)
}

// newCloudFleet returns a fleet whose calls to the cloud are answered by the test.
func newCloudFleet() (*manualRuntime, *Fleet) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 100
	return runtime, newFleet(runtime, fixedLeases{}, config)
}

// TestWireMachineTypes checks the request for the machine types and the parsing of its answer.
func TestWireMachineTypes(t *testing.T) {
	runtime, fleet := newCloudFleet()
	fleet.Start()
	runtime.checkLastCall(t, "GET", "/machine_types", "")
	const one = `{"label":"g8","cpus":8,"cards":2,"memoryGb":32,"cacheGb":100,"pullGbPerS":0.5,"price":1.25,"spotPrice":0.4,` +
		`"startupS":45,"yards":["yard-a"]}`
	runtime.answerLastCall(200, `{"builds":[`+one+`]}`)
	wiretest.CheckEncoding(t, fleet.MachineTypes(), "["+one+"]")
}

// TestWireMachineList checks the requests for the pages of the machine list and the parsing of
// their answers.
func TestWireMachineList(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"hosts":[{"id":"vm-1","addr":"10.0.0.1:7","build":"g8","yard":"yard-a","loaners":true,"phase":"booting","ageS":2.5}],`+
		`"hasNext":true}`, &machineListPage{})
	runtime, fleet := newCloudFleet()
	fleet.readList()
	runtime.checkLastCall(t, "GET", "/rentals?limit=500", "")
	runtime.answerLastCall(200, `{"hosts":[{"id":"vm-1","addr":"10.0.0.1:7","build":"g8","yard":"yard-a","loaners":true,"phase":"booting","ageS":2.5}],"hasNext":true}`)
	runtime.checkLastCall(t, "GET", "/rentals?limit=500&since=vm-1", "")
	runtime.answerLastCall(200, `{"hosts":[{"id":"vm-2","addr":"10.0.0.2:7","build":"g16","yard":"yard-b","loaners":false,"phase":"running","ageS":60},`+
		`{"id":"vm-3","addr":"","build":"g8","yard":"yard-a","loaners":false,"phase":"failed","ageS":90}],"hasNext":false}`)
	if len(runtime.calls) != 2 {
		t.Errorf("%d pages requested, want 2", len(runtime.calls))
	}
	one, _ := fleet.Machine("vm-1")
	two, _ := fleet.Machine("vm-2")
	if one.Addr != "10.0.0.1:7" || one.MachineType != "g8" || one.Zone != "yard-a" || !one.Spot || two.Spot || two.MachineType != "g16" {
		t.Errorf("vm-1 is %+v, want spot g8 in yard-a at 10.0.0.1:7; vm-2 is %+v, want ordinary g16", one, two)
	}
	if !fleet.machines.byID["vm-1"].listing.booting || fleet.machines.byID["vm-2"].listing.booting || !fleet.machines.byID["vm-3"].listing.failed || fleet.machines.byID["vm-1"].rentedAt != runtime.now-2500*time.Millisecond {
		t.Errorf("vm-1 booting: %v, vm-2 booting: %v, vm-3 failed: %v, want true, false, true; vm-1 rented at %v, want %v",
			fleet.machines.byID["vm-1"].listing.booting, fleet.machines.byID["vm-2"].listing.booting,
			fleet.machines.byID["vm-3"].listing.failed, fleet.machines.byID["vm-1"].rentedAt, runtime.now-2500*time.Millisecond)
	}
}

// TestWireRental checks the requests that rent and release machines, and the parsing of their
// answers.
func TestWireRental(t *testing.T) {
	runtime, fleet := newCloudFleet()
	kind := MachineKind{MachineType: "g8", Zone: "yard-a", Spot: true}
	fleet.RentNamed("r-7-1", kind)
	runtime.checkLastCall(t, "POST", "/rentals", `{"hire":"r-7-1","build":"g8","yard":"yard-a","loaners":true,"number":1}`)
	runtime.answerLastCall(503, `{"error":"no capacity"}`)
	if fleet.rentals.pausedUntil[kind] <= runtime.now {
		t.Errorf("rentals of %+v not paused after the answer \"no capacity\"", kind)
	}
	clear(fleet.rentals.pausedUntil)
	fleet.RentNamed("r-7-2", kind)
	runtime.answerLastCall(200, `{"hosts":["vm-8"]}`)
	if id, known := fleet.RentNamed("r-7-2", kind); id != "vm-8" || !known {
		t.Errorf("machine of rental r-7-2: %q, known: %v; want vm-8, true", id, known)
	}
	fleet.machines.byID["vm-8"].release.requested = true
	fleet.releaseMachines()
	runtime.checkLastCall(t, "POST", "/rentals/release", `{"hosts":["vm-8"]}`)
	runtime.answerLastCall(200, `{}`)
	if !fleet.IsGone("vm-8") {
		t.Error("vm-8 is not gone after its release was confirmed")
	}
}
