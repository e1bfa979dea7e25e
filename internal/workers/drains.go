package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// OperatorDrain is why a machine is returned that operators have drained.
const OperatorDrain = "drained by operators"

// Reasons why a worker gets no more tasks; see also drainReasonDeaf and StopPlacements.
const (
	drainReasonSpotNotice = "spot notice"
	drainReasonFailures   = "fails its tasks"
)

// isDraining tells whether a worker is to get no more tasks, for a reason of the daemon's
// own or by an operators' drain.
func (r *Registry) isDraining(worker *Worker) bool {
	return worker.DrainReason != "" || r.scheduler.IsClosedByDrain(worker.ID)
}

// StopPlacements stops new tasks on a worker, for a reason that is logged and reported when
// its machine is returned.
func (r *Registry) StopPlacements(id, reason string) {
	if worker := r.workers[id]; worker != nil && worker.drain(reason) {
		r.log.Info("worker drained", "worker", id, "reason", reason)
	}
}

// haltIfMustMove halts a running task that has to go on elsewhere: a replica on a machine
// that is drained, or a task that can write a checkpoint, in time before the cloud takes
// its machine. The worker is told at once, and with each answer until the task is gone.
func (r *Registry) haltIfMustMove(worker *Worker, task *taskstate.Task, now time.Duration) {
	if worker.DrainReason == "" || task.Halt.Decided || !task.Observed.Running || task.Job.Gang != nil {
		return
	}
	spec := task.Job.Spec
	isCheckpointDue := spec.CheckpointIntervalSeconds > 0 && worker.TerminationAt > 0 &&
		now > latestCheckpointAt(worker, task.Job)-tuning.CheckpointMargin
	if spec.IsService() || isCheckpointDue {
		r.haltToMove(worker, task, worker.DrainReason)
	}
}

// HaltTask has a task halted that an operators' drain moves, with the time that it needs
// for a checkpoint. The worker is told at once, and with each answer until the task is
// gone.
func (r *Registry) HaltTask(task *taskstate.Task) {
	if worker := r.workers[task.WorkerID]; worker != nil && !task.Halt.Decided {
		r.haltToMove(worker, task, OperatorDrain)
	}
}

func (r *Registry) haltToMove(worker *Worker, task *taskstate.Task, reason string) {
	task.DecideHalt(task.Job.Spec.CheckpointSeconds)
	r.commandsDue[worker] = true
	r.log.Info("moving task", "worker", worker.ID, "task", task.Name(), "reason", reason)
}

// HaltGang has all tasks of a gang halted that an operators' drain moves, at the same time.
// A gang that has not started has no progress to save.
func (r *Registry) HaltGang(job *taskstate.Job) {
	now := r.runtime.Now()
	r.log.Info("moving gang", "job", job.Spec.ID, "reason", OperatorDrain)
	if job.Gang.Started && job.Spec.CheckpointIntervalSeconds > 0 {
		r.checkpointGang(job, now)
		return
	}
	job.EndAttempt(now)
	for _, task := range job.Tasks {
		if worker := r.workers[task.WorkerID]; worker != nil && task.State == taskstate.StatePlaced && task.Launch.Sent {
			task.DecideHalt(0)
			r.commandsDue[worker] = true
		}
	}
}
