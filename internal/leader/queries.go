package leader

import (
	"slices"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// CPUsPlacedOn is the processors of the tasks placed on a machine.
func (l *Leader) CPUsPlacedOn(host string) float64 {
	if h := l.machineLoads[host]; h != nil {
		return h.cpus
	}
	return 0
}

// CapacityFor is how many tasks of a job the open machines have room for, in a zone or, if
// that is empty, anywhere.
func (l *Leader) CapacityFor(d *jobs.Spec, zone string) int {
	tasks := 0
	l.fleet.EachAvailable(func(r *fleet.AvailableMachine) {
		if r.Booting || !r.CouldRun(d, zone) {
			return
		}
		cpus, cards, memory := r.MachineType.CPUs, r.MachineType.GPUs, r.MachineType.MemoryGB
		if h := l.machineLoads[r.ID]; h != nil {
			cpus, cards, memory = cpus-h.cpus, cards-h.gpus, memory-h.memoryGB
		}
		tasks += fit(d, cpus, cards, memory)
	})
	return tasks
}

// TaskStatus is what the records say of a task; false if none names it.
func (l *Leader) TaskStatus(job string, index int) (taskstate.TaskStatus, bool) {
	var newest taskstate.TaskStatus
	number := -1
	for _, r := range l.records.JobRecords(job) {
		// A task that was given back is in a later record.
		if i, there := slices.BinarySearch(r.TaskIndexes, index); there && r.Number > number {
			newest, number = r.Statuses[i], r.Number
		}
	}
	return newest, number >= 0
}

// EachPlacement calls fn for all tasks that are placed.
func (l *Leader) EachPlacement(fn func(d *jobs.Spec, mark taskstate.TaskStatus)) {
	l.records.EachRecord(func(r *taskstate.Record) {
		p := l.jobs[r.Job]
		if p == nil {
			return
		}
		for _, m := range r.Statuses {
			if m.State == taskstate.StatePlaced {
				fn(p.spec, m)
			}
		}
	})
}

// EachReturnedTask calls fn for each task that has had an attempt and that no block holds now.
func (l *Leader) EachReturnedTask(fn func(d *jobs.Spec, index int)) {
	for _, p := range l.ordered {
		if p.cancelled {
			continue
		}
		for _, index := range p.returned {
			if p.attempts[index] > 0 {
				fn(p.spec, index)
			}
		}
	}
}
