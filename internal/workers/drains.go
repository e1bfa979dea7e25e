package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// OperatorDrain is why a machine is given back that operators have drained.
const OperatorDrain = "drained by operators"

// accepts tells whether a machine may be given tasks as far as drains go, those of the
// daemon's own and the operators'.
func (r *Registry) accepts(worker *Worker) bool {
	return worker.DrainReason == "" && !r.scheduler.IsClosedByDrain(worker.ID)
}

// StopPlacements stops new tasks on a machine.
func (r *Registry) StopPlacements(id, reason string) {
	if worker := r.workers[id]; worker != nil && worker.DrainReason == "" {
		worker.DrainReason = reason
		r.log.Info("draining machine", "host", id, "why", reason)
	}
}

// haltIfMustMove stops a running task that has to go on elsewhere: a replica on a machine
// that is drained, or one that can save, in time before the cloud takes its
// machine. The machine is told at once, and with each report until it is gone.
func (r *Registry) haltIfMustMove(worker *Worker, task *taskstate.Task, now time.Duration) {
	spec := task.Job.Spec
	mustSave := spec.CheckpointIntervalSeconds > 0 && worker.TerminationAt > 0 &&
		now > worker.TerminationAt-time.Duration(spec.CheckpointSeconds*float64(time.Second))-tuning.SpotNoticeReserve-tuning.CheckpointMargin
	if worker.DrainReason == "" || task.HaltDecided || !task.Running || task.Job.Gang != nil || (!spec.IsService() && !mustSave) {
		return
	}
	task.Halt(spec.CheckpointSeconds)
	r.commandsDue[worker] = true
	r.log.Info("moving task", "host", worker.ID, "task", task.Name(), "why", worker.DrainReason)
}

// HaltTask has a task halted that an operators' drain moves, with the time that it needs to
// save. The machine is told at once, and with each report until the task is gone.
func (r *Registry) HaltTask(task *taskstate.Task) {
	worker := r.workers[task.WorkerID]
	if worker == nil || task.HaltDecided {
		return
	}
	task.Halt(task.Job.Spec.CheckpointSeconds)
	r.commandsDue[worker] = true
	r.log.Info("moving task", "host", worker.ID, "task", task.Name(), "why", OperatorDrain)
}

// HaltGang has all tasks of a gang halted, at the same time. One that has not started
// has nothing to save.
func (r *Registry) HaltGang(job *taskstate.Job) {
	now := r.runtime.Now()
	r.log.Info("moving gang", "job", job.Spec.ID, "why", OperatorDrain)
	if job.Gang.Started && job.Spec.CheckpointIntervalSeconds > 0 {
		r.checkpointGang(job, now)
		return
	}
	job.EndAttempt(now)
	for _, task := range job.Tasks {
		if worker := r.workers[task.WorkerID]; worker != nil && task.State == taskstate.StatePlaced && task.LaunchSent {
			task.Halt(0)
			r.commandsDue[worker] = true
		}
	}
}
