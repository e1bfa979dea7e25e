package drain

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// TestTraceTellsStepsWaitsAndBudgets: steps, waits and budgets can be read from the spans;
// without a tracer nothing happens.
func TestTraceTellsStepsWaitsAndBudgets(t *testing.T) {
	var out bytes.Buffer
	tracer, err := NewTracer(&out)
	if err != nil {
		t.Fatal(err)
	}
	usage := &budgetUsage{teams: map[string]*TeamUsage{"red": {Chosen: Amount{2, 3}, Unchosen: Amount{1, 1}}}}
	for _, tracer := range []*Tracer{tracer, nil} {
		tracer.RecordStep(drainStep{drainID: "d", machineID: "vm-1", name: stepGranted, grant: &Grant{}}, usage)
		tracer.RecordWaitReasons("d", []string{"no room"})
		tracer.RecordStep(drainStep{drainID: "d", name: stepDone}, usage)
		tracer.End()
	}
	for _, want := range []string{`"granted"`, "vm-1", "team.red.chosen", "team.red.unchosen", "no room", `"done"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is not in the trace: %s", want, out.String())
		}
	}
	if spans := strings.Count(out.String(), `"TraceID"`); spans == 0 || !json.Valid(out.Bytes()) {
		t.Errorf("%d spans in %s", spans, out.String())
	}
}
