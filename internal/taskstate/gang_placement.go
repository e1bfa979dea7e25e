package taskstate

import "lemonmoor/internal/tuning"

// WireAttempt returns the attempt number that the task's worker uses. For a gang that is the
// gang's attempt; the stored number also counts the replacements of the task within it, so
// that it grows with each placement. Numbers below tuning.GangAttemptStride were stored by
// the first version, which treated gangs as arrays.
func (t *Task) WireAttempt() uint64 {
	if t.Job.Gang == nil || t.Attempt < tuning.GangAttemptStride {
		return t.Attempt
	}
	return t.Attempt / tuning.GangAttemptStride
}

// beginAttempt assigns the next attempt number to a task that is being placed.
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

// nextGangAttempt returns an attempt number that the gang has not used: the one that the
// leader has chosen for the parts of a divided gang, or the successor of the last one.
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

// Replaceable reports whether a lost task may be placed again within the gang's current
// attempt. It may not if some worker that had the task is unknown: that worker could be
// assigned the task again and would treat it as the lost one. Nor may it once the attempt's
// tuning.GangAttemptStride numbers are used up.
func (t *Task) Replaceable() bool {
	first := t.Job.Gang.Attempt * tuning.GangAttemptStride
	return t.Attempt < first || (!t.Tried.Incomplete && t.Attempt+1 < first+tuning.GangAttemptStride)
}

// IsComplete reports whether the shard has all of the gang's tasks or, of a divided gang, the
// whole part that the leader has dispatched to the shard.
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
// divided gang has ended. The part is then to be returned to the leader.
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

// TasksToPlace returns the gang's tasks that are to be placed. All of them must be placed
// together. It returns nil if the gang must not be placed now.
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
// only when the placements of all its tasks in the shard are durable, so that no task is on a
// worker while it is unknown where the others are to run.
func (t *Task) Launchable() bool {
	if !t.PlacementDurable || t.Launch.IsSent() || t.Job.Cancelled {
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
