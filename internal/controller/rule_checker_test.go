package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"lemonmoor/internal/userapi"
)

// newCheckerTrial is a deployment with one job of so many tasks that run, and two machines
// besides, one of them a spot machine in another zone, on which a trial starts what it likes.
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

// startTask starts a task that no controller knows of.
func (w *simWorker) startTask(job *simJob, index, attempt int) {
	w.launch(command{Verb: "launch", Task: fmt.Sprintf("%s/%d", job.id, index), Attempt: uint64(attempt)})
}

// rewrite changes a job's record behind the controllers' backs and starts them anew.
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

// checkerTrials are days on which a rule is broken on purpose.
var checkerCases = []struct {
	rule rule
	name string
	play func() *simulation
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
		sim, job, _, spotInZoneB := newCheckerSimulation(1, nil) // no controller is told of this machine, so nobody halts it there
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
		var before userapi.Record
		if err := json.Unmarshal(sim.state.keys[userapi.KeyPrefix+job.id].value, &before); err != nil {
			panic(err)
		}
		job.cancel()
		sim.runUntil(30 * time.Second)
		sim.rewriteRecord(job, before)
		sim.runUntil(50 * time.Second)
		return sim
	}},
	{ruleInvented, "a job that nobody submitted is known", func() *simulation {
		sim, job, _, _ := newCheckerSimulation(1, nil)
		value := sim.state.keys[userapi.KeyPrefix+job.id].value
		sim.state.put(userapi.KeyPrefix+"wk-999999", value)
		sim.state.log = append(sim.state.log, storedChange{userapi.KeyPrefix + "wk-999999", value, sim.state.revision})
		sim.state.notifyWatches()
		sim.sendMistakenRequests(time.Second)
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
		sim.settings.Deployment.Teams[0].CPUsMax = 100 // users know of 24
		for _, controller := range sim.controllers {
			controller.crash(100 * time.Millisecond)
		}
		sim.schedule(15*time.Second, func() { sim.sendMistakenRequests(time.Second) })
		sim.runUntil(45 * time.Second)
		return sim
	}},
}

// TestCheckerCatchesViolations tries the rule checker itself: a day that breaks a rule must
// be caught, by that rule's name.
func TestCheckerCatchesViolations(t *testing.T) {
	for _, trial := range checkerCases {
		t.Run(fmt.Sprintf("%s: %s", trial.rule, trial.name), func(t *testing.T) {
			checker := trial.play().checker
			caught := slices.ContainsFunc(checker.violations, func(broken violation) bool { return broken.rule == trial.rule })
			if !caught {
				t.Errorf("%s is not caught; found: %v", trial.rule, checker.violations)
			}
		})
	}
}
