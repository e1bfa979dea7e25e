package taskstate

import (
	"strconv"
	"time"

	"lemonmoor/internal/tuning"
)

// Gang is the state of the current attempt of a job whose tasks run at the same time or not
// at all, as known to the shard's owner. The tasks of an attempt share its number, which
// their workers use to let the tasks find each other.
//
// An attempt goes through the phases of GangPhase:
//
//	idle -> assembling            the first task is placed (Task.PlaceOn)
//	assembling -> assembling      a task is lost before it waited for the others, and replaced
//	assembling -> start in doubt  a task vanishes (TaskGone): the gang may have started
//	start in doubt -> assembling  a later heartbeat shows a task waiting (ReportedWaiting)
//	assembling -> running         a heartbeat shows a task running (ReportedRunning)
//	any of these -> ended         a task is lost that cannot be replaced, or EndAttempt is called
//	any of these -> idle          the last task is proven gone from its worker (TaskGone)
//	any -> done                   a task is known to be done
type Gang struct {
	// Attempt is the attempt's number; 0 means that no task of the gang can be on a worker.
	Attempt uint64
	// Started is set once a heartbeat has shown that all tasks have run.
	Started bool
	// AttemptOver is set when the attempt has ended, at AttemptOverSince: no task of it is
	// launched any more, and the next attempt begins only after each of its tasks is proven
	// gone.
	AttemptOver      bool
	AttemptOverSince time.Duration
	// Checkpointing is set when the attempt has ended because the gang was ordered to save
	// its progress.
	Checkpointing bool
	// StartInDoubtSince is when a task vanished while it was unknown whether the gang had
	// started, 0 if none did. Only a heartbeat received later that shows a task waiting
	// proves that the gang had not started.
	StartInDoubtSince time.Duration
	// Done is set once a task is known to be done, because then all tasks are.
	Done bool
	// IncompleteAttempts is the number of consecutive attempts that never ran.
	IncompleteAttempts int
	// UncachedPlacements is the number of the attempt's placements on workers without the
	// image.
	UncachedPlacements int
	// EnqueuedAt is when the gang began to wait for workers.
	EnqueuedAt time.Duration
}

// GangPhase is the phase of a gang's current attempt.
type GangPhase int

const (
	// GangIdle is the phase before an attempt: no task can be on a worker.
	GangIdle GangPhase = iota
	// GangAssembling is the phase in which tasks are placed and launched, and wait on their
	// workers for the others.
	GangAssembling
	// GangStartInDoubt is the phase in which a task is gone and it is unknown whether the
	// gang had started: nothing is placed or launched.
	GangStartInDoubt
	// GangRunning is the phase after the start: no task can be replaced.
	GangRunning
	// GangEnded is the phase in which the attempt has ended but not all of its tasks are
	// proven gone from their workers.
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

// Phase returns the phase of the gang's current attempt.
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

// endAttempt marks the attempt as over, unless it is already.
func (g *Gang) endAttempt(now time.Duration) {
	if !g.AttemptOver {
		g.AttemptOver, g.AttemptOverSince = true, now
	}
}

// nextAttempt resets the gang to idle after an attempt whose tasks are all gone. It returns
// how long to pause before the next attempt: 0 if the gang had started, otherwise a pause
// that doubles with each consecutive attempt that never ran, up to tuning.MaxGangPause.
func (g *Gang) nextAttempt(now time.Duration) (pause time.Duration) {
	incomplete := 0
	if !g.Started {
		pause = min(tuning.MinGangPause<<min(g.IncompleteAttempts, maxGangPauseDoublings), tuning.MaxGangPause)
		incomplete = g.IncompleteAttempts + 1
	}
	*g = Gang{IncompleteAttempts: incomplete, Done: g.Done, EnqueuedAt: now}
	return pause
}

// maxGangPauseDoublings bounds the shift in nextAttempt. The pause reaches
// tuning.MaxGangPause with fewer doublings.
const maxGangPauseDoublings = 10

// Loss is the way in which a task of a gang was lost from its worker.
type Loss int

const (
	// LossBeforeWaiting means that the task never waited for the others, so that the gang
	// cannot have started.
	LossBeforeWaiting Loss = iota
	// LossVanished means that the task is gone. It may have waited for the others or run.
	LossVanished
	// LossExited means that the task has exited, and that the others will too.
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

// EndAttempt ends the gang's current attempt.
func (j *Job) EndAttempt(now time.Duration) { j.Gang.endAttempt(now) }

// TaskGone updates the gang after one of its tasks is proven gone from its worker.
func (j *Job) TaskGone(task *Task, loss Loss, now time.Duration) {
	gang := j.Gang
	if !j.anyTaskPlaced() {
		started := gang.Started
		pause := gang.nextAttempt(now)
		for _, member := range j.Tasks {
			member.Tried = TriedWorkers{} // the next attempt may use the same workers
		}
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

// anyTaskPlaced reports whether a task of the job is placed now.
func (j *Job) anyTaskPlaced() bool {
	for _, task := range j.Tasks {
		if task.State == StatePlaced {
			return true
		}
	}
	return false
}

// ReportedRunning updates the gang after a heartbeat shows one of its tasks running, which
// proves that all of its tasks were on their workers.
func (j *Job) ReportedRunning(now time.Duration) {
	j.Gang.Started = true
	if j.Gang.StartInDoubtSince > 0 {
		j.Gang.endAttempt(now)
	}
}

// ReportedWaiting updates the gang after a heartbeat received now shows one of its tasks
// waiting for the others. If the heartbeat is later than the loss that left the start in
// doubt, the task was lost before the start.
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

// MustHaltAttempt reports whether the tasks of an attempt that has ended have to be halted
// now. Before the start they are halted immediately. After the start the tasks notice a lost
// peer themselves within peerTimeout, and tuning.GangLossNoticeMargin later they are halted. If
// they were ordered to save their progress, they have the job's checkpoint time in addition.
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

// RecoverGang derives the gang's state from the records under a new token. Only heartbeats
// received after now count.
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
			gang.endAttempt(now) // lost, and the workers that had it are unknown
		case task.State == StateWaiting:
			gang.StartInDoubtSince = now // not all of the placements were committed
		}
	}
	if gang.Started && gang.StartInDoubtSince > 0 {
		gang.endAttempt(now)
	}
}

// recoverPlaced updates the gang for a task that is placed according to the records.
func (g *Gang) recoverPlaced(task *Task, now time.Duration) {
	g.Started = g.Started || task.Observed.HasRun
	task.Tried.Workers = []string{task.WorkerID}
	task.Tried.Incomplete = task.Attempt%tuning.GangAttemptStride > 0
	if task.WireAttempt() != g.Attempt {
		g.endAttempt(now) // placed by the first version, which treated gangs as arrays
	}
}
