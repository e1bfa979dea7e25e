package drain

import (
	"math"
	"strings"
	"testing"
)

// TestRecordsFitTheirBounds: pages and grants stay below what is reckoned for them.
func TestRecordsFitTheirBounds(t *testing.T) {
	machine, err := encode(Machine{ID: strings.Repeat("m", 40), State: MachineReplacing, RentalAttempts: 3, Replacement: strings.Repeat("r", 40), ClosedAtMS: math.MaxInt64 / 1000})
	if err != nil || len(machine) > maxMachineBytes {
		t.Errorf("%d bytes: %s", len(machine), machine)
	}
	task, err := encode(TaskRef{Job: "wk-" + strings.Repeat("9", 18), Index: 99999, Attempt: 99999999, Gang: 99999})
	if err != nil || len(task) > maxTaskRefBytes {
		t.Errorf("%d bytes: %s", len(task), task)
	}
}
