package taskstate

import (
	"maps"
	"slices"
	"time"

	"lemonmoor/internal/tuning"
)

// Failures describes how the tasks of a job have failed in a shard since one of them last
// completed. Tasks that fail at the same time, as those that run on a machine that becomes faulty,
// count once: only the failure of a task that was placed after the last failure is a further one.
// Times are those of the event loop's clock.
type Failures struct {
	// Rounds is the number of failures, those at the same time counted once.
	Rounds int
	// Completed is set once a task of the job is known to have completed, so that its tasks do not
	// fail everywhere.
	Completed bool
	// RunsElsewhere is set if, at the last failure, another task of the job had been running on
	// another worker for longer than any of those that have failed.
	RunsElsewhere bool
	// LongestRun is the longest time for which one of the tasks was seen running before it failed.
	LongestRun time.Duration
	// PausedUntil is the end of the pause after repeated failures: no task of the job is placed
	// before.
	PausedUntil time.Duration
	lastAt      time.Duration // when a task last failed
	// workers are the workers on which tasks have failed, by ID, up to tuning.MaxFailedWorkers.
	workers map[string]workerFailures
}

// workerFailures describes the failures of a job on one worker.
type workerFailures struct {
	rounds     int
	lastAt     time.Duration
	avoidUntil time.Duration
}

// Record records that a placed task has failed on its worker. It reports whether the failure is a
// further one of the job, there or on any worker.
func (f *Failures) Record(task *Task, now time.Duration) (further bool) {
	workerID, placedAt := task.WorkerID, task.PlacedAt
	if f.Rounds == 0 || placedAt > f.lastAt {
		f.Rounds++
		further = true
	}
	f.lastAt, f.PausedUntil = now, now+pauseLength(f.Rounds)
	if task.Observed.Running {
		f.LongestRun = max(f.LongestRun, now-task.Observed.RunningSince)
	}
	if f.workers == nil {
		f.workers = map[string]workerFailures{}
	}
	failures, known := f.workers[workerID]
	if !known && len(f.workers) >= tuning.MaxFailedWorkers {
		return further // the job fails everywhere
	}
	if failures.rounds == 0 || placedAt > failures.lastAt {
		further = true
		failures.rounds++
		failures.avoidUntil = now + avoidance(failures.rounds)
	}
	failures.lastAt = now
	f.workers[workerID] = failures
	return further
}

// avoidance returns for how long a job avoids a worker on which it has failed a number of times.
func avoidance(rounds int) time.Duration {
	if rounds <= 1 {
		return tuning.FirstAvoidance
	}
	return tuning.RepeatedAvoidance
}

// AvoidsUntil returns until when no task of the job is placed on a worker because some have failed
// there; a time that has passed if it does not avoid the worker. A job that may fail everywhere
// avoids none, since another worker would not help.
func (f *Failures) AvoidsUntil(workerID string) time.Duration {
	if len(f.workers) == 0 || f.MayFailEverywhere() {
		return 0
	}
	return f.workers[workerID].avoidUntil
}

// Avoids reports whether the job avoids a worker at a time.
func (f *Failures) Avoids(workerID string, now time.Duration) bool {
	return now < f.AvoidsUntil(workerID)
}

// IsSound reports whether the job does not seem to fail everywhere.
func (f *Failures) IsSound() bool { return f.Completed || f.RunsElsewhere }

// MayFailEverywhere reports whether the job may have been submitted with a mistake: its tasks have
// failed on more than one worker, and nothing shows that they do not fail on others.
func (f *Failures) MayFailEverywhere() bool { return len(f.workers) > 1 && !f.IsSound() }

// Workers returns the IDs of the workers on which tasks have failed, in order.
func (f *Failures) Workers() []string { return slices.Sorted(maps.Keys(f.workers)) }

// pauseLength returns for how long a job is paused after a number of failures in a row: not at all
// at first, then for longer with each further one.
func pauseLength(rounds int) time.Duration {
	if rounds < tuning.SlowdownFailures {
		return 0
	}
	doublings := min(rounds-tuning.SlowdownFailures, tuning.MaxFailurePauseDoublings)
	return min(tuning.MinFailurePause<<doublings, tuning.MaxFailurePause)
}

// IsPaused reports whether the job is paused at a time.
func (f *Failures) IsPaused(now time.Duration) bool { return now < f.PausedUntil }

// TaskCompleted clears the failures, and the pause after them, when a task of the job has completed.
func (f *Failures) TaskCompleted() { *f = Failures{Completed: true} }

// HasDoneTask reports whether a task of the job is known to be done, which proves that its tasks do
// not fail everywhere.
func (j *Job) HasDoneTask() bool {
	for _, group := range j.Groups {
		for _, task := range group.Tasks {
			if task.State == StateDone {
				return true
			}
		}
	}
	return false
}
