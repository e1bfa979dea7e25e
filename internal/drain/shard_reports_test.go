package drain

import "testing"

// TestOlderShardReportsAreDropped guards against a report that is delayed on the network and
// arrives after a newer one: it describes a state that has passed.
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
		t.Error("an owner without a drain report counts as one that has reported")
	}
	if reports.accept(1, 9, 9, newest) || reports.accept(-1, 9, 9, newest) {
		t.Error("a report of a shard that does not exist is accepted")
	}
}

// TestTasksRunAgainOnlyUnderALaterAttempt checks that a grant is settled only by an attempt
// later than the granted one, even if an owner reports the granted attempt as running again.
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
		t.Error("the report of the granted attempt itself settles the grant")
	}
	report(2, 4)
	if !coordinator.disturbances.isSettled(granted) {
		t.Error("the report of a later attempt that runs does not settle the grant")
	}
}

// TestUntouchedTaskSettlesOnlyACancelledDrain guards against removing a grant too early: as
// long as the drain is active, the owner may halt the task at any time after its report.
func TestUntouchedTaskSettlesOnlyACancelledDrain(t *testing.T) {
	ref := TaskRef{Job: "wk-1", Attempt: 3}
	for phase, want := range map[Phase]bool{PhaseRunning: false, PhasePaused: false, PhaseCancelled: true} {
		coordinator := newTestCoordinator(&fakeRuntime{}, openJobCluster{}, 100)
		coordinator.reports.accept(0, 9, 1, &ShardReport{Granted: []GrantedTask{{TaskRef: ref, IsUntouched: true}}})
		conditions, isSettled := coordinator.newReconcilePass().removalConditions(
			&Drain{ID: "d", Head: Head{Phase: phase}}, &StoredGrant{Grant: Grant{"vm-1", []TaskRef{ref}}})
		if isSettled != want {
			t.Errorf("phase %s: settled %v, want %v", phase, isSettled, want)
		}
		if want && (len(conditions) != 1 || conditions[0].Key != "lease/block/0" || conditions[0].Revision != 9) {
			t.Errorf("phase %s: conditions %+v, want the reporting owner's lease under token 9", phase, conditions)
		}
	}
}
