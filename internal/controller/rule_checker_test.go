package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"lemonmoor/internal/userapi"
)

// newCheckerSimulation returns a deployment at 20 s, with one job whose tasks run, and two
// further machines that no controller knows of, one of them a spot machine in another zone. A
// test case starts tasks on these directly. change, if not nil, changes the job before its
// submission.
func newCheckerSimulation(tasks int, change func(*simJob)) (sim *simulation, job *simJob, inZoneA, spotInZoneB *simWorker) {
	sim = newSimulation(1)
	job = newJob(jobSpec{id: "wk-000001", team: "red", tasks: tasks, cpus: 1, runTime: time.Hour, spot: true})
	if change != nil {
		change(job)
	}
	sim.schedule(0, func() { sim.submitAndPoll(job, 0) })
	sim.runUntil(20 * time.Second)
	machine := func(zone string, spot bool) *simWorker {
		sim.cloud.lastMachine++
		worker := &simWorker{sim: sim, id: fmt.Sprintf("vm-9%05d", sim.cloud.lastMachine), machineType: "big", zone: zone, spot: spot, session: 1, cpus: 64, up: true, leaseFrom: sim.now}
		worker.addr = worker.id + ":1"
		sim.workers[worker.addr] = worker
		return worker
	}
	return sim, job, machine("a", false), machine("b", true)
}

// startTask starts a task on the machine without any controller.
func (w *simWorker) startTask(job *simJob, index, attempt int) {
	w.launch(command{Verb: "launch", Task: fmt.Sprintf("%s/%d", job.id, index), Attempt: uint64(attempt)}, w.sim.now)
}

