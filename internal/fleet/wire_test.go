package fleet

import (
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/wiretest"
)

// TestWireStatus: what a block's owner tells the leader, and the answer.
func TestWireStatus(t *testing.T) {
	wiretest.Same(t, `{"node":"node-1","block":2,"token":3,"seq":4,"full":true,"lit":["yard-a"],"hosts":[{"id":"vm-1","addr":"10.0.0.1:7",`+
		`"build":"g8","zone":"yard-a","spot":true,"up":true,"open":true,"idleMs":5,"busy":true,"back":"old"}]}`, &ShardStatus{})
	wiretest.Written(t, ShardStatus{}, `{"node":"","block":0,"token":0,"seq":0,"hosts":null}`)
	wiretest.Written(t, MachineStatus{}, `{"id":"","addr":"","build":"","zone":"","spot":false,"up":false,"open":false}`)
	wiretest.Same(t, `{"full":true,"drain":["vm-1"],"machines":[{"id":"vm-2","addr":"10.0.0.2:7"}],"returned":["vm-3"],`+
		`"recall":[{"job":"wk-1","number":4}]}`, &StatusReply{})
	wiretest.Written(t, StatusReply{}, `{}`)
}

// cloudFleet is a fleet whose calls to the cloud wait for the test's answers.
func cloudFleet() (*still, *Fleet) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Cloud.RPS = 100
	return rt, newFleet(rt, leading{}, set)
}

// asked checks the last call to the cloud.
func (s *still) asked(t *testing.T, method, target, body string) {
	t.Helper()
	if len(s.calls) == 0 {
		t.Fatal("the cloud is not asked")
	}
	if c := s.calls[len(s.calls)-1]; c.Method != method || c.Target != target || string(c.Body) != body {
		t.Errorf("the cloud is asked %s %s %s, not %s %s %s", c.Method, c.Target, c.Body, method, target, body)
	}
}

// tell answers the last call to the cloud.
func (s *still) tell(status int, body string) {
	s.answers[len(s.answers)-1](http1.Response{Status: status, Body: []byte(body)}, nil)
}

// TestWireMachineTypes: how the cloud is asked for the machine types, and its answer.
func TestWireMachineTypes(t *testing.T) {
	rt, f := cloudFleet()
	f.Start()
	rt.asked(t, "GET", "/machine_types", "")
	const one = `{"label":"g8","cpus":8,"cards":2,"memoryGb":32,"cacheGb":100,"pullGbPerS":0.5,"price":1.25,"spotPrice":0.4,` +
		`"startupS":45,"yards":["yard-a"]}`
	rt.tell(200, `{"builds":[`+one+`]}`)
	wiretest.Written(t, f.MachineTypes(), "["+one+"]")
}

// TestWireMachineList: how the cloud is asked for the machines, page by page, and what is
// read of the answers.
func TestWireMachineList(t *testing.T) {
	wiretest.Same(t, `{"hosts":[{"id":"vm-1","addr":"10.0.0.1:7","build":"g8","yard":"yard-a","loaners":true,"phase":"booting","ageS":2.5}],`+
		`"hasNext":true}`, &listReply{})
	rt, f := cloudFleet()
	f.list(f.term)
	rt.asked(t, "GET", "/rentals?limit=500", "")
	rt.tell(200, `{"hosts":[{"id":"vm-1","addr":"10.0.0.1:7","build":"g8","yard":"yard-a","loaners":true,"phase":"booting","ageS":2.5}],"hasNext":true}`)
	rt.asked(t, "GET", "/rentals?limit=500&since=vm-1", "")
	rt.tell(200, `{"hosts":[{"id":"vm-2","addr":"10.0.0.2:7","build":"g16","yard":"yard-b","loaners":false,"phase":"running","ageS":60},`+
		`{"id":"vm-3","addr":"","build":"g8","yard":"yard-a","loaners":false,"phase":"failed","ageS":90}],"hasNext":false}`)
	if len(rt.calls) != 2 {
		t.Errorf("%d pages are read", len(rt.calls))
	}
	one, _ := f.Machine("vm-1")
	two, _ := f.Machine("vm-2")
	if one.Addr != "10.0.0.1:7" || one.MachineType != "g8" || one.Zone != "yard-a" || !one.Spot || two.Spot || two.MachineType != "g16" {
		t.Errorf("%+v, %+v", one, two)
	}
	if !f.machines["vm-1"].booting || f.machines["vm-2"].booting || !f.machines["vm-3"].failed || f.machines["vm-1"].rented != rt.now-2500*time.Millisecond {
		t.Error("phase or age is not read")
	}
}

// TestWireRental: how machines are rented and given back, and the cloud's answers.
func TestWireRental(t *testing.T) {
	rt, f := cloudFleet()
	kind := MachineKind{MachineType: "g8", Zone: "yard-a", Spot: true}
	f.RentNamed("r-7-1", kind)
	rt.asked(t, "POST", "/rentals", `{"hire":"r-7-1","build":"g8","yard":"yard-a","loaners":true,"number":1}`)
	rt.tell(503, `{"error":"no capacity"}`)
	if f.pauses[kind] <= rt.now {
		t.Error("a lack of capacity is not understood")
	}
	clear(f.pauses)
	f.RentNamed("r-7-2", kind)
	rt.tell(200, `{"hosts":["vm-8"]}`)
	if id, known := f.RentNamed("r-7-2", kind); id != "vm-8" || !known {
		t.Errorf("rented %q, %v", id, known)
	}
	f.machines["vm-8"].release = true
	f.release(f.term)
	rt.asked(t, "POST", "/rentals/release", `{"hosts":["vm-8"]}`)
	rt.tell(200, `{}`)
	if !f.IsGone("vm-8") {
		t.Error("a machine given back is not gone")
	}
}
