package controller

import (
	"slices"
	"time"

	"lemonmoor/internal/userapi"
)

// takeoverScenarios are the scenarios of TestTwoFaults in which leaders crash while parts of
// their dispatches are not committed.
var takeoverScenarios = []scenario{
	{"leaders crash while writes are scarce and arrays are spread over the zones", func(sim *simulation, seed int) func() bool {
		sim.limitWrites(12)
		sim.useTwoShards()
		sim.cloud.available = 24
		for i := range 60 {
			at := 10 * second
			if i >= 24 {
				at += time.Duration((i-24)*200) * millisecond
			}
			job := newJob(jobSpec{id: jobID(i), team: teamOf(i), tasks: 4 + i%5, cpus: 1, runTime: 2 * second, spot: true, urgent: true, spread: true})
			sim.schedule(at, func() { sim.submitAndPoll(job, 0) })
		}
		crashesWithGaps := 0
		for i := range 1500 {
			sim.schedule(10*second+time.Duration(i*10+seed)*millisecond, func() {
				if controller := sim.leader(); controller != nil && crashesWithGaps < 5 && sim.hasUnrecordedTasks() {
					crashesWithGaps++
					controller.crash(500 * millisecond)
				}
			})
		}
		return func() bool { return crashesWithGaps > 0 }
	}},
}

// hasUnrecordedTasks reports whether a task of an unfinished job is in no stored record although
// one with a higher index of the same job is.
func (s *simulation) hasUnrecordedTasks() bool {
	leader := s.leader().node
	unrecorded := false
	leader.catalog.EachUnfinished(func(entry *userapi.Entry) {
		var indexes []int
		for _, record := range leader.taskStates.JobRecords(entry.ID) {
			indexes = append(indexes, record.TaskIndexes...)
		}
		slices.Sort(indexes)
		indexes = slices.Compact(indexes)
		unrecorded = unrecorded || len(indexes) > 0 && indexes[len(indexes)-1] >= len(indexes)
	})
	return unrecorded
}
