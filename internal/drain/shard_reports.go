package drain

import (
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// noShard stands where a shard has its index.
const noShard = -1

// receivedReport is the newest report of a shard's owner. The report is nil before the
// first one, and from an owner that knows no drains.
type receivedReport struct {
	token, sequence uint64 // fencing token and heartbeat sequence of the owner
	receivedAt      time.Duration
	report          *ShardReport
}

// shardReports holds, for the leader, what the shard owners have reported in this term.
type shardReports struct {
	rt          eventloop.Runtime
	latest      []receivedReport    // by shard
	ranAttempts map[TaskName]uint64 // highest attempt of a granted task that was seen running
}

// reset forgets all reports at the end of a term.
func (s *shardReports) reset(shardCount int) {
	s.latest = make([]receivedReport, shardCount)
	s.ranAttempts = map[TaskName]uint64{}
}

// accept takes a report, if it is newer than the last one of its shard, and reports
// whether it shows granted tasks that run again.
func (s *shardReports) accept(shardIndex int, token, sequence uint64, report *ShardReport) (tasksRunAgain bool) {
	if shardIndex < 0 || shardIndex >= len(s.latest) {
		return false
	}
	last := &s.latest[shardIndex]
	if token < last.token || (token == last.token && sequence <= last.sequence) {
		return false // held back on its way
	}
	*last = receivedReport{token, sequence, s.rt.Now(), report}
	if report == nil {
		return false
	}
	for _, task := range report.Granted {
		if task.RunsAgain && task.Attempt > s.ranAttempts[task.Name()] {
			s.ranAttempts[task.Name()], tasksRunAgain = task.Attempt, true
		}
	}
	return tasksRunAgain
}

// shardWithoutReport is a shard of which too little is known to grant anything, noShard
// if there is none.
func (s *shardReports) shardWithoutReport() int {
	for shardIndex := range s.latest {
		last := &s.latest[shardIndex]
		if last.report == nil || s.rt.Now()-last.receivedAt > tuning.StatusStaleAfter {
			return shardIndex
		}
	}
	return noShard
}

// shardReportingUntouched finds the shard whose owner reports that a task was never halted
// and will not be, with the fencing token under which it has said so.
func (s *shardReports) shardReportingUntouched(ref TaskRef) (shardIndex int, token uint64, isUntouched bool) {
	for shardIndex := range s.latest {
		last := &s.latest[shardIndex]
		if last.report == nil {
			continue
		}
		for _, task := range last.report.Granted {
			if task.IsUntouched && task.TaskRef == ref {
				return shardIndex, last.token, true
			}
		}
	}
	return noShard, 0, false
}

// closedMachine is what the owner of a shard reports of a closed machine; nil if it does
// not. The shard must have reported.
func (s *shardReports) closedMachine(shardIndex int, machineID string) *ClosedMachine {
	report := s.latest[shardIndex].report
	i := slices.IndexFunc(report.Machines, func(m ClosedMachine) bool { return m.ID == machineID })
	if i < 0 {
		return nil
	}
	return &report.Machines[i]
}

// tasksOnClosedMachines counts the tasks of a gang on closed machines. All shards must
// have reported.
func (s *shardReports) tasksOnClosedMachines(job string) int {
	count := 0
	for shardIndex := range s.latest {
		for _, machine := range s.latest[shardIndex].report.Machines {
			for _, task := range machine.Tasks {
				if task.Job == job {
					count++
				}
			}
		}
	}
	return count
}
