package leader

import (
	"slices"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// CPUsPlacedOn returns how many processors the tasks placed on a machine use.
func (l *Leader) CPUsPlacedOn(machineID string) float64 {
	return l.machines.MachineLoad(machineID).CPUs
}

// CapacityFor returns for how many tasks of a job the machines that are up have room, in a zone
// or, if zone is empty, in all zones.
func (l *Leader) CapacityFor(spec *jobs.Spec, zone string) int {
	tasks := 0
	now := l.runtime.Now()
	l.fleet.EachAvailable(func(machine *fleet.AvailableMachine) {
		if !machine.Booting && machine.CouldRun(spec, zone) && machine.Accepts(spec, l.fleet.Backoff(spec.ID, machine.Shard), now) {
			available := l.machines.available(machine.ID, machine.MachineType)
			if !spec.IsGang() {
				available = available.Minus(machine.Reserved)
			}
			tasks += spec.Resources().CountIn(available)
		}
	})
	return tasks
}

// TaskStatus returns the status of a task in its newest record, and whether any record has it.
func (l *Leader) TaskStatus(job string, index int) (status taskstate.TaskStatus, found bool) {
	newest := -1
	for _, record := range l.records.JobRecords(job) {
		// A task that was returned and dispatched again is in a later record too.
		position, named := slices.BinarySearch(record.TaskIndexes, index)
		if named && record.Number > newest {
			status, newest = record.Statuses[position], record.Number
		}
	}
	return status, newest >= 0
}

// EachPlacement calls fn for each task that is placed on a machine.
func (l *Leader) EachPlacement(fn func(spec *jobs.Spec, status taskstate.TaskStatus)) {
	l.records.EachRecord(func(record *taskstate.Record) {
		job := l.jobs.byID[record.Job]
		if job == nil {
			return
		}
		for _, status := range record.Statuses {
			if status.State == taskstate.StatePlaced {
				fn(job.spec, status)
			}
		}
	})
}

// EachReturnedTask calls fn for each returned task of a job that is not cancelled, if the task
// has had an attempt and has not been dispatched again.
func (l *Leader) EachReturnedTask(fn func(spec *jobs.Spec, index int)) {
	for _, job := range l.jobs.ordered {
		if job.cancelled {
			continue
		}
		for _, index := range job.pending.returned {
			if job.pending.attempts[index] > 0 {
				fn(job.spec, index)
			}
		}
	}
}
