package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// recoverGang derives the state of a gang from the records of a new term.
func (r *Registry) recoverGang(job *taskstate.Job) {
	job.RecoverGang(r.termBeganAt)
	if job.Gang.Done {
		r.GangDone(job)
	}
}

// gangTaskLost records that a task of a gang is gone from its machine. If it depends on the
// other members whether the attempt has ended, it probes their workers.
func (r *Registry) gangTaskLost(task *taskstate.Task, loss taskstate.Loss) {
	job, now := task.Job, r.runtime.Now()
	previous := *job.Gang
	job.TaskGone(task, loss, now)
	gang := job.Gang
	allGone := gang.Attempt == 0
	if allGone || (gang.AttemptOver && !previous.AttemptOver) {
		r.log.Debug("gang attempt failed", "job", job.Spec.ID, "attempt", previous.Attempt, "task", task.Index,
			"started", previous.Started, "all_gone", allGone, "checkpointing", previous.Checkpointing)
	}
	if gang.StartInDoubtSince != previous.StartInDoubtSince && gang.StartInDoubtSince > 0 {
		r.probeGang(job)
	}
	r.haltEndedAttempt(job, now)
}

// probeGang queues a direct message to each worker of a gang's tasks; the answer lists the
// tasks there.
func (r *Registry) probeGang(job *taskstate.Job) {
	for _, member := range job.Tasks {
		if worker := r.workers[member.WorkerID]; member.State == taskstate.StatePlaced && worker != nil {
			worker.delivery.taskProbeDue, r.commandsDue[worker] = true, true
		}
	}
}

// gangTaskReported processes the reported phase of a task that has not ended. If the task
// belongs to the current attempt of a gang, the phase shows whether the gang has started.
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
			r.tasks.TaskChanged(task, false) // so that users can see that it runs
		}
	case PhaseWaiting, PhaseFetching:
		job.ReportedWaiting(now)
	case PhaseEnded: // see processEnded
	}
	r.haltEndedAttempt(job, now)
}

// GangDone records that a task of a gang has completed, which completes the whole gang. Tasks
// that are on no machine are done at once. The others are done when they are proven gone,
// since until then they occupy resources of their machines.
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
		case task.State == taskstate.StatePlaced && !task.Launch.IsSent() && worker != nil && worker.Tasks[task]:
			r.endPlacement(worker, task, EvidenceNeverLaunched, taskstate.LossBeforeWaiting)
		}
	}
}

// haltEndedAttempt halts the remaining tasks of an attempt that has ended, once
// Job.MustHaltAttempt requires it.
func (r *Registry) haltEndedAttempt(job *taskstate.Job, now time.Duration) {
	if job.Cancelled || !job.MustHaltAttempt(now, r.settings.GangPeerTimeout()) {
		return
	}
	for _, task := range job.Tasks {
		isHalting := task.Halt.Decided && task.Halt.WindDownSeconds == 0
		if worker := r.workers[task.WorkerID]; task.State == taskstate.StatePlaced && task.Launch.IsSent() && worker != nil && !isHalting {
			task.DecideHalt(0)
			r.commandsDue[worker] = true
		}
	}
}

// checkGang is called once a second. It halts tasks that have to leave their machines before
// the cloud reclaims them, and ends an attempt whose start has been in doubt for too long.
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

// haltGangBeforeTermination halts a gang before the cloud reclaims one of its machines. All
// tasks write a checkpoint at the same time, as late as possible. If too little time is left
// for that, the gang runs on, since it may still complete or write a regular checkpoint. If
// the gang has not started, only its tasks on that machine are halted, so that they leave it.
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

// latestCheckpointAt returns the latest time at which a task of a job can begin a checkpoint
// and finish it before the cloud reclaims its machine.
func latestCheckpointAt(worker *Worker, job *taskstate.Job) time.Duration {
	checkpointDuration := time.Duration(job.Spec.CheckpointSeconds * float64(time.Second))
	return worker.TerminationAt - checkpointDuration - tuning.SpotNoticeReserve
}

// checkpointGang ends a gang's attempt by halting all its tasks at the same time, with the
// time to write a checkpoint.
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
