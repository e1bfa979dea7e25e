package taskstate

import (
	"time"

	"lemonmoor/internal/tuning"
)

// Gang is what an owner knows of the present attempt of a job whose tasks run at
// the same time or not at all. The tasks of an attempt share its number, by which
// they find each other.
type Gang struct {
	// Attempt is that number; 0: no task of the gang can be on a machine.
	Attempt uint64
	// Started: all its tasks have run, as a report has shown.
	Started bool
	// AttemptOver: the attempt comes to nothing; nothing of it is launched any more, and
	// the next one waits until each of its tasks is proven gone. Since: from then.
	AttemptOver      bool
	AttemptOverSince time.Duration
	// Checkpointing: it is over because it was told to save.
	Checkpointing bool
	// StartInDoubtSince is since when a task is gone without it being known whether the gang
	// had started by then, 0 if there is none. Only a later report of one that
	// waits proves that it had not.
	StartInDoubtSince time.Duration
	// Done: one task is proven done, so all are.
	Done bool
	// IncompleteAttempts counts the attempts in a row that were never complete.
	IncompleteAttempts int
	// UncachedPlacements counts the placements on machines without the image.
	UncachedPlacements int
	// EnqueuedAt is since when it has waited for machines.
	EnqueuedAt time.Duration
}

// WireAttempt is the task's attempt as its worker knows it. For a gang it is the
// gang's; the stored number also counts the replacements within it, so that it
// grows with each placement. Numbers below the step are of a version that took
// gangs for arrays.
func (t *Task) WireAttempt() uint64 {
	if t.Job.Gang == nil || t.Attempt < tuning.GangAttemptStride {
		return t.Attempt
	}
	return t.Attempt / tuning.GangAttemptStride
}

// beginAttempt gives a task that is to be placed its next attempt.
func (t *Task) beginAttempt() {
	g := t.Job.Gang
	if g == nil {
		t.Attempt++
		return
	}
	if g.Attempt == 0 {
		g.Attempt = t.Job.nextAttempt()
	}
	if first := g.Attempt * tuning.GangAttemptStride; t.Attempt < first {
		t.Attempt, t.Tried.Workers, t.Tried.Incomplete = first, nil, false
	} else {
		t.Attempt++
	}
}

// nextTry is a number that no attempt of the gang has had: the one that the
// leader has chosen for the parts of a divided gang, or the next.
func (j *Job) nextAttempt() uint64 {
	var next uint64
	for _, c := range j.Groups {
		if c.GangAttempt > 0 && c.OpenTasks > 0 {
			return c.GangAttempt
		}
	}
	for _, c := range j.Groups {
		for _, t := range c.Tasks { // those given back count too
			next = max(next, t.WireAttempt())
		}
	}
	return next + 1
}

// Replaceable tells whether a lost task may be placed once more within the
// present attempt. It may not if machines that have had it are not known: on one
// of them it would be taken for the lost one.
func (t *Task) Replaceable() bool {
	first := t.Job.Gang.Attempt * tuning.GangAttemptStride
	return t.Attempt < first || (!t.Tried.Incomplete && t.Attempt+1 < first+tuning.GangAttemptStride)
}

// IsComplete tells whether the block has all of the gang's tasks, or of the part of
// a divided gang that the leader has given to it.
func (j *Job) IsComplete() bool {
	if len(j.Tasks) == j.Spec.Tasks {
		return true
	}
	n := 0
	for _, c := range j.Groups {
		if c.OpenTasks > 0 && c.GangAttempt == 0 {
			return false
		}
		if c.OpenTasks > 0 {
			n = max(n, c.PartSize)
		}
	}
	return n > 0 && len(j.Tasks) == n
}

// ChosenAttemptOver tells whether the attempt that the leader has chosen for a part of a
// divided gang is over: the part goes back to the leader.
func (j *Job) ChosenAttemptOver() bool {
	g := j.Gang
	if g == nil || g.Attempt != 0 || g.Done || j.Cancelled {
		return false
	}
	spent := false
	for _, c := range j.Groups {
		for _, t := range c.Tasks {
			if t.State == StateWaiting && c.GangAttempt > 0 && t.Attempt >= c.GangAttempt*tuning.GangAttemptStride {
				spent = true
			}
		}
	}
	return spent
}

// TasksToPlace lists the tasks that want machines, all of them at once; none if the
// gang must not be given any now.
func (j *Job) TasksToPlace() []*Task {
	g := j.Gang
	if j.Cancelled || g.Done || g.AttemptOver || g.StartInDoubtSince > 0 || g.Started || !j.IsComplete() || j.ChosenAttemptOver() {
		return nil
	}
	var list []*Task
	for _, t := range j.Tasks {
		if t.State == StateWaiting {
			if g.Attempt > 0 && !t.Replaceable() {
				return nil
			}
			list = append(list, t)
		}
	}
	if g.Attempt == 0 && len(list) < len(j.Tasks) {
		return nil
	}
	return list
}

