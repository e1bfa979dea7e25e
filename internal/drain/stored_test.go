package drain

import (
	"math"
	"strings"
	"testing"
)

// TestRecordsFitTheirBounds checks that the largest entries of pages and grants do not exceed
// maxMachineBytes and maxTaskRefBytes. Larger ones could exceed the size of a stored value.
func TestRecordsFitTheirBounds(t *testing.T) {
	machine, err := encode(Machine{ID: strings.Repeat("m", 40), State: MachineReplacing, RentalAttempts: 3, Replacement: strings.Repeat("r", 40), ClosedAtMS: math.MaxInt64 / 1000})
	if err != nil || len(machine) > maxMachineBytes {
		t.Errorf("machine entry of %d bytes, error %v, want at most %d: %s", len(machine), err, maxMachineBytes, machine)
	}
	task, err := encode(TaskRef{Job: "wk-" + strings.Repeat("9", 18), Index: 99999, Attempt: 99999999, Gang: 99999})
	if err != nil || len(task) > maxTaskRefBytes {
		t.Errorf("task reference of %d bytes, error %v, want at most %d: %s", len(task), err, maxTaskRefBytes, task)
	}
}
