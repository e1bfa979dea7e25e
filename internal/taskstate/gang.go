package taskstate

import (
	"strconv"
	"time"

	"lemonmoor/internal/tuning"
)

// Gang is what a shard's owner knows of the present attempt of a job whose tasks run at the
// same time or not at all. The tasks of an attempt share its number, by which their workers
// let them find each other.
//
// An attempt goes through the phases of GangPhase:
//
//	idle -> assembling            the first task is placed (Task.PlaceOn)
//	assembling -> assembling      a task is lost before it waited for the others: replaced
//	assembling -> start in doubt  a task vanishes (TaskGone): the gang may have started
//	start in doubt -> assembling  a later heartbeat shows a task waiting (ReportedWaiting)
//	assembling -> running         a heartbeat shows a task running (ReportedRunning)
//	any of these -> ended         a task is lost for good, the gang is stopped (EndAttempt)
//	any of these -> idle          the last task is proven gone from its worker (TaskGone)
//	any -> done                   a task is known to be done
type Gang struct {
	// Attempt is the attempt's number; 0 means that no task of the gang can be on a worker.
	Attempt uint64
	// Started is set once all tasks have run, as a heartbeat has shown.
	Started bool
	// AttemptOver is set when the attempt comes to nothing, at AttemptOverSince: nothing of
	// it is launched any more, and the next attempt waits until each of its tasks is proven
	// gone.
	AttemptOver      bool
	AttemptOverSince time.Duration
	// Checkpointing is set when the attempt is over because the gang was told to save its
	// progress.
	Checkpointing bool
	// StartInDoubtSince is when a task vanished without it being known whether the gang had
	// started by then, 0 if none did. Only a heartbeat received later that shows a task
	// waiting proves that the gang had not started.
	StartInDoubtSince time.Duration
	// Done is set once a task is known to be done, since then all are.
	Done bool
	// IncompleteAttempts counts the attempts in a row that never ran.
	IncompleteAttempts int
	// UncachedPlacements counts the attempt's placements on workers without the image.
	UncachedPlacements int
	// EnqueuedAt is when the gang began to wait for workers.
	EnqueuedAt time.Duration
}

// GangPhase is the phase of a gang's present attempt.
type GangPhase int

const (
	// GangIdle is the phase before an attempt: no task can be on a worker.
	GangIdle GangPhase = iota
	// GangAssembling is the phase in which tasks are placed and launched, and wait on their
	// workers for the others.
	GangAssembling
	// GangStartInDoubt is the phase in which a task is gone and nobody knows whether the
	// gang had started: nothing is placed or launched.
	GangStartInDoubt
	// GangRunning is the phase after the start: no task can be replaced.
	GangRunning
	// GangEnded is the phase in which the tasks of an attempt that is over are still to be
	// proven gone.
	GangEnded
	// GangDone is the final phase.
	GangDone
)

// String returns the phase's name for logs and tests.
func (p GangPhase) String() string {
	switch p {
	case GangIdle:
		return "idle"
	case GangAssembling:
		return "assembling"
	case GangStartInDoubt:
		return "start in doubt"
	case GangRunning:
		return "running"
	case GangEnded:
		return "ended"
	case GangDone:
		return "done"
	}
	return "phase " + strconv.Itoa(int(p))
}

// Phase returns the phase of the gang's present attempt.
func (g *Gang) Phase() GangPhase {
	switch {
	case g.Done:
		return GangDone
	case g.AttemptOver:
		return GangEnded
	case g.StartInDoubtSince > 0:
		return GangStartInDoubt
	case g.Started:
		return GangRunning
	case g.Attempt > 0:
		return GangAssembling
	}
	return GangIdle
}

// endAttempt makes the attempt come to nothing, if it has not yet.
func (g *Gang) endAttempt(now time.Duration) {
	if !g.AttemptOver {
		g.AttemptOver, g.AttemptOverSince = true, now
	}
}

// nextAttempt makes the gang idle after an attempt whose tasks are all gone, and returns how
// long to pause before the next one: longer the more attempts in a row never ran.
func (g *Gang) nextAttempt(now time.Duration) (pause time.Duration) {
	incomplete := 0
	if !g.Started {
		pause = min(tuning.MinGangPause<<min(g.IncompleteAttempts, maxGangPauseDoublings), tuning.MaxGangPause)
		incomplete = g.IncompleteAttempts + 1
	}
	*g = Gang{IncompleteAttempts: incomplete, Done: g.Done, EnqueuedAt: now}
	return pause
}

// maxGangPauseDoublings bounds the shift in nextAttempt; tuning.MaxGangPause is reached
// earlier.
const maxGangPauseDoublings = 10

// Loss is how a task of a gang came off its worker.
type Loss int

