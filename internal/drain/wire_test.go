package drain

import (
	"testing"

	"lemonmoor/internal/wiretest"
)

// TestWireKeys pins the keys under which drains are stored and the path of requests.
func TestWireKeys(t *testing.T) {
	for got, want := range map[string]string{
		KeyPrefix:           "drain/",
		HeadKey("d-1"):      "drain/d-1/head",
		PageKey("d-1", 12):  "drain/d-1/page/12",
		GrantKey("d-1", 34): "drain/d-1/grant/34",
		RequestPath:         "/operator/drain",
	} {
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	for _, stored := range []string{"drain/d-1/head", "drain/d-1/page/12", "drain/d-1/grant/34"} {
		if _, err := parseKey(stored); err != nil {
			t.Error(err)
		}
	}
}

// TestWireRecords pins the stored form of a drain's records.
func TestWireRecords(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"phase":"cancelled","created":1700000000001,"digest":"0a1b","replace":true,"machines":5,"pages":2,"released":3,`+
		`"ended":1700000000002}`, &Head{})
	wiretest.CheckEncoding(t, Head{}, `{"phase":"","created":0,"digest":"","machines":0,"pages":0}`)
	wiretest.CheckRoundTrip(t, `{"m":[{"i":"vm-000001","s":"closed","n":2,"r":"vm-000009","t":1700000000003},{"i":"vm-000002"}]}`, &Page{})
	wiretest.CheckRoundTrip(t, `{"m":"vm-000001","t":[{"j":"wk-1","i":3,"a":4},{"j":"wk-2","a":5,"g":6}]}`, &Grant{})
	wiretest.CheckEncoding(t, Page{}, `{"m":null}`)
	wiretest.CheckEncoding(t, Grant{}, `{"m":"","t":null}`)
}

// TestWireWords pins the values of phases, states, verbs, kinds and statuses.
func TestWireWords(t *testing.T) {
	wiretest.CheckEncoding(t, []Phase{PhaseRunning, PhasePaused, PhaseCancelled, PhaseDone}, `["running","paused","cancelled","done"]`)
	wiretest.CheckEncoding(t, []MachineState{MachineWaiting, MachineReplacing, MachineClosed, MachineReleased}, `["","replacing","closed","released"]`)
	wiretest.CheckEncoding(t, []Verb{VerbPlan, VerbStart, VerbStatus, VerbPause, VerbResume, VerbCancel},
		`["plan","start","status","pause","resume","cancel"]`)
	wiretest.CheckEncoding(t, []MachineKind{AnyKind, SpotKind, OrdinaryKind}, `["","spot","ordinary"]`)
	wiretest.CheckEncoding(t, []ResponseStatus{StatusOK, StatusRefused, StatusUnavailable}, `["ok","refused","unavailable"]`)
}

// TestWireShardReport pins the encoded report of a shard's owner to the leader.
func TestWireShardReport(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"machines":[{"id":"vm-1","tasks":[{"job":"wk-1","index":2,"attempt":3,"runsMs":4}]}],`+
		`"granted":[{"j":"wk-1","i":5,"a":6,"g":7,"runs":true,"void":true}],`+
		`"teams":{"red":{"running":{"tasks":8,"cpus":9.5},"disturbed":{"tasks":10,"cpus":11.5}}},"down":{"wk-2":12},"partial":true}`, &ShardReport{})
	wiretest.CheckEncoding(t, ShardReport{}, `{}`)
	wiretest.CheckEncoding(t, ClosedMachine{}, `{"id":""}`)
	wiretest.CheckEncoding(t, PlacedTask{}, `{"job":"","attempt":0}`)
	wiretest.CheckEncoding(t, GrantedTask{}, `{"j":"","a":0}`)
}

// TestWireRequest pins the encoded request of an operator.
func TestWireRequest(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"verb":"start","id":"d-1","selection":{"machines":["vm-1"],"zones":["yard-a"],"types":["g8"],"kind":"spot",`+
		`"prefixes":["10.0.0.0/8"]},"replace":true,"forwarded":true}`, &Request{})
	wiretest.CheckEncoding(t, Request{}, `{"verb":"","selection":{}}`)
}

// TestWireResponse pins the encoded answer to an operator.
func TestWireResponse(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"status":"unavailable","node":"n0","field":"id","reason":"why","retryMs":1500,`+
		`"drains":[{"id":"d-1","phase":"running","replace":true,"machines":1,"states":{"closed":2},"disturbed":3,"waits":["w"]}],`+
		`"teams":{"red":{"running":{"tasks":1,"cpus":2.5},"chosen":{"tasks":3,"cpus":4.5},"unchosen":{"tasks":5,"cpus":6.5},"budget":"tasks 8"}},`+
		`"plan":{"machines":1,"teams":{"red":{"tasks":2,"cpus":3.5,"rounds":4,"budget":"cpus 9"}},"jobs":5}}`, &Response{})
	wiretest.CheckEncoding(t, Response{}, `{"status":"","node":""}`)
	wiretest.CheckEncoding(t, View{}, `{"id":"","phase":"","replace":false,"machines":0,"states":null,"disturbed":0}`)
}

// TestWireDigest pins the digest of a request. It is stored in a drain's head and compared
// with that of a request repeated to a later version, so it must not change. It is the first
// half of the SHA-256 of {"Selection":{"machines":["vm-1","vm-2"],"zones":["yard-a"],
// "types":["g8"],"kind":"spot","prefixes":["10.0.0.0/8"]},"Replace":true}, without spaces.
func TestWireDigest(t *testing.T) {
	request := &Request{Verb: VerbStart, ID: "d-1", Replace: true, Selection: Selection{
		Machines: []string{"vm-2", "vm-1"},
		Zones:    []string{"yard-a"}, Types: []string{"g8"}, Kind: SpotKind, Prefixes: []string{"10.0.0.0/8"},
	}}
	if got := request.Digest(); got != "6d1777ec38c522073beebbd5d3f4298e" {
		t.Errorf("digest of the request: %s, want 6d1777ec38c522073beebbd5d3f4298e", got)
	}
	if got := (&Request{}).Digest(); got != "5a56e004cba19c3c3db41ce32987073c" {
		t.Errorf("digest of the empty request: %s, want 5a56e004cba19c3c3db41ce32987073c", got)
	}
}

// TestWireReplacementName pins the name of the rental request for a replacement. A later
// leader, perhaps of another version, must request the same name to get the same machine.
func TestWireReplacementName(t *testing.T) {
	d := &Drain{ID: "d-1", Head: Head{CreatedAtMS: 1700000000001}}
	if got := rentalName(d, &Machine{ID: "vm-000001", RentalAttempts: 2}); got != "drain-d-1-1700000000001-vm-000001-2" {
		t.Errorf("rentalName() = %q, want %q", got, "drain-d-1-1700000000001-vm-000001-2")
	}
}
