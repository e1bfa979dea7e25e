package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// largeProductionJob is a job of the recording whose stored spec is larger than the limit.
const largeProductionJob = "wk-000102"

// productionSnapshot is what the state service held at some moment, by key.
type productionSnapshot struct {
	Keys map[string]json.RawMessage `json:"keys"`
}

// TestProductionStateIsTakenOver: the version before has left jobs, records, pages, leases
// and half-done work, some of it larger than the state service takes by now. All
// of it is taken over, done and cancelled, and nothing too large is written back.
func TestProductionStateIsTakenOver(t *testing.T) {
	var recording struct {
		Snapshots []productionSnapshot `json:"snapshots"`
	}
	readProductionRecording(t, &recording)
	for i, snapshot := range recording.Snapshots {
		for _, declared := range []bool{true, false} {
			t.Run(fmt.Sprintf("snapshot %d, limits declared %v", i, declared), func(t *testing.T) {
				sim := newSimulation(uint64(50 + i))
				large := sim.continueFrom(snapshot, declared)
				sim.runUntil(400 * time.Second)
				sim.checkRulesAndCompletion(t)
				if i == 2 && large == 0 {
					t.Error("nothing stored is larger than the limit")
				}
				if job := sim.jobs[largeProductionJob]; job != nil && job.reportedPhase != "cancelled" {
					t.Errorf("a job with a large spec is %q, not cancelled", job.reportedPhase)
				}
			})
		}
	}
}

// continueFrom starts the controllers on a snapshot, with low limits of the state service
// that the settings declare or don't, and has the users of its unfinished jobs go on. It
// returns how many of these jobs are stored in values that are larger than the limit.
func (s *simulation) continueFrom(snapshot productionSnapshot, limitsDeclared bool) (large int) {
	s.stateLimits = stateLimits{operations: 3, valueBytes: 1024, writesPerSecond: 12, undeclared: !limitsDeclared}
	if limitsDeclared {
		operations, kilobytes, rate := 3, 1.0, 12.0
		s.settings.Deployment.State.Next = &settings.NextLimits{TxnOps: &operations, ValueKB: &kilobytes, WriteRPS: &rate}
	}
	s.restart()
	s.storeSnapshot(snapshot)
	for key, value := range snapshot.Keys {
		id, isJob := strings.CutPrefix(key, userapi.KeyPrefix)
		var record userapi.Record
		if !isJob || json.Unmarshal(value, &record) != nil || record.Phase != "" {
			continue
		}
		cancelAfter := time.Duration(0)
		if len(value) > s.stateLimits.valueBytes {
			large++
			if id == largeProductionJob {
				cancelAfter = 6 * time.Second
			}
		}
		job := jobOfRecord(id, &record)
		s.schedule(time.Second, func() {
			s.markCompletedTasks(job)
			s.submitAndPoll(job, cancelAfter)
		})
	}
	return large
}

// storeSnapshot puts the keys of a snapshot into the state service. Their revisions are not
// recorded. Whatever they were, every log page was written after the records that it names:
// a shard owner writes of a record only after it has read it, and a record is written once.
// So pages come last; otherwise the order is that of the map, another one in every run.
func (s *simulation) storeSnapshot(snapshot productionSnapshot) {
	pages := map[string]json.RawMessage{}
	for key, value := range snapshot.Keys {
		switch {
		case strings.HasPrefix(key, "lease/"): // leases ended with the processes
		case isLogPageKey(key):
			pages[key] = value
		default:
			s.state.put(key, value)
		}
	}
	for key, value := range pages {
		s.state.put(key, value)
	}
}

// isLogPageKey tells the key of a page of a shard's log, work/SHARD/log/NUMBER, from others.
func isLogPageKey(key string) bool {
	parts := strings.Split(key, "/")
	return strings.HasPrefix(key, taskstate.KeyPrefix) && len(parts) == 4 && parts[2] == "log"
}

// jobOfRecord is a stored job, with short tasks.
func jobOfRecord(id string, record *userapi.Record) *simJob {
	spec := record.Spec
	return newJob(jobSpec{
		id: id, team: spec.Team, tasks: spec.Tasks, cpus: spec.CPUs, runTime: 100 * time.Millisecond, spot: spec.Spot,
		spread: spec.Spread, sameZone: spec.SameZone, machineTypes: spec.MachineTypes,
	})
}

// markCompletedTasks notes which tasks of a job are done by the stored records.
func (s *simulation) markCompletedTasks(job *simJob) {
	for _, controller := range s.controllers {
		controller.node.taskStates.EachRecord(func(record *taskstate.Record) {
			for i, status := range record.Statuses {
				if record.Job == job.id && status.State == taskstate.StateDone {
					job.completed[record.TaskIndexes[i]] = true
				}
			}
		})
	}
}
