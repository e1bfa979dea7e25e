package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// AcceptsTasks tells whether a machine may be given tasks now. One that has left an
// order unanswered gets none before its next report: what is placed on a machine
// that is cut off or dead waits there until its lease has run out.
func (r *Registry) AcceptsTasks(worker *Worker) bool {
	now := r.runtime.Now()
	suspectAfter := time.Duration(float64(r.settings.HeartbeatInterval()) * tuning.SuspectHeartbeats)
	return worker.HasReported && !worker.LeaseExpired && !worker.Deaf && r.accepts(worker) && worker.MachineType != nil && worker.UnknownTasks == 0 &&
		worker.Token >= r.lease.Token() && now-worker.LastHeartbeatAt < suspectAfter && now >= worker.RefusesUntil &&
		worker.commands.unansweredAt <= worker.LastHeartbeatAt && !r.isZonePartitioned(worker.Zone)
}

// PlaceTask gives a waiting task to a machine. The launch leaves once the
// placement is durable.
func (r *Registry) PlaceTask(task *taskstate.Task, worker *Worker) {
	if gang := task.Job.Gang; gang != nil && !worker.HasImage(task.Job.Spec.Image) {
		gang.UncachedPlacements++
	}
	task.PlaceOn(worker.ID)
	task.PlacedAt = r.runtime.Now()
	r.lease.CancellationsVerifiedSince(task.PlacedAt) // the proof comes while the placement is committed
	task.GoneMinToken, task.GoneSession, task.GoneAfterSequence = r.lease.Token(), 0, 0
	r.addTask(worker, task)
	r.tasks.TaskChanged(task, true)
}

// PlacementDurable notes that a placement is durable.
func (r *Registry) PlacementDurable(task *taskstate.Task) {
	if task.Job.Gang != nil {
		if task.Launchable() { // with the last of a gang, all of it
			r.log.Debug("gang placed", "job", task.Job.Spec.ID, "attempt", task.WireAttempt(), "tasks", len(task.Job.Tasks), "fetching", task.Job.Gang.UncachedPlacements,
				"age_s", float64(r.runtime.WallClock().UnixMilli()-task.Job.SubmittedMS)/1000)
			for _, member := range task.Job.Tasks {
				if worker := r.workers[member.WorkerID]; worker != nil {
					r.commandsDue[worker] = true
				}
			}
		}
		return
	}
	if worker := r.workers[task.WorkerID]; worker != nil {
		r.commandsDue[worker] = true
	}
}

// DiscardTask takes a task that was never launched off its machine; its record is
// gone.
func (r *Registry) DiscardTask(task *taskstate.Task) {
	if worker := r.workers[task.WorkerID]; worker != nil {
		r.removeTask(worker, task)
	}
}

func (r *Registry) addTask(worker *Worker, task *taskstate.Task) {
	if !task.HasImage {
		worker.FetchingTasks++
	}
	worker.AddTask(task)
}

func (r *Registry) removeTask(worker *Worker, task *taskstate.Task) {
	if !worker.Tasks[task] {
		return
	}
	worker.RemoveTask(task)
	if len(worker.Tasks) == 0 {
		worker.IdleSince = r.runtime.Now()
	}
	if !task.HasImage {
		worker.FetchingTasks--
	}
	task.Running, task.HasImage = false, false
}

// endPlacement ends a placement: the task is surely not on its machine. how only
// matters for a gang.
func (r *Registry) endPlacement(worker *Worker, task *taskstate.Task, loss taskstate.Loss) {
	r.removeTask(worker, task)
	task.State, task.WorkerID = taskstate.StateWaiting, ""
	task.PlacementDurable, task.LaunchSent, task.LaunchInFlight, task.LaunchInDoubt, task.Reported, task.HaltDecided, task.HaltSent, task.HasRun = false, false, false, false, false, false, false, false
	if task.Job.Cancelled {
		r.tasks.DropTask(task)
		return
	}
	if gang := task.Job.Gang; gang != nil {
		if gang.Done {
			r.tasks.TaskDone(task)
			return
		}
		r.gangTaskLost(task, loss)
	}
	r.tasks.TaskChanged(task, false)
	r.scheduler.TaskWaiting(task)
}

// endAllPlacements proves all tasks of a machine gone.
func (r *Registry) endAllPlacements(worker *Worker) {
	for task := range worker.Tasks {
		r.endPlacement(worker, task, taskstate.LossVanished)
	}
}
