package jobs

import (
	"strings"
	"testing"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/wiretest"
)

// fullSubmission is a job as users send it, with every field set.
const fullSubmission = `{"id":"wk-000412","lane":"batch","crew":"red","shape":"gang","urgency":"urgent","pieces":7,"cpus":1.5,` +
	`"cards":2,"memoryGb":3.5,"kit":"image-1","pullGb":4.5,"builds":["g8","g16"],"yard":"yard-b","samePlace":true,"spread":true,` +
	`"loaners":true,"expectS":60.5,"snapshotS":30.5,"flushS":2.5,"dueS":600.5}`

// TestWireSubmission: every field of a submission is read, and stored under the same name.
func TestWireSubmission(t *testing.T) {
	wiretest.CheckRoundTrip(t, fullSubmission, &Spec{})
	parsed, err := Parse([]byte(fullSubmission))
	if err != nil {
		t.Fatal(err)
	}
	wiretest.CheckEncoding(t, parsed, fullSubmission)
}

// TestWireSubmissionNulls: what may be null is left out of what is stored.
func TestWireSubmissionNulls(t *testing.T) {
	parsed, err := Parse([]byte(`{"id":"wk-1","lane":"l","crew":"c","shape":"array","urgency":"low","pieces":1,"cpus":1,"cards":0,` +
		`"memoryGb":1,"kit":"k","pullGb":0,"builds":null,"yard":null,"samePlace":false,"spread":false,"loaners":false,"expectS":1,` +
		`"snapshotS":0,"flushS":0,"dueS":null}`))
	if err != nil {
		t.Fatal(err)
	}
	wiretest.CheckEncoding(t, parsed, `{"id":"wk-1","lane":"l","crew":"c","shape":"array","urgency":"low","pieces":1,"cpus":1,"cards":0,`+
		`"memoryGb":1,"kit":"k","pullGb":0,"expectS":1}`)
}