const (
	// LossBeforeWaiting means that the task has never waited for the others, so that the
	// gang cannot have started.
	LossBeforeWaiting Loss = iota
	// LossVanished means that the task is gone, whatever it did before.
	LossVanished
	// LossExited means that the task has exited, as the others will.
	LossExited
)

// String returns the loss's name for logs and tests.
func (l Loss) String() string {
	switch l {
	case LossBeforeWaiting:
		return "before waiting"
	case LossVanished:
		return "vanished"
	case LossExited:
		return "exited"
	}
	return "loss " + strconv.Itoa(int(l))
}

// EndAttempt ends the gang's present attempt.
func (j *Job) EndAttempt(now time.Duration) { j.Gang.endAttempt(now) }

// TaskGone takes note that a gang's task is proven gone from its worker.
func (j *Job) TaskGone(task *Task, loss Loss, now time.Duration) {
	gang := j.Gang
	if !j.hasTaskPlaced() {
		started := gang.Started
		pause := gang.nextAttempt(now)
		if !started {
			j.NotBefore = max(j.NotBefore, now+pause)
		}
		return
	}
	switch {
	case gang.AttemptOver:
	case gang.Started || loss == LossExited || !task.Replaceable():
		gang.endAttempt(now)
	case loss == LossVanished && gang.StartInDoubtSince == 0:
		gang.StartInDoubtSince = now
	}
}

// hasTaskPlaced reports whether a task of the job is placed now.
func (j *Job) hasTaskPlaced() bool {
	for _, task := range j.Tasks {
		if task.State == StatePlaced {
			return true
		}
	}
	return false
}

// ReportedRunning takes note that a task of the gang runs: then all of them have been there.
func (j *Job) ReportedRunning(now time.Duration) {
	j.Gang.Started = true
	if j.Gang.StartInDoubtSince > 0 {
		j.Gang.endAttempt(now)
	}
}

// ReportedWaiting takes note that a task of the gang waits for the others, as a heartbeat
// received now says. If that is later than the loss that is in doubt, the lost task was
// lost before the start.
func (j *Job) ReportedWaiting(now time.Duration) {
	gang := j.Gang
	if gang.StartInDoubtSince == 0 || gang.StartInDoubtSince >= now || gang.AttemptOver {
		return
	}
	gang.StartInDoubtSince = 0
	for _, task := range j.Tasks {
		if task.State == StateWaiting && !task.Replaceable() {
			gang.endAttempt(now)
		}
	}
}

// MustHaltAttempt reports whether the tasks of an attempt that is over have to be halted
// now. Before the start that is at once; afterwards the tasks notice a lost peer by
// themselves within peerTimeout, and if they were told to save their progress they get the
// time for that.
func (j *Job) MustHaltAttempt(now, peerTimeout time.Duration) bool {
	gang := j.Gang
	wait := peerTimeout + tuning.GangLossNoticeMargin
	switch {
	case !gang.AttemptOver || gang.Attempt == 0:
		return false
	case gang.Checkpointing:
		wait += time.Duration(j.Spec.CheckpointSeconds * float64(time.Second))
	case !gang.Started:
		wait = 0
	}
	return now-gang.AttemptOverSince >= wait
}

// RecoverGang works out the gang's state from the records under a new token. now is the time
// from which heartbeats count.
func (j *Job) RecoverGang(now time.Duration) {
	gang := j.Gang
	*gang = Gang{EnqueuedAt: now, Done: j.PartDoneElsewhere}
	for _, task := range j.Tasks {
		gang.Done = gang.Done || task.State == StateDone
		if task.State == StatePlaced {
			gang.Attempt = max(gang.Attempt, task.WireAttempt())
		}
	}
	if gang.Attempt == 0 {
		return
	}
	for _, task := range j.Tasks {
		switch {
		case task.State == StatePlaced:
			gang.recoverPlaced(task, now)
		case task.State == StateWaiting && task.WireAttempt() == gang.Attempt:
			gang.endAttempt(now) // lost, and it is not known from which workers
		case task.State == StateWaiting:
			gang.StartInDoubtSince = now // not all of the placements were committed
		}
	}
	if gang.Started && gang.StartInDoubtSince > 0 {
		gang.endAttempt(now)
	}
}

// recoverPlaced takes in a task that the records show placed.
func (g *Gang) recoverPlaced(task *Task, now time.Duration) {
	g.Started = g.Started || task.Observed.HasRun
	task.Tried.Workers = []string{task.WorkerID}
	task.Tried.Incomplete = task.Attempt%tuning.GangAttemptStride > 0
	if task.WireAttempt() != g.Attempt {
		g.endAttempt(now) // placed by the first version, which took gangs for arrays
	}
}
