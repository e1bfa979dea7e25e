package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/userapi"
)

// The checker of the simulated deployment is itself tried: a play that breaks a rule
// must be caught, by that rule's name.

// begun is a deployment with one job of so many tasks that run, and two machines
// besides, on which a play may start what it likes.
func newCheckerTrial(tasks int, change func(*simJob)) (sim *simulation, job *simJob, a, b *simWorker) {
	sim = newSimulation(1)
	job = newJob(jobSpec{id: "wk-000001", team: "red", tasks: tasks, cpus: 1, runTime: time.Hour, spot: true})
	if change != nil {
		change(job)
	}
	sim.after(0, func() { sim.submitAndPoll(job, 0) })
	sim.run(20 * time.Second)
	machine := func(zone string, spot bool) *simWorker {
		sim.cloud.lastMachine++
		worker := &simWorker{sim: sim, id: fmt.Sprintf("vm-9%05d", sim.cloud.lastMachine), machineType: "big", zone: zone, spot: spot, session: 1, cpus: 64, up: true, leaseFrom: sim.now}
		worker.addr = worker.id + ":1"
		sim.workers[worker.addr] = worker
		return worker
	}
	return sim, job, machine("a", false), machine("b", true)
}

func (w *simWorker) startTask(job *simJob, index, attempt int) {
	w.launch(command{Verb: "launch", Task: fmt.Sprintf("%s/%d", job.id, index), Attempt: uint64(attempt)})
}

// rewrite changes a job's record behind the controllers' backs and starts them anew.
func (s *simulation) rewrite(job *simJob, value any) {
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
	s.state.revision++
	s.state.keys[key] = &storedValue{raw, s.state.revision, 0}
}

