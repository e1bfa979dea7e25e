package workers

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// halts adds the orders that end what a machine may have of cancelled jobs. They are
// repeated until each task is proven gone, by whichever message there is: a halt
// names the attempt, so that repeated or late it does no harm.
func (t *Registry) halts(h *Worker, orders []Command) []Command {
	now := t.rt.Now()
	for k := range h.Tasks {
		if k.Job.Cancelled && k.Launch.Sent && len(orders) < tuning.MaxCommandsPerMessage {
			k.Halt.CancelSentAt = now
			orders = append(orders, halt(k.Name(), k.WireAttempt(), 0))
		}
	}
	return orders
}

// CancelJob has the tasks of a cancelled job halted at once: with the next report the
// order would leave seconds later, and a machine whose reports are lost can still
// be reached.
func (t *Registry) CancelJob(j *taskstate.Job) {
	for _, k := range j.Tasks {
		if h := t.hosts[k.WorkerID]; h != nil && k.State == taskstate.StatePlaced {
			t.ready[h] = true
		}
	}
}

// outlives tells whether a machine may have a task of a job that was cancelled so
// long ago that an answer could keep it alive past the users' limit: the worker's
// lease runs on from the report, and nothing more may reach it. Such a machine is
// not answered until the task is proven gone, by direct orders if they reach it, by
// the end of its lease if not.
func (t *Registry) outlives(h *Worker, r *Heartbeat) bool {
	old := func(job string) bool {
		age, cancelled := t.tasks.CancellationAge(job)
		return cancelled && age >= t.set.MaxKnowledgeAge()
	}
	for k := range h.Tasks {
		if k.Job.Cancelled && k.Launch.Sent && old(k.Job.Spec.ID) {
			return true
		}
	}
	for i := range r.Tasks {
		if job, _, ok := splitRef(r.Tasks[i].Name); ok && r.Tasks[i].Phase != "ended" && old(job) {
			return true
		}
	}
	return false
}

// cancelled gives the orders that end the tasks of cancelled jobs in a report.
func (t *Registry) cancelled(r *Heartbeat) []Command {
	var orders []Command
	for i := range r.Tasks {
		l := &r.Tasks[i]
		job, _, ok := splitRef(l.Name)
		if !ok || l.Phase == "ended" || len(orders) >= tuning.MaxCommandsPerMessage {
			continue
		}
		if _, off := t.tasks.CancellationAge(job); off {
			orders = append(orders, halt(l.Name, l.Attempt, 0))
		}
	}
	return orders
}
