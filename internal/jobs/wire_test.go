package jobs

import (
	"strings"
	"testing"

	"lemonmoor/internal/wiretest"
)

// submission is a job as users send it, with every field set.
const submission = `{"id":"wk-000412","lane":"batch","crew":"red","shape":"gang","urgency":"urgent","pieces":7,"cpus":1.5,` +
	`"cards":2,"memoryGb":3.5,"kit":"image-1","pullGb":4.5,"builds":["g8","g16"],"yard":"yard-b","samePlace":true,"spread":true,` +
	`"loaners":true,"expectS":60.5,"snapshotS":30.5,"flushS":2.5,"dueS":600.5}`

// TestWireSubmission: every field of a submission is read, and stored under the same name.
func TestWireSubmission(t *testing.T) {
	wiretest.Same(t, submission, &Spec{})
	parsed, err := Parse([]byte(submission))
	if err != nil {
		t.Fatal(err)
	}
	wiretest.Written(t, parsed, submission)
}

// TestWireSubmissionNulls: what may be null is left out of what is stored.
func TestWireSubmissionNulls(t *testing.T) {
	parsed, err := Parse([]byte(`{"id":"wk-1","lane":"l","crew":"c","shape":"array","urgency":"low","pieces":1,"cpus":1,"cards":0,` +
		`"memoryGb":1,"kit":"k","pullGb":0,"builds":null,"yard":null,"samePlace":false,"spread":false,"loaners":false,"expectS":1,` +
		`"snapshotS":0,"flushS":0,"dueS":null}`))
	if err != nil {
		t.Fatal(err)
	}
	wiretest.Written(t, parsed, `{"id":"wk-1","lane":"l","crew":"c","shape":"array","urgency":"low","pieces":1,"cpus":1,"cards":0,`+
		`"memoryGb":1,"kit":"k","pullGb":0,"expectS":1}`)
}

// TestWireMissingFields: a submission without one of the fields that it must have is
// refused by the field's name on the wire.
func TestWireMissingFields(t *testing.T) {
	for _, name := range []string{
		"id", "lane", "crew", "shape", "urgency", "pieces", "cpus", "cards", "memoryGb", "kit", "pullGb",
		"samePlace", "spread", "loaners", "expectS", "snapshotS", "flushS",
	} {
		without := strings.Replace(submission, `"`+name+`":`, `"novel":`, 1)
		if _, err := Parse([]byte(without)); err == nil || err.Error() != `field "`+name+`": missing` {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, name := range []string{"builds", "yard", "dueS"} {
		if _, err := Parse([]byte(strings.Replace(submission, `"`+name+`":`, `"novel":`, 1))); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestWireWords: the values of the fields that hold words.
func TestWireWords(t *testing.T) {
	for _, shape := range []string{"array", "daemon", "gang", "flock"} {
		d, err := Parse([]byte(strings.Replace(submission, `"gang"`, `"`+shape+`"`, 1)))
		if (err == nil) != (shape != "flock") {
			t.Errorf("shape %s: %v", shape, err)
		}
		if err == nil && (d.IsService() != (shape == "daemon") || d.IsGang() != (shape == "gang")) {
			t.Errorf("shape %s is taken for another", shape)
		}
	}
	before := Priority(-1)
	for _, urgency := range []string{"low", "standard", "urgent", "critical"} {
		d, err := Parse([]byte(strings.Replace(submission, `"urgent"`, `"`+urgency+`"`, 1)))
		if err != nil || d.Priority() <= before {
			t.Fatalf("urgency %s: %v", urgency, err)
		}
		before = d.Priority()
	}
	if _, err := Parse([]byte(strings.Replace(submission, `"urgent"`, `"novel"`, 1))); err == nil {
		t.Error("an unknown urgency is taken")
	}
}

// TestWireMachineType: every field of a machine type, as the cloud tells it.
func TestWireMachineType(t *testing.T) {
	wiretest.Same(t, `{"label":"g8","cpus":8,"cards":2,"memoryGb":32,"cacheGb":100,"pullGbPerS":0.5,"price":1.25,"spotPrice":0.4,`+
		`"startupS":45,"yards":["yard-a","yard-b"]}`, &MachineType{})
}
