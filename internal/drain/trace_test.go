package drain

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// TestTrace: steps, waits and budgets can be read from the spans; without a tracer
// nothing happens.
func TestTrace(t *testing.T) {
	var out bytes.Buffer
	tracer, err := NewTracer(&out)
	if err != nil {
		t.Fatal(err)
	}
	use := &usage{teams: map[string]*TeamUsage{"red": {Chosen: Amount{2, 3}, Unchosen: Amount{1, 1}}}}
	for _, tr := range []*Tracer{tracer, nil} {
		tr.Step(step{drainID: "d", machineID: "vm-1", name: stepGranted, grant: &Grant{}}, use)
		tr.Waits("d", []string{"no room"})
		tr.Step(step{drainID: "d", name: stepDone}, use)
		tr.End()
	}
	for _, want := range []string{`"granted"`, "vm-1", "team.red.chosen", "team.red.unchosen", "no room", `"done"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is not in the trace: %s", want, out.String())
		}
	}
	if n := strings.Count(out.String(), `"TraceID"`); n == 0 || !json.Valid(out.Bytes()) {
		t.Errorf("%d spans in %s", n, out.String())
	}
}
