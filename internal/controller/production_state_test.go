package controller

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/userapi"
)

// TestProductionState: the version before has left jobs, records, pages, leases
// and half-done work, some of it larger than the state service takes by now. All
// of it is taken over, done and cancelled, and nothing too large is written back.
func TestProductionState(t *testing.T) {
	raw, err := os.ReadFile("../taskstate/testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var p struct {
		Snapshots []struct {
			Keys map[string]json.RawMessage `json:"keys"`
		} `json:"snapshots"`
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		t.Fatal(err)
	}
	for n, snap := range p.Snapshots {
		for _, told := range []bool{true, false} {
			sim := newSimulation(uint64(50 + n))
			sim.stateLimits.operations, sim.stateLimits.valueBytes, sim.stateLimits.writesPerSecond, sim.stateLimits.undeclared = 3, 1024, 12, !told
			if told {
				ops, kb, rate := 3, 1.0, 12.0
				sim.settings.Deployment.State.Next = &settings.NextLimits{TxnOps: &ops, ValueKB: &kb, WriteRPS: &rate}
			}
			sim.restart()
			for key, value := range snap.Keys {
				if strings.HasPrefix(key, "lease/") {
					continue // ended with the processes
				}
				sim.state.revision++
				sim.state.keys[key] = &storedValue{value, sim.state.revision, 0}
			}
			big := 0
			for key, value := range snap.Keys {
				id, ok := strings.CutPrefix(key, userapi.KeyPrefix)
				var r userapi.Record
				if !ok || json.Unmarshal(value, &r) != nil || r.Phase != "" {
					continue
				}
				job := newJob(jobSpec{
					id: id, team: r.Spec.Team, tasks: r.Spec.Tasks, cpus: r.Spec.CPUs, runTime: 100 * time.Millisecond, spot: r.Spec.Spot,
					spread: r.Spec.Spread, sameZone: r.Spec.SameZone, machineTypes: r.Spec.MachineTypes,
				})
				cancel := time.Duration(0)
				if len(value) > sim.stateLimits.valueBytes {
					big++
					if id == "wk-000102" {
						cancel = 6 * time.Second
					}
				}
				sim.after(time.Second, func() {
					for _, controller := range sim.controllers {
						controller.node.store.EachRecord(func(record *taskstate.Record) {
							for k, status := range record.Statuses {
								if record.Job == id && status.State == taskstate.StateDone {
									job.completed[record.TaskIndexes[k]] = true
								}
							}
						})
					}
					sim.submitAndPoll(job, cancel)
				})
			}
			sim.run(400 * time.Second)
			sim.checkRulesAndCompletion(t)
			if n == 2 && big == 0 {
				t.Error("nothing stored is larger than the limit")
			}
			if job := sim.jobs["wk-000102"]; job != nil && job.reportedPhase != "cancelled" {
				t.Errorf("a job with a large description is %q, not cancelled", job.reportedPhase)
			}
		}
	}
}
