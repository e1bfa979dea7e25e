package taskstate

import "testing"

// TestGangPhase: each phase, and which of two conditions decides when both hold.
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
				t.Errorf("%+v is %v, want %v", test.gang, got, test.want)
			}
		})
	}
}

// TestEnumerationNames: every value has a name of its own for the logs.
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
		t.Errorf("%d names: %v", len(names), names)
	}
}
