package taskstate

import "testing"

// TestGangPhase checks each phase, and which of two conditions has precedence when both apply.
func TestGangPhase(t *testing.T) {
	for _, test := range []struct {
		gang Gang
		want GangPhase
	}{
		{Gang{}, GangIdle},
		{Gang{Attempt: 1}, GangAssembling},
		{Gang{Attempt: 1, StartInDoubtSince: 1}, GangStartInDoubt},
		{Gang{Attempt: 1, Started: true}, GangRunning},
		{Gang{Attempt: 1, Started: true, AttemptOver: true}, GangEnded},
		{Gang{Attempt: 1, StartInDoubtSince: 1, AttemptOver: true}, GangEnded},
		{Gang{Attempt: 1, AttemptOver: true, Done: true}, GangDone},
		{Gang{Done: true}, GangDone},
	} {
		t.Run(test.want.String(), func(t *testing.T) {
			if got := test.gang.Phase(); got != test.want {
				t.Errorf("phase of %+v is %v, want %v", test.gang, got, test.want)
			}
		})
	}
}

// TestEnumerationNames checks that the names of the enumeration values in logs are distinct.
func TestEnumerationNames(t *testing.T) {
	names := map[string]bool{}
	for state := StateWaiting; state <= StateReturned; state++ {
		names[state.String()] = true
	}
	for loss := LossBeforeWaiting; loss <= LossExited; loss++ {
		names[loss.String()] = true
	}
	for _, unknown := range []string{State(99).String(), Loss(99).String(), GangPhase(99).String()} {
		names[unknown] = true
	}
	if len(names) != 5+3+3 {
		t.Errorf("%d distinct names, want %d: %v", len(names), 5+3+3, names)
	}
}
