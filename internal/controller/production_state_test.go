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

// largeProductionJob is a recorded job whose stored spec is larger than the value limit of
// continueFrom.
const largeProductionJob = "wk-000102"

// productionSnapshot is the recorded content of the state service at one moment, by key.
type productionSnapshot struct {
	Keys map[string]json.RawMessage `json:"keys"`
}

// TestProductionStateIsTakenOver checks that controllers take over the state of the version in
// production: jobs, records, log pages, leases and unfinished work, some of it larger than the
// present limits of the state service. All jobs are completed or cancelled, and no value above
// the limits is written back.
func TestProductionStateIsTakenOver(t *testing.T) {
	var recording struct {
		Snapshots []productionSnapshot `json:"snapshots"`
	}
	readProductionRecording(t, &recording)
	for i, snapshot := range recording.Snapshots {
		for _, declared := range []bool{true, false} {
			t.Run(fmt.Sprintf("snapshot %d, limits declared %v", i, declared), func(t *testing.T) {
				sim := newSimulation(uint64(50 + i))
				largeJobs := sim.continueFrom(snapshot, declared)
				sim.runUntil(400 * time.Second)
				sim.checkRulesAndCompletion(t)
				if i == 2 && largeJobs == 0 {
					t.Error("snapshot 2 has no job that is larger than the value limit, want some")
				}
				if job := sim.jobs[largeProductionJob]; job != nil && job.reportedPhase != "cancelled" {
					t.Errorf("job %s with a spec above the value limit is %q, want \"cancelled\"", job.id, job.reportedPhase)
				}
			})
		}
	}
}

// TestProductionStateWithMissingRecordsIsTakenOver checks that controllers also run the tasks that
// the version in production has lost: its leader crashed after it had recorded tasks with higher
// numbers, and its next leader took them for dispatched.
func TestProductionStateWithMissingRecordsIsTakenOver(t *testing.T) {
	var recording struct {
		Snapshots []productionSnapshot `json:"snapshots"`
	}
	readProductionRecording(t, &recording)
	snapshot := recording.Snapshots[1]
	// Records of waiting tasks, each below the tasks of another record of the same job.
	for _, key := range []string{"work/0/wk-000003/1", "work/0/wk-000003/2", "work/0/wk-000006/2"} {
		if snapshot.Keys[key] == nil {
			t.Fatalf("the snapshot has no record %s", key)
		}
		delete(snapshot.Keys, key)
	}
	sim := newSimulation(53)
	sim.continueFrom(snapshot, true)
	sim.runUntil(200 * time.Second)
	sim.checkRulesAndCompletion(t)
}

// continueFrom restarts the controllers with the state of a snapshot and low limits of the
// state service, which the settings declare if limitsDeclared is set. The users of the
// unfinished jobs submit them again and poll; the user of largeProductionJob, if it is
// unfinished and above the value limit, cancels it after 6 s. continueFrom returns the number of
// unfinished jobs whose stored values are larger than the value limit.
func (s *simulation) continueFrom(snapshot productionSnapshot, limitsDeclared bool) (largeJobs int) {
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
			largeJobs++
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
	return largeJobs
}

// storeSnapshot writes the keys of a snapshot, except leases, to the state service, log pages
// last: a shard owner writes about a record only after reading it, and a record is written once,
// so every page was written after the records that it names. The recording does not contain the
// revisions. Apart from pages, the order is that of the map and differs from run to run.
func (s *simulation) storeSnapshot(snapshot productionSnapshot) {
	pages := map[string]json.RawMessage{}
	for key, value := range snapshot.Keys {
		switch {
		case strings.HasPrefix(key, "lease/"): // leases have ended with their processes
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

// isLogPageKey reports whether key is that of a page of a shard's log, work/SHARD/log/NUMBER.
func isLogPageKey(key string) bool {
	parts := strings.Split(key, "/")
	return strings.HasPrefix(key, taskstate.KeyPrefix) && len(parts) == 4 && parts[2] == "log"
}

// jobOfRecord returns the job of a stored record, with tasks that run for 100 ms.
func jobOfRecord(id string, record *userapi.Record) *simJob {
	spec := record.Spec
	return newJob(jobSpec{
		id: id, team: spec.Team, tasks: spec.Tasks, cpus: spec.CPUs, runTime: 100 * time.Millisecond, spot: spec.Spot,
		spread: spec.Spread, sameZone: spec.SameZone, machineTypes: spec.MachineTypes,
	})
}

// markCompletedTasks marks the tasks of a job that are done according to the stored records.
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