// rewriteRecord crashes all controllers, which restart after 100 ms, and replaces a job's record
// in the state service, or deletes it if value is nil. No watch reports the change.
func (s *simulation) rewriteRecord(job *simJob, value any) {
	for _, controller := range s.controllers {
		controller.crash(100 * time.Millisecond)
	}
	key := userapi.KeyPrefix + job.id
	if value == nil {
		delete(s.state.keys, key)
		return
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.state.put(key, raw)
}

// checkerCases are simulated days that each break a rule on purpose.
var checkerCases = []struct {
	rule rule
	name string
	run  func() *simulation
}{
	{ruleRanTwice, "a task starts on two machines", func() *simulation {
		sim, job, inZoneA, spotInZoneB := newCheckerSimulation(1, nil)
		inZoneA.startTask(job, 0, 8)
		spotInZoneB.startTask(job, 0, 9)
		return sim
	}},
	{ruleQuota, "a team exceeds its limit", func() *simulation {
		sim, job, inZoneA, _ := newCheckerSimulation(1, nil)
		for i := range 24 {
			inZoneA.startTask(job, 10+i, 1)
		}
		return sim
	}},
	{ruleWrongPlace, "in a zone that is not allowed", func() *simulation {
		sim, job, _, spotInZoneB := newCheckerSimulation(1, func(job *simJob) { job.zone = "a" })
		spotInZoneB.startTask(job, 5, 1)
		return sim
	}},
	{ruleWrongPlace, "on a spot machine that is not allowed", func() *simulation {
		sim, job, _, spotInZoneB := newCheckerSimulation(1, func(job *simJob) { job.spot = false })
		spotInZoneB.startTask(job, 5, 1)
		return sim
	}},
	{ruleWrongPlace, "on a machine type that is not allowed", func() *simulation {
		sim, job, _, spotInZoneB := newCheckerSimulation(1, func(job *simJob) { job.machineTypes = []string{"small"} })
		spotInZoneB.startTask(job, 5, 1)
		return sim
	}},
	{ruleWrongPlace, "in two zones where one is demanded", func() *simulation {
		sim, job, inZoneA, spotInZoneB := newCheckerSimulation(1, func(job *simJob) { job.sameZone = true })
		inZoneA.startTask(job, 5, 1)
		spotInZoneB.startTask(job, 6, 1)
		return sim
	}},
	{ruleWrongPlace, "more than half in one zone", func() *simulation {
		sim, job, inZoneA, _ := newCheckerSimulation(2, func(job *simJob) { job.spread = true })
		inZoneA.startTask(job, 5, 1)
		inZoneA.startTask(job, 6, 1)
		return sim
	}},
	{ruleRanCancelled, "a cancelled task stays", func() *simulation {
		sim, job, _, spotInZoneB := newCheckerSimulation(1, nil) // no controller knows of this machine, so none halts the task there
		job.cancel()
		sim.runUntil(25 * time.Second)
		spotInZoneB.tasks = append(spotInZoneB.tasks, &simTask{name: job.id + "/0", attempt: 7, phase: phaseRunning})
		sim.runUntil(75 * time.Second)
		return sim
	}},
	{ruleRanCancelled, "a cancelled task starts", func() *simulation {
		sim, job, inZoneA, _ := newCheckerSimulation(1, nil)
		job.cancel()
		sim.runUntil(70 * time.Second)
		inZoneA.startTask(job, 0, 9)
		return sim
	}},
	{ruleRanCancelled, "a cancelled task starts though no command can have been late", func() *simulation {
		sim, job, inZoneA, _ := newCheckerSimulation(1, nil)
		sim.checker.commandsPrompt = true
		job.cancel()
		sim.runUntil(30 * time.Second)
		inZoneA.startTask(job, 0, 9)
		return sim
	}},
	{ruleForgotten, "an accepted job is unknown", func() *simulation {
		sim, job, _, _ := newCheckerSimulation(1, nil)
		sim.rewriteRecord(job, nil)
		sim.runUntil(40 * time.Second)
		return sim
	}},
	{ruleForgotten, "nobody answers for a job", func() *simulation {
		sim, _, _, _ := newCheckerSimulation(1, nil)
		sim.stateFaults.outage = true
		sim.expectAnswersWithin(75 * time.Second)
		sim.runUntil(100 * time.Second)
		return sim
	}},
	{ruleNotDone, "a job is called done too early", func() *simulation {
		sim, job, _, _ := newCheckerSimulation(2, nil)
		sim.rewriteRecord(job, userapi.Record{Phase: userapi.PhaseDone, SubmittedMS: 1, TaskCount: 2})
		sim.runUntil(40 * time.Second)
		return sim
	}},
	{ruleWentBack, "a job is called cancelled unasked", func() *simulation {
		sim, job, _, _ := newCheckerSimulation(1, nil)
		sim.rewriteRecord(job, userapi.Record{Phase: userapi.PhaseCancelled, SubmittedMS: 1})
		sim.runUntil(40 * time.Second)
		return sim
	}},
	{ruleWentBack, "a cancelled job is called pending again", func() *simulation {
		sim, job, _, _ := newCheckerSimulation(1, nil)
		var pending userapi.Record
		if err := json.Unmarshal(sim.state.keys[userapi.KeyPrefix+job.id].value, &pending); err != nil {
			panic(err)
		}
		job.cancel()
		sim.runUntil(30 * time.Second)
		sim.rewriteRecord(job, pending)
		sim.runUntil(50 * time.Second)
		return sim
	}},
	{ruleInvented, "a job that nobody submitted is known", func() *simulation {
		sim, job, _, _ := newCheckerSimulation(1, nil)
		value := sim.state.keys[userapi.KeyPrefix+job.id].value
		sim.state.put(userapi.KeyPrefix+"wk-999999", value)
		sim.state.log = append(sim.state.log, storedChange{userapi.KeyPrefix + "wk-999999", value, sim.state.revision})
		sim.state.notifyWatches()
		sim.sendInvalidRequests(time.Second)
		sim.runUntil(25 * time.Second)
		return sim
	}},
	{ruleNeglected, "a job waits beside free machines", func() *simulation {
		sim, _, inZoneA, _ := newCheckerSimulation(1, nil)
		sim.checker.faultsOverAt = sim.now
		unknown := newJob(jobSpec{id: "wk-000002", team: "red", tasks: 1, cpus: 1}) // no controller knows of it
		unknown.accepted = true
		sim.jobs[unknown.id] = unknown
		inZoneA.tasks = nil
		sim.runUntil(sim.now + 120*time.Second)
		return sim
	}},
	{ruleInvalidAccepted, "a job above its team's limit is accepted", func() *simulation {
		sim, _, _, _ := newCheckerSimulation(1, nil)
		sim.settings.Deployment.Teams[0].CPUsMax = 100 // users assume teamLimitCPUs, 24
		for _, controller := range sim.controllers {
			controller.crash(100 * time.Millisecond)
		}
		sim.schedule(15*time.Second, func() { sim.sendInvalidRequests(time.Second) })
		sim.runUntil(45 * time.Second)
		return sim
	}},
}

// TestCheckerCatchesViolations tests the rule checker itself: on a day that breaks a rule it
// must report a violation of that rule.
func TestCheckerCatchesViolations(t *testing.T) {
	for _, c := range checkerCases {
		t.Run(fmt.Sprintf("%s: %s", c.rule, c.name), func(t *testing.T) {
			checker := c.run().checker
			isReported := slices.ContainsFunc(checker.violations, func(broken violation) bool { return broken.rule == c.rule })
			if !isReported {
				t.Errorf("no violation of %s is reported; got: %v", c.rule, checker.violations)
			}
		})
	}
}
