package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// OperatorDrain is the release reason of machines that operators have drained.
const OperatorDrain = "drained by operators"

// Reasons for draining a worker; see also drainReasonUnreachable and StopPlacements.
const (
	drainReasonSpotNotice = "spot notice"
	drainReasonFailures   = "fails its tasks"
)

// isDraining reports whether a worker must not get new tasks, either because the daemon
// drains it or because of an operators' drain.
func (r *Registry) isDraining(worker *Worker) bool {
	return worker.DrainReason != "" || r.scheduler.IsClosedByDrain(worker.ID)
}

// StopPlacements drains a worker, so that it gets no new tasks. The reason is logged, and
// reported when the machine is returned.
func (r *Registry) StopPlacements(id, reason string) {
	if worker := r.workers[id]; worker != nil && worker.drain(reason) {
		r.log.Info("worker drained", "worker", id, "reason", reason)
	}
}

// haltIfMustMove halts a running task of a drained worker that has to continue elsewhere: a
// replica of a service at once, and a task with checkpoints early enough to write one before
// the cloud reclaims the machine. The halt is sent directly, and repeated in each answer to a
// heartbeat until the task is gone. Tasks of gangs are halted by haltGangBeforeTermination.
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

// HaltTask halts a task that an operators' drain moves, allowing it the time that its job
// specifies for a checkpoint. The halt is sent directly, and repeated in each answer to a
// heartbeat until the task is gone.
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

// HaltGang halts all tasks of a gang that an operators' drain moves, at the same time. The
// tasks write a checkpoint only if the job has checkpoints and the gang has started; before
// that there is no progress to save.
func (r *Registry) HaltGang(job *taskstate.Job) {
	now := r.runtime.Now()
	r.log.Info("moving gang", "job", job.Spec.ID, "reason", OperatorDrain)
	if job.Gang.Started && job.Spec.CheckpointIntervalSeconds > 0 {
		r.checkpointGang(job, now)
		return
	}
	job.EndAttempt(now)
	for _, task := range job.Tasks {
		if worker := r.workers[task.WorkerID]; worker != nil && task.State == taskstate.StatePlaced && task.Launch.IsSent() {
			task.DecideHalt(0)
			r.commandsDue[worker] = true
		}
	}
}
