package taskstate

import (
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// maxWaitBesideRoom is the longest time for which the users let a job wait beside a machine with
// room (rule of the hunt's days).
const maxWaitBesideRoom = 90 * time.Second

// fail records that a task placed at a time has failed on a worker.
func (f *Failures) fail(workerID string, placedAt, now time.Duration) {
	f.Record(&Task{WorkerID: workerID, PlacedAt: placedAt}, now)
}

// TestFailuresEndWithinTheUsersLimit checks that a job returns to the only machine, however often it
// has failed there, before the users' limit for waiting beside room.
func TestFailuresEndWithinTheUsersLimit(t *testing.T) {
	for _, sound := range []bool{true, false} {
		failures := Failures{Completed: sound}
		now := time.Hour
		for round := range 40 {
			placedAt := now
			now += time.Second
			failures.fail("vm-1", placedAt, now)
			wait := max(failures.PausedUntil, failures.AvoidsUntil("vm-1")) - now
			if wait <= 0 || wait >= maxWaitBesideRoom-15*time.Second {
				t.Fatalf("after failure %d the job stays off the only machine for %v, want less than %v", round+1, wait, maxWaitBesideRoom-15*time.Second)
			}
			now += wait
			if failures.Avoids("vm-1", now) || failures.IsPaused(now) {
				t.Fatalf("the job stays off the machine when its wait is over")
			}
		}
	}
}

// TestFailuresAtTheSameTimeCountOnce checks that the tasks that a machine fails at the same time
// count as one failure, and one that was placed after it as the next.
func TestFailuresAtTheSameTimeCountOnce(t *testing.T) {
	var failures Failures
	for i := range 8 {
		failures.fail("vm-1", time.Hour, time.Hour+time.Duration(i)*time.Second)
	}
	if failures.Rounds != 1 || failures.AvoidsUntil("vm-1") != time.Hour+tuning.FirstAvoidance || failures.PausedUntil > time.Hour+7*time.Second {
		t.Errorf("8 tasks that failed together: %+v, want one round, avoided for %v from the first, no pause", failures, tuning.FirstAvoidance)
	}
	failures.fail("vm-1", time.Hour+20*time.Second, time.Hour+21*time.Second)
	if failures.Rounds != 2 || failures.AvoidsUntil("vm-1") != time.Hour+21*time.Second+tuning.RepeatedAvoidance {
		t.Errorf("after a later failure: %+v, want two rounds and %v", failures, tuning.RepeatedAvoidance)
	}
}

// TestJobThatMayFailEverywhereAvoidsNoMachine checks when a job is taken for one that was submitted
// with a mistake: it then avoids no machine, since others would not help it, but pauses.
func TestJobThatMayFailEverywhereAvoidsNoMachine(t *testing.T) {
	const now = time.Hour
	var failures Failures
	failures.fail("vm-1", now-2, now-1)
	if failures.MayFailEverywhere() || !failures.Avoids("vm-1", now) {
		t.Errorf("after a failure on one machine: %+v, want it avoided", failures)
	}
	failures.fail("vm-2", now-1, now)
	if !failures.MayFailEverywhere() || failures.Avoids("vm-1", now) || failures.Avoids("vm-2", now) {
		t.Errorf("after failures on two machines: %+v, want none avoided", failures)
	}
	failures.RunsElsewhere = true
	if failures.MayFailEverywhere() || !failures.Avoids("vm-1", now) || !failures.Avoids("vm-2", now) {
		t.Errorf("while a task runs elsewhere: %+v, want both avoided", failures)
	}
	if failures.TaskCompleted(); failures.Avoids("vm-1", now) || failures.Rounds != 0 || !failures.IsSound() {
		t.Errorf("after a completion: %+v, want no failures of a sound job", failures)
	}
	for i := range 3 * tuning.MaxFailedWorkers {
		failures.fail(string(rune('a'+i)), now, now)
	}
	if recorded := len(failures.Workers()); recorded != tuning.MaxFailedWorkers {
		t.Errorf("%d machines recorded, want %d", recorded, tuning.MaxFailedWorkers)
	}
}