// Launchable tells whether a placed task may be launched: of a gang only when
// the placements of all are durable, so that none is on a machine without it
// being known where the others go.
func (t *Task) Launchable() bool {
	if !t.PlacementDurable || t.Launch.Sent || t.Job.Cancelled {
		return false
	}
	g := t.Job.Gang
	if g == nil {
		return true
	}
	if g.Done || g.AttemptOver || g.StartInDoubtSince > 0 || t.WireAttempt() != g.Attempt || !t.Job.IsComplete() {
		return false
	}
	for _, o := range t.Job.Tasks {
		if o.State != StatePlaced || !o.PlacementDurable {
			return false
		}
	}
	return true
}

// RecoverGang works out what an earlier owner, or an earlier token, has left of the
// gang. now is the time from which reports count.
func (j *Job) RecoverGang(now time.Duration) {
	g := j.Gang
	*g = Gang{EnqueuedAt: now, Done: j.PartDoneElsewhere}
	for _, t := range j.Tasks {
		g.Done = g.Done || t.State == StateDone
		if t.State == StatePlaced {
			g.Attempt = max(g.Attempt, t.WireAttempt())
		}
	}
	if g.Attempt == 0 {
		return
	}
	for _, t := range j.Tasks {
		switch {
		case t.State == StatePlaced:
			g.Started = g.Started || t.Observed.HasRun
			t.Tried.Workers = []string{t.WorkerID}
			t.Tried.Incomplete = t.Attempt%tuning.GangAttemptStride > 0
			if t.WireAttempt() != g.Attempt {
				g.endAttempt(now) // of a version that took gangs for arrays
			}
		case t.State == StateWaiting && t.WireAttempt() == g.Attempt:
			g.endAttempt(now) // lost, and it is not known from which machines
		case t.State == StateWaiting:
			g.StartInDoubtSince = now // the hand-out was not finished
		}
	}
	if g.Started && g.StartInDoubtSince > 0 {
		g.endAttempt(now)
	}
}

func (g *Gang) endAttempt(now time.Duration) {
	if !g.AttemptOver {
		g.AttemptOver, g.AttemptOverSince = true, now
	}
}

// Loss is how a task of a gang came off its machine.
type Loss int

const (
	// LossBeforeWaiting: it has never waited for the others, so they cannot have started.
	LossBeforeWaiting Loss = iota
	// LossVanished: it is gone, whatever it did before.
	LossVanished
	// LossExited: it has exited, and so will the others.
	LossExited
)

// TaskGone takes note that a task is surely off its machine.
func (j *Job) TaskGone(t *Task, how Loss, now time.Duration) {
	g := j.Gang
	placed := false
	for _, o := range j.Tasks {
		placed = placed || o.State == StatePlaced
	}
	if !placed {
		// The attempt is through: the next one may begin.
		if g.Started {
			g.IncompleteAttempts = 0
		} else {
			j.NotBefore = max(j.NotBefore, now+min(tuning.MinGangPause<<min(g.IncompleteAttempts, 10), tuning.MaxGangPause))
			g.IncompleteAttempts++
		}
		*g = Gang{IncompleteAttempts: g.IncompleteAttempts, Done: g.Done, EnqueuedAt: now}
		return
	}
	switch {
	case g.AttemptOver:
	case g.Started || how == LossExited || !t.Replaceable():
		g.endAttempt(now)
	case how == LossVanished && g.StartInDoubtSince == 0:
		g.StartInDoubtSince = now
	}
}

// ReportedRunning takes note that a task runs: all have been there.
func (j *Job) ReportedRunning(now time.Duration) {
	g := j.Gang
	g.Started = true
	if g.StartInDoubtSince > 0 {
		g.endAttempt(now)
	}
}

// ReportedWaiting takes note that a task waits, as a report says that was received
// after the loss in doubt: what is lost was lost before the start.
func (j *Job) ReportedWaiting(now time.Duration) {
	g := j.Gang
	if g.StartInDoubtSince == 0 || g.StartInDoubtSince >= now || g.AttemptOver {
		return
	}
	g.StartInDoubtSince = 0
	for _, t := range j.Tasks {
		if t.State == StateWaiting && !t.Replaceable() {
			g.endAttempt(now)
		}
	}
}

// MustHaltAttempt tells whether a task of an attempt that is over has to be halted now:
// at once if the gang has not started, else when it has not noticed by itself,
// or not saved, in the time for that.
func (j *Job) MustHaltAttempt(now, peer time.Duration) bool {
	g := j.Gang
	wait := peer + tuning.GangLossNoticeMargin
	switch {
	case !g.AttemptOver || g.Attempt == 0:
		return false
	case g.Checkpointing:
		wait += time.Duration(j.Spec.CheckpointSeconds * float64(time.Second))
	case !g.Started:
		wait = 0
	}
	return now-g.AttemptOverSince >= wait
}

// EndAttempt winds the present attempt up.
func (j *Job) EndAttempt(now time.Duration) { j.Gang.endAttempt(now) }