// TestWireMissingFields: a submission without one of the fields that it must have is
// refused by the field's name on the wire.
func TestWireMissingFields(t *testing.T) {
	for _, name := range []string{
		"id", "lane", "crew", "shape", "urgency", "pieces", "cpus", "cards", "memoryGb", "kit", "pullGb",
		"samePlace", "spread", "loaners", "expectS", "snapshotS", "flushS",
	} {
		without := strings.Replace(fullSubmission, `"`+name+`":`, `"novel":`, 1)
		if _, err := Parse([]byte(without)); err == nil || err.Error() != `field "`+name+`": missing` {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, name := range []string{"builds", "yard", "dueS"} {
		if _, err := Parse([]byte(strings.Replace(fullSubmission, `"`+name+`":`, `"novel":`, 1))); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestWireWords: the values of the fields that hold words.
func TestWireWords(t *testing.T) {
	for _, shape := range []string{"array", "daemon", "gang", "flock"} {
		spec, err := Parse([]byte(strings.Replace(fullSubmission, `"gang"`, `"`+shape+`"`, 1)))
		if (err == nil) != (shape != "flock") {
			t.Errorf("shape %s: %v", shape, err)
		}
		if err == nil && (spec.IsService() != (shape == "daemon") || spec.IsGang() != (shape == "gang")) {
			t.Errorf("shape %s is taken for another", shape)
		}
	}
	before := Priority(-1)
	for _, urgency := range []string{"low", "standard", "urgent", "critical"} {
		spec, err := Parse([]byte(strings.Replace(fullSubmission, `"urgent"`, `"`+urgency+`"`, 1)))
		if err != nil || spec.Priority() <= before {
			t.Fatalf("urgency %s: %v", urgency, err)
		}
		before = spec.Priority()
	}
	if _, err := Parse([]byte(strings.Replace(fullSubmission, `"urgent"`, `"novel"`, 1))); err == nil {
		t.Error("an unknown urgency is taken")
	}
}

// TestWireMachineType: every field of a machine type, as the cloud tells it.
func TestWireMachineType(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"label":"g8","cpus":8,"cards":2,"memoryGb":32,"cacheGb":100,"pullGbPerS":0.5,"price":1.25,"spotPrice":0.4,`+
		`"startupS":45,"yards":["yard-a","yard-b"]}`, &MachineType{})
}

// TestWireNonObject: users are told by this text, to the letter, that a submission is not
// an object. The type that it names had this name in the first versions; it is a constant
// now, so that renaming the type can't change what users get.
func TestWireNonObject(t *testing.T) {
	for body, want := range map[string]string{
		`[]`:                   `field "": want jobs.wire, not array`,
		`"wk-1"`:               `field "": want jobs.wire, not string`,
		`7`:                    `field "": want jobs.wire, not number`,
		`true`:                 `field "": want jobs.wire, not bool`,
		`null`:                 `field "id": missing`,
		``:                     `not a JSON object: unexpected end of JSON input`,
		`{"pieces":"many"`:     `not a JSON object: unexpected end of JSON input`,
		`{"pieces":"many"}`:    `field "pieces": want int, not string`,
		`{"cpus":[]}`:          `field "cpus": want float64, not array`,
		`{"spread":1}`:         `field "spread": want bool, not number`,
		`{"builds":"g8"}`:      `field "builds": want []string, not string`,
		`{"builds":["g8",{}]}`: `field "builds": want string, not object`,
	} {
		if _, err := Parse([]byte(body)); err == nil || err.Error() != want {
			t.Errorf("%s: %v, not %s", body, err, want)
		}
	}
}

// TestWireRefusedValues: the texts by which users are told what is wrong with a field.
func TestWireRefusedValues(t *testing.T) {
	long := strings.Repeat("x", 201)
	for _, test := range []struct{ old, new, want string }{
		{`"wk-000412"`, `"wk-x"`, `field "id": not of the form wk-000412`},
		{`"urgent"`, `"novel"`, `field "urgency": unknown value "novel"`},
		{`"gang"`, `"flock"`, `field "shape": unknown value "flock"`},
		{`"batch"`, `""`, `field "lane": empty or too long`},
		{`"red"`, `"` + long + `"`, `field "crew": empty or too long`},
		{`"image-1"`, `""`, `field "kit": empty or too long`},
		{`"pieces":7`, `"pieces":0`, `field "pieces": outside 1 to 100000`},
		{`"pieces":7`, `"pieces":100001`, `field "pieces": outside 1 to 100000`},
		{`"cpus":1.5`, `"cpus":-1`, `field "cpus": negative or too large`},
		{`"cards":2`, `"cards":-1`, `field "cards": negative or too large`},
		{`"memoryGb":3.5`, `"memoryGb":2e12`, `field "memoryGb": negative or too large`},
		{`"pullGb":4.5`, `"pullGb":-1`, `field "pullGb": negative or too large`},
		{`"expectS":60.5`, `"expectS":-1`, `field "expectS": negative or too large`},
		{`"snapshotS":30.5`, `"snapshotS":-1`, `field "snapshotS": negative or too large`},
		{`"flushS":2.5`, `"flushS":-1`, `field "flushS": negative or too large`},
		{`"dueS":600.5`, `"dueS":-1`, `field "dueS": negative`},
		{`"builds":["g8","g16"]`, `"builds":[]`, `field "builds": empty`},
		{`"yard":"yard-b"`, `"yard":""`, `field "yard": empty`},
	} {
		if _, err := Parse([]byte(strings.Replace(fullSubmission, test.old, test.new, 1))); err == nil || err.Error() != test.want {
			t.Errorf("%s: %v, not %s", test.new, err, test.want)
		}
	}
}

// TestWireInfeasible: the texts by which users are told that a job can never run.
func TestWireInfeasible(t *testing.T) {
	types := []MachineType{{Name: "g8", CPUs: 8, GPUs: 2, MemoryGB: 32, Zones: []string{"yard-b"}}}
	teams := []settings.Team{{Name: "red", CPUsMax: 10.5, GPUsMax: 14}}
	for _, test := range []struct{ old, new, want string }{
		{`"crew":"red"`, `"crew":"blue"`, `unknown team "blue"`},
		{`"builds":["g8","g16"]`, `"builds":["g16"]`, `a task fits no allowed machine type`},
		{`"yard-b"`, `"yard-a"`, `a task fits no allowed machine type`},
		{`"memoryGb":3.5`, `"memoryGb":32.5`, `a task fits no allowed machine type`},
		{`"pieces":7`, `"pieces":8`, `needs more than the team's limit`},
		{`"cpus":1.5`, `"cpus":1.6`, `needs more than the team's limit`},
		{`"gang"`, `"gang"`, ``},
		{`"shape":"gang","urgency":"urgent","pieces":7`, `"shape":"array","urgency":"urgent","pieces":100`, ``},
		{`"shape":"gang","urgency":"urgent","pieces":7`, `"shape":"daemon","urgency":"urgent","pieces":8`, `needs more than the team's limit`},
	} {
		spec, err := Parse([]byte(strings.Replace(fullSubmission, test.old, test.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		if err := Feasible(spec, types, teams); err != nil {
			got = err.Error()
		}
		if got != test.want {
			t.Errorf("%s: %q, not %q", test.new, got, test.want)
		}
	}
}
