package drain

import "testing"

// TestOlderShardReportsAreDropped: a report that was held back on its way says nothing of
// what is there now.
func TestOlderShardReportsAreDropped(t *testing.T) {
	reports := &shardReports{rt: &fakeRuntime{}}
	reports.reset(1)
	newest := &ShardReport{}
	reports.accept(0, 5, 7, newest)
	for _, old := range []struct{ token, sequence uint64 }{{5, 7}, {5, 6}, {4, 9}} {
		reports.accept(0, old.token, old.sequence, &ShardReport{})
		if reports.latest[0].report != newest {
			t.Fatalf("report %d under token %d replaces report 7 under token 5", old.sequence, old.token)
		}
	}
	reports.accept(0, 6, 1, nil)
	if reports.latest[0].report != nil || reports.shardWithoutReport() != 0 {
		t.Error("an owner that knows no drains counts as one that has reported")
	}
	if reports.accept(1, 9, 9, newest) || reports.accept(-1, 9, 9, newest) {
		t.Error("a shard that does not exist has reported")
	}
}

// TestTasksRunAgainOnlyUnderALaterAttempt: whatever an owner reports, a grant is settled
// only by an attempt later than the one that it names.
func TestTasksRunAgainOnlyUnderALaterAttempt(t *testing.T) {
	coordinator := newTestCoordinator(&fakeRuntime{}, openJobCluster{}, 100)
	granted := TaskRef{Job: "wk-1", Attempt: 3}
	report := func(sequence, attempt uint64) {
		ref := granted
		ref.Attempt = attempt
		coordinator.reports.accept(0, 1, sequence, &ShardReport{Granted: []GrantedTask{{TaskRef: ref, RunsAgain: true}}})
	}
	report(1, 3)
	if coordinator.disturbances.isSettled(granted) {
		t.Error("the granted attempt itself settles the grant")
	}
	report(2, 4)
	if !coordinator.disturbances.isSettled(granted) {
		t.Error("a later attempt that runs does not settle the grant")
	}
}

// TestUntouchedTaskSettlesOnlyACancelledDrain: of a drain that goes on, the owner may halt
// the task at any time after its report.
func TestUntouchedTaskSettlesOnlyACancelledDrain(t *testing.T) {
	ref := TaskRef{Job: "wk-1", Attempt: 3}
	for phase, want := range map[Phase]bool{PhaseRunning: false, PhasePaused: false, PhaseCancelled: true} {
		coordinator := newTestCoordinator(&fakeRuntime{}, openJobCluster{}, 100)
		coordinator.reports.accept(0, 9, 1, &ShardReport{Granted: []GrantedTask{{TaskRef: ref, IsUntouched: true}}})
		conditions, isSettled := coordinator.newRound().removalConditions(
			&Drain{ID: "d", Head: Head{Phase: phase}}, &StoredGrant{Grant: Grant{"vm-1", []TaskRef{ref}}})
		if isSettled != want {
			t.Errorf("phase %s: settled %v, want %v", phase, isSettled, want)
		}
		if want && (len(conditions) != 1 || conditions[0].Key != "lease/block/0" || conditions[0].Revision != 9) {
			t.Errorf("phase %s: not conditional on the lease of the owner that has reported: %+v", phase, conditions)
		}
	}
}
