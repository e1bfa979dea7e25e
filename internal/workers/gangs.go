package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// recoverGang works out what the records of a new term say of a gang.
func (r *Registry) recoverGang(job *taskstate.Job) {
	job.RecoverGang(r.termBeganAt)
	if job.Gang.Done {
		r.GangDone(job)
	}
}

// gangTaskLost takes note that a task of a gang is off its machine, and asks after the
// other members if it depends on them whether the attempt is over.
func (r *Registry) gangTaskLost(task *taskstate.Task, loss taskstate.Loss) {
	job, now := task.Job, r.runtime.Now()
	before := *job.Gang
	job.TaskGone(task, loss, now)
	gang := job.Gang
	allGone := gang.Attempt == 0
	if allGone || (gang.AttemptOver && !before.AttemptOver) {
		r.log.Debug("gang attempt failed", "job", job.Spec.ID, "attempt", before.Attempt, "task", task.Index,
			"started", before.Started, "all_gone", allGone, "checkpointing", before.Checkpointing)
	}
	if gang.StartInDoubtSince != before.StartInDoubtSince && gang.StartInDoubtSince > 0 {
		r.probeGang(job)
	}
	r.haltEndedAttempt(job, now)
}

// probeGang asks the workers of a gang's tasks directly how these are.
func (r *Registry) probeGang(job *taskstate.Job) {
	for _, member := range job.Tasks {
		if worker := r.workers[member.WorkerID]; member.State == taskstate.StatePlaced && worker != nil {
			worker.delivery.probesTasks, r.commandsDue[worker] = true, true
		}
	}
}

// gangTaskReported takes in the phase of a task that has not ended. If it is of a gang's
// present attempt, it tells of the other members too.
func (r *Registry) gangTaskReported(task *taskstate.Task, phase TaskPhase) {
	job := task.Job
	if job.Gang == nil || task.WireAttempt() != job.Gang.Attempt {
		return
	}
	now := r.runtime.Now()
	switch phase {
	case PhaseRunning, PhaseSaving:
		if !job.Gang.Started {
			r.log.Debug("gang started", "job", job.Spec.ID, "class", job.Spec.Class, "attempt", job.Gang.Attempt,
				"worker", task.WorkerID, "age_s", r.ageSeconds(job))
		}
		job.ReportedRunning(now)
		if !task.Observed.HasRun {
			task.Observed.HasRun = true
			r.tasks.TaskChanged(task, false) // for users who ask whether it runs
		}
	case PhaseWaiting, PhaseFetching:
		job.ReportedWaiting(now)
	case PhaseEnded: // see takeEnded
	}
	r.haltEndedAttempt(job, now)
}

// GangDone takes note that a task of a gang is proven done, and with it all are. Those on
// no machine are done at once, the others when they are proven gone: what they take of
// their machines is not free before.
func (r *Registry) GangDone(job *taskstate.Job) {
	if job.Gang.Done && job.Gang.AttemptOver || job.Cancelled {
		return
	}
	job.Gang.Done, job.Gang.Started = true, true
	job.EndAttempt(r.runtime.Now())
	for _, task := range job.Tasks {
		worker := r.workers[task.WorkerID]
		switch {
		case task.State == taskstate.StateWaiting:
			r.tasks.TaskDone(task)
		case task.State == taskstate.StatePlaced && !task.Launch.Sent && worker != nil && worker.Tasks[task]:
			r.endPlacement(worker, task, taskstate.LossBeforeWaiting)
		}
	}
}

// haltEndedAttempt halts what is left of an attempt that is over, when it is time.
func (r *Registry) haltEndedAttempt(job *taskstate.Job, now time.Duration) {
	if job.Cancelled || !job.MustHaltAttempt(now, r.settings.GangPeerTimeout()) {
		return
	}
	for _, task := range job.Tasks {
		isHalting := task.Halt.Decided && task.Halt.WindDownSeconds == 0
		if worker := r.workers[task.WorkerID]; task.State == taskstate.StatePlaced && task.Launch.Sent && worker != nil && !isHalting {
			task.DecideHalt(0)
			r.commandsDue[worker] = true
		}
	}
}

// checkGang looks after a gang once a second: whether a task has to leave its machine
// before the cloud takes it, and whether an attempt goes nowhere.
func (r *Registry) checkGang(job *taskstate.Job, now time.Duration) {
	gang := job.Gang
	if gang.Attempt == 0 || job.Cancelled {
		return
	}
	if gang.StartInDoubtSince > 0 && now-gang.StartInDoubtSince > r.settings.GangWaitTimeout()+r.settings.GangPeerTimeout() {
		job.EndAttempt(now)
	}
	if !gang.AttemptOver {
		r.haltGangBeforeTermination(job, now)
	}
	r.haltEndedAttempt(job, now)
}

// haltGangBeforeTermination stops a gang in good order before the cloud takes one of its
// machines: all tasks are told to write a checkpoint at the same time, as late as that can
// be done. Without the time for it, the gang runs on: it may still complete, or pass a
// checkpoint. A task that waits for the others just leaves the machine.
func (r *Registry) haltGangBeforeTermination(job *taskstate.Job, now time.Duration) {
	for _, task := range job.Tasks {
		worker := r.workers[task.WorkerID]
		if task.State != taskstate.StatePlaced || worker == nil || worker.TerminationAt == 0 {
			continue
		}
		if !job.Gang.Started {
			if task.Observed.Reported && !task.Halt.Decided {
				task.DecideHalt(0)
				r.commandsDue[worker] = true
			}
			continue
		}
		latestAt := latestCheckpointAt(worker, job)
		if job.Spec.CheckpointIntervalSeconds == 0 || now < latestAt-tuning.CheckpointMargin || now > latestAt {
			continue
		}
		r.log.Info("checkpointing gang before spot termination", "job", job.Spec.ID, "worker", worker.ID)
		r.checkpointGang(job, now)
		return
	}
}

// latestCheckpointAt is when a task of a job has to begin a checkpoint, at the latest, to
// finish before the cloud takes its machine.
func latestCheckpointAt(worker *Worker, job *taskstate.Job) time.Duration {
	checkpointDuration := time.Duration(job.Spec.CheckpointSeconds * float64(time.Second))
	return worker.TerminationAt - checkpointDuration - tuning.SpotNoticeReserve
}

// checkpointGang ends a gang's attempt: all its tasks are told to write a checkpoint, at
// the same time.
func (r *Registry) checkpointGang(job *taskstate.Job, now time.Duration) {
	job.EndAttempt(now)
	job.Gang.Checkpointing = true
	for _, member := range job.Tasks {
		if worker := r.workers[member.WorkerID]; member.State == taskstate.StatePlaced && worker != nil {
			member.DecideHalt(job.Spec.CheckpointSeconds)
			r.commandsDue[worker] = true
		}
	}
}
