package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// recoverGang works out what the records of a new token say of a gang.
func (r *Registry) recoverGang(job *taskstate.Job) {
	job.RecoverGang(r.termBeganAt)
	if job.Gang.Done {
		r.GangDone(job)
	}
}

// gangTaskLost takes note that a task of a gang is off its machine, and asks the others
// how they are if that is what decides.
func (r *Registry) gangTaskLost(task *taskstate.Task, loss taskstate.Loss) {
	job, now := task.Job, r.runtime.Now()
	inDoubtSince, before := job.Gang.StartInDoubtSince, *job.Gang
	job.TaskGone(task, loss, now)
	if job.Gang.Attempt == 0 || (job.Gang.AttemptOver && !before.AttemptOver) {
		r.log.Debug("gang's attempt comes to nothing", "job", job.Spec.ID, "attempt", before.Attempt, "task", task.Index, "started", before.Started,
			"through", job.Gang.Attempt == 0, "saved", before.Checkpointing)
	}
	if job.Gang.StartInDoubtSince != inDoubtSince && job.Gang.StartInDoubtSince > 0 {
		for _, member := range job.Tasks {
			if worker := r.workers[member.WorkerID]; member.State == taskstate.StatePlaced && worker != nil {
				worker.commands.probeTasks, r.commandsDue[worker] = true, true
			}
		}
	}
	r.haltEndedAttempt(job, now)
}

// gangTaskReported takes in the state of a task of a gang, which tells of the others too.
func (r *Registry) gangTaskReported(task *taskstate.Task, phase string) {
	job := task.Job
	if job.Gang == nil || task.WireAttempt() != job.Gang.Attempt {
		return
	}
	now := r.runtime.Now()
	switch phase {
	case "running", "saving":
		if !job.Gang.Started {
			r.log.Debug("gang runs", "job", job.Spec.ID, "class", job.Spec.Class, "attempt", job.Gang.Attempt, "host", task.WorkerID,
				"age_s", float64(r.runtime.WallClock().UnixMilli()-job.SubmittedMS)/1000)
		}
		job.ReportedRunning(now)
		if !task.HasRun {
			task.HasRun = true
			r.tasks.TaskChanged(task, false) // for those who ask whether it runs
		}
	case "waiting", "fetching":
		job.ReportedWaiting(now)
	}
	r.haltEndedAttempt(job, now)
}

// GangDone takes note that a task of a gang is proven done, and with it all are.
// Those on no machine are written off at once, the others when they are proven
// gone: their places are not free before.
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
		case task.State == taskstate.StatePlaced && !task.LaunchSent && worker != nil && worker.Tasks[task]:
			r.endPlacement(worker, task, taskstate.LossBeforeWaiting)
		}
	}
}

// haltEndedAttempt halts what is left of an attempt that is over.
func (r *Registry) haltEndedAttempt(job *taskstate.Job, now time.Duration) {
	if job.Cancelled || !job.MustHaltAttempt(now, r.settings.GangPeerTimeout()) {
		return
	}
	for _, task := range job.Tasks {
		if worker := r.workers[task.WorkerID]; task.State == taskstate.StatePlaced && task.LaunchSent && worker != nil && !(task.HaltDecided && task.WindDownSeconds == 0) {
			task.Halt(0)
			r.commandsDue[worker] = true
		}
	}
}

// checkGang looks after a gang once a second: whether a task has to leave its
// machine before the cloud takes it, and whether an attempt goes nowhere.
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

// haltGangBeforeTermination stops a gang in good order before the cloud takes a machine of it: all
// tasks are told to save at the same time, as late as that can be done. Without
// the time for it, it runs on: it may still complete, or pass a checkpoint. One
// that waits just leaves the machine.
func (r *Registry) haltGangBeforeTermination(job *taskstate.Job, now time.Duration) {
	gang, checkpointDuration := job.Gang, time.Duration(job.Spec.CheckpointSeconds*float64(time.Second))
	for _, task := range job.Tasks {
		worker := r.workers[task.WorkerID]
		if task.State != taskstate.StatePlaced || worker == nil || worker.TerminationAt == 0 {
			continue
		}
		if !gang.Started {
			if task.Reported && !task.HaltDecided {
				task.Halt(0)
				r.commandsDue[worker] = true
			}
			continue
		}
		latestStart := worker.TerminationAt - checkpointDuration - tuning.SpotNoticeReserve
		if job.Spec.CheckpointIntervalSeconds == 0 || now < latestStart-tuning.CheckpointMargin || now > latestStart {
			continue
		}
		r.log.Info("saving gang", "job", job.Spec.ID, "host", worker.ID)
		r.checkpointGang(job, now)
		return
	}
}

// checkpointGang ends a gang's attempt: all its tasks are told to save, at the same time.
func (r *Registry) checkpointGang(job *taskstate.Job, now time.Duration) {
	job.EndAttempt(now)
	job.Gang.Checkpointing = true
	for _, member := range job.Tasks {
		if worker := r.workers[member.WorkerID]; member.State == taskstate.StatePlaced && worker != nil {
			member.Halt(job.Spec.CheckpointSeconds)
			r.commandsDue[worker] = true
		}
	}
}