func TestTheCheckerCatches(t *testing.T) {
	type play struct {
		rule rule
		do   func() *simulation
	}
	for _, p := range []play{
		{ruleRanTwice, func() *simulation {
			sim, job, a, b := newCheckerTrial(1, nil)
			a.startTask(job, 0, 8)
			b.startTask(job, 0, 9)
			return sim
		}},
		{ruleQuota, func() *simulation {
			sim, job, a, _ := newCheckerTrial(1, nil)
			for i := range 24 {
				a.startTask(job, 10+i, 1)
			}
			return sim
		}},
		{ruleWrongPlace, func() *simulation { // the zone
			sim, job, _, b := newCheckerTrial(1, func(job *simJob) { job.zone = "a" })
			b.startTask(job, 5, 1)
			return sim
		}},
		{ruleWrongPlace, func() *simulation { // a spot machine
			sim, job, _, b := newCheckerTrial(1, func(job *simJob) { job.spot = false })
			b.startTask(job, 5, 1)
			return sim
		}},
		{ruleWrongPlace, func() *simulation { // the type
			sim, job, _, b := newCheckerTrial(1, func(job *simJob) { job.machineTypes = []string{"small"} })
			b.startTask(job, 5, 1)
			return sim
		}},
		{ruleWrongPlace, func() *simulation { // one zone for all
			sim, job, a, b := newCheckerTrial(1, func(job *simJob) { job.sameZone = true })
			a.startTask(job, 5, 1)
			b.startTask(job, 6, 1)
			return sim
		}},
		{ruleWrongPlace, func() *simulation { // half in a zone at most
			sim, job, a, _ := newCheckerTrial(2, func(job *simJob) { job.spread = true })
			a.startTask(job, 5, 1)
			a.startTask(job, 6, 1)
			return sim
		}},
		{ruleRanCancelled, func() *simulation { // it stays
			sim, job, _, b := newCheckerTrial(1, nil) // nobody is told of b, so nobody halts it there
			job.cancel()
			sim.run(25 * time.Second)
			b.tasks = append(b.tasks, &simTask{name: job.id + "/0", attempt: 7, phase: "running"})
			sim.run(75 * time.Second)
			return sim
		}},
		{ruleRanCancelled, func() *simulation { // it starts
			sim, job, a, _ := newCheckerTrial(1, nil)
			job.cancel()
			sim.run(70 * time.Second)
			a.startTask(job, 0, 9)
			return sim
		}},
		{ruleRanCancelled, func() *simulation { // it starts, where no order can have been late
			sim, job, a, _ := newCheckerTrial(1, nil)
			sim.checker.commandsPrompt = true
			job.cancel()
			sim.run(30 * time.Second)
			a.startTask(job, 0, 9)
			return sim
		}},
		{ruleForgotten, func() *simulation {
			sim, job, _, _ := newCheckerTrial(1, nil)
			sim.rewrite(job, nil)
			sim.run(40 * time.Second)
			return sim
		}},
		{ruleForgotten, func() *simulation { // nobody answers
			sim, _, _, _ := newCheckerTrial(1, nil)
			sim.stateFaults.outage = true
			sim.expectAnswersWithin(75 * time.Second)
			sim.run(100 * time.Second)
			return sim
		}},
		{ruleNotDone, func() *simulation {
			sim, job, _, _ := newCheckerTrial(2, nil)
			sim.rewrite(job, userapi.Record{Phase: userapi.PhaseDone, SubmittedMS: 1, TaskCount: 2})
			sim.run(40 * time.Second)
			return sim
		}},
		{ruleWentBack, func() *simulation { // called cancelled unasked
			sim, job, _, _ := newCheckerTrial(1, nil)
			sim.rewrite(job, userapi.Record{Phase: userapi.PhaseCancelled, SubmittedMS: 1})
			sim.run(40 * time.Second)
			return sim
		}},
		{ruleWentBack, func() *simulation { // pending after it was cancelled
			sim, job, _, _ := newCheckerTrial(1, nil)
			var before userapi.Record
			if err := json.Unmarshal(sim.state.keys[userapi.KeyPrefix+job.id].value, &before); err != nil {
				panic(err)
			}
			job.cancel()
			sim.run(30 * time.Second)
			sim.rewrite(job, before)
			sim.run(50 * time.Second)
			return sim
		}},
		{ruleInvented, func() *simulation {
			sim, job, _, _ := newCheckerTrial(1, nil)
			value := sim.state.keys[userapi.KeyPrefix+job.id].value
			sim.state.revision++
			sim.state.keys[userapi.KeyPrefix+"wk-999999"] = &storedValue{value, sim.state.revision, 0}
			sim.state.log = append(sim.state.log, storedChange{userapi.KeyPrefix + "wk-999999", value, sim.state.revision})
			sim.state.notifyWatches()
			sim.sendMistakenRequests(time.Second)
			sim.run(25 * time.Second)
			return sim
		}},
		{ruleNeglected, func() *simulation {
			sim, _, a, _ := newCheckerTrial(1, nil)
			sim.checker.faultsOverAt = sim.now
			unknown := newJob(jobSpec{id: "wk-000002", team: "red", tasks: 1, cpus: 1}) // no controller knows of it
			unknown.accepted = true
			sim.jobs[unknown.id] = unknown
			a.tasks = nil
			sim.run(sim.now + 120*time.Second)
			return sim
		}},
		{ruleInvalidAccepted, func() *simulation {
			sim, _, _, _ := newCheckerTrial(1, nil)
			sim.settings.Deployment.Teams[0].CPUsMax = 100 // the users' word is 24
			for _, controller := range sim.controllers {
				controller.crash(100 * time.Millisecond)
			}
			sim.after(15*time.Second, func() { sim.sendMistakenRequests(time.Second) })
			sim.run(45 * time.Second)
			return sim
		}},
	} {
		caught := false
		sim := p.do()
		for _, broken := range sim.checker.violations {
			caught = caught || broken.rule == p.rule
		}
		if !caught {
			t.Errorf("%s is not caught; found: %v", p.rule, sim.checker.violations)
		}
	}
}
