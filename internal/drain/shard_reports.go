package drain

import (
	"slices"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// noShard is the shard index that means no shard.
const noShard = -1

// receivedReport is the newest report of a shard's owner. The report is nil before the
// first one is received, and if the owner sent none, see Coordinator.HandleShardReport.
type receivedReport struct {
	token, sequence uint64 // fencing token and heartbeat sequence of the owner
	receivedAt      time.Duration
	report          *ShardReport
}

// shardReports holds the newest reports that the leader received from the shard owners in
// this term.
type shardReports struct {
	rt          eventloop.Runtime
	latest      []receivedReport    // by shard index
	ranAttempts map[TaskName]uint64 // highest attempt of a granted task that was seen running
}

// reset discards all reports at the end of a term.
func (s *shardReports) reset(shardCount int) {
	s.latest = make([]receivedReport, shardCount)
	s.ranAttempts = map[TaskName]uint64{}
}

// accept stores a report if it is newer than the last one of its shard. It returns whether
// the report shows granted tasks that run again under an attempt not reported before.
func (s *shardReports) accept(shardIndex int, token, sequence uint64, report *ShardReport) (tasksRunAgain bool) {
	if shardIndex < 0 || shardIndex >= len(s.latest) {
		return false
	}
	last := &s.latest[shardIndex]
	if token < last.token || (token == last.token && sequence <= last.sequence) {
		return false // delayed on the network, older than the last one
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

// shardWithoutReport returns the first shard that has sent no report within StatusStaleAfter,
// noShard if there is none. Without a current report of each shard nothing may be granted.
func (s *shardReports) shardWithoutReport() int {
	for shardIndex := range s.latest {
		last := &s.latest[shardIndex]
		if last.report == nil || s.rt.Now()-last.receivedAt > tuning.StatusStaleAfter {
			return shardIndex
		}
	}
	return noShard
}

// shardReportingUntouched returns the shard whose owner reports that a task was never halted
// and will not be, and the fencing token of that report.
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

// closedMachine returns the entry of a closed machine in its shard's report, nil if there is
// none. The shard must have reported.
func (s *shardReports) closedMachine(shardIndex int, machineID string) *ClosedMachine {
	report := s.latest[shardIndex].report
	i := slices.IndexFunc(report.Machines, func(m ClosedMachine) bool { return m.ID == machineID })
	if i < 0 {
		return nil
	}
	return &report.Machines[i]
}

// tasksOnClosedMachines returns the number of a gang's tasks on closed machines. All shards
// must have reported.
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
