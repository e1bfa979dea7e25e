package taskstate

import "lemonmoor/internal/tuning"

// WireAttempt returns the task's attempt as its worker knows it. For a gang that is the
// attempt of the gang; the stored number also counts the replacements of the task within
// it, so that it grows with each placement. Numbers below the stride are of the first
// version, which took gangs for arrays.
func (t *Task) WireAttempt() uint64 {
	if t.Job.Gang == nil || t.Attempt < tuning.GangAttemptStride {
		return t.Attempt
	}
	return t.Attempt / tuning.GangAttemptStride
}

// beginAttempt gives a task that is being placed its next attempt.
func (t *Task) beginAttempt() {
	gang := t.Job.Gang
	if gang == nil {
		t.Attempt++
		return
	}
	if gang.Attempt == 0 {
		gang.Attempt = t.Job.nextGangAttempt()
	}
	if first := gang.Attempt * tuning.GangAttemptStride; t.Attempt < first {
		t.Attempt, t.Tried = first, TriedWorkers{}
	} else {
		t.Attempt++
	}
}

// nextGangAttempt returns a number that no attempt of the gang has had: the one that the
// leader has chosen for the parts of a divided gang, or the next.
func (j *Job) nextGangAttempt() uint64 {
	for _, group := range j.Groups {
		if group.GangAttempt > 0 && group.OpenTasks > 0 {
			return group.GangAttempt
		}
	}
	var last uint64
	for _, group := range j.Groups {
		for _, task := range group.Tasks { // also those returned to the leader
			last = max(last, task.WireAttempt())
		}
	}
	return last + 1
}

// Replaceable reports whether a lost task may be placed once more within the gang's present
// attempt. It may not if the workers that have had it are not all known: one of them could
// get it again and take it for the lost one.
func (t *Task) Replaceable() bool {
	first := t.Job.Gang.Attempt * tuning.GangAttemptStride
	return t.Attempt < first || (!t.Tried.Incomplete && t.Attempt+1 < first+tuning.GangAttemptStride)
}

// IsComplete reports whether the shard has all of the gang's tasks, or all of the part of a
// divided gang that the leader has given to the shard.
func (j *Job) IsComplete() bool {
	if len(j.Tasks) == j.Spec.Tasks {
		return true
	}
	partSize := 0
	for _, group := range j.Groups {
		if group.OpenTasks == 0 {
			continue
		}
		if group.GangAttempt == 0 {
			return false
		}
		partSize = max(partSize, group.PartSize)
	}
	return partSize > 0 && len(j.Tasks) == partSize
}

// ChosenAttemptOver reports whether the attempt that the leader has chosen for a part of a
// divided gang is over: then the part goes back to the leader.
func (j *Job) ChosenAttemptOver() bool {
	gang := j.Gang
	if gang == nil || gang.Attempt != 0 || gang.Done || j.Cancelled {
		return false
	}
	for _, group := range j.Groups {
		if group.GangAttempt == 0 {
			continue
		}
		for _, task := range group.Tasks {
			if task.State == StateWaiting && task.Attempt >= group.GangAttempt*tuning.GangAttemptStride {
				return true
			}
		}
	}
	return false
}

// TasksToPlace returns the gang's tasks that are to be placed, all of them at once; none if
// the gang must not be placed now.
func (j *Job) TasksToPlace() []*Task {
	gang := j.Gang
	if phase := gang.Phase(); phase != GangIdle && phase != GangAssembling {
		return nil
	}
	if j.Cancelled || !j.IsComplete() || j.ChosenAttemptOver() {
		return nil
	}
	var tasks []*Task
	for _, task := range j.Tasks {
		if task.State != StateWaiting {
			continue
		}
		if gang.Attempt > 0 && !task.Replaceable() {
			return nil
		}
		tasks = append(tasks, task)
	}
	if gang.Attempt == 0 && len(tasks) < len(j.Tasks) {
		return nil
	}
	return tasks
}

// Launchable reports whether a placed task may be launched. A task of a gang may be launched
// only when the placements of all are durable, so that none is on a worker without it being
// known where the others go.
func (t *Task) Launchable() bool {
	if !t.PlacementDurable || t.Launch.Sent || t.Job.Cancelled {
		return false
	}
	if t.Job.Gang == nil {
		return true
	}
	switch t.Job.Gang.Phase() {
	case GangDone, GangEnded, GangStartInDoubt:
		return false
	case GangIdle, GangAssembling, GangRunning:
	}
	if t.WireAttempt() != t.Job.Gang.Attempt || !t.Job.IsComplete() {
		return false
	}
	for _, member := range t.Job.Tasks {
		if member.State != StatePlaced || !member.PlacementDurable {
			return false
		}
	}
	return true
}
