package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/http1"
)

// TestGangStartsOnceAndWhole: on a quiet day each gang starts once, whole, with one
// attempt, and is pending until it runs.
func TestGangStartsOnceAndWhole(t *testing.T) {
	sim := newSimulation(31)
	for i := range 6 {
		job := newGang(i, 2+i, 1)
		job.sameZone = i%2 == 0
		sim.schedule(time.Duration(i*4)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	early := 0
	for at := time.Second; at < 90*time.Second; at += 100 * time.Millisecond {
		sim.runUntil(at)
		for _, job := range sim.jobs {
			node := sim.controllers[0].node
			if e := node.catalog.Get(job.id); e != nil && e.Phase == "" && node.taskStates.RunningGangTasks(job.id) > 0 && job.gangStarts == 0 {
				early++
			}
		}
	}
	if early > 0 {
		t.Errorf("%d times a gang was shown as running before it ran", early)
	}
	sim.checkRulesAndCompletion(t)
	for _, job := range sim.jobs {
		if job.gangStarts != 1 || len(job.attempts) != 1 {
			t.Errorf("%s: %d starts, %d attempts", job.id, job.gangStarts, len(job.attempts))
		}
	}
}

// TestGangsHoldNoCapacityAgainstEachOther: two gangs, each of which takes most of the machines
// that can be had, do not wait for each other's places.
func TestGangsHoldNoCapacityAgainstEachOther(t *testing.T) {
	sim := newSimulation(32)
	sim.cloud.available = 3
	for i := range 2 {
		job := newGang(i, 5, 2)
		sim.schedule(time.Duration(2000+i*50)*time.Millisecond, func() { sim.submitAndPoll(job, 0) })
	}
	small := newJob(jobSpec{id: "wk-000009", team: "red", tasks: 12, cpus: 1, runTime: 3 * time.Second, spot: true})
	sim.schedule(time.Second, func() { sim.submitAndPoll(small, 0) })
	sim.runUntil(120 * time.Second)
	sim.checkRulesAndCompletion(t)
}

// TestGangMemberLostBeforeStartIsReplaced: a task of a gang that waits is replaced under the same
// number when its machine dies; the gang starts without a second attempt.
func TestGangMemberLostBeforeStartIsReplaced(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(40 + seed)
			job := newGang(1, 4, 4) // one on each machine
			sim.schedule(2*time.Second, func() { sim.submitAndPoll(job, 0) })
			killed := false
			for at := 2 * time.Second; at < 60*time.Second && !killed; at += 10 * time.Millisecond {
				sim.runUntil(at)
				gang := job.attempts[1]
				if gang == nil || gang.startedAt > 0 {
					continue
				}
				for _, worker := range sim.cloud.workers {
					for _, existing := range worker.tasks {
						if existing.phase == phaseFetching && len(gang.members) > 0 {
							worker.reclaimAfterNotice(10 * time.Millisecond) // and its machine is gone
							killed = true
						}
					}
					if killed {
						break
					}
				}
			}
			sim.runUntil(130 * time.Second)
			sim.checkRulesAndCompletion(t)
			if !killed {
				t.Error("no task was caught before the start")
			}
			if len(job.attempts) > 2 {
				t.Errorf("seed %d: %d attempts", seed, len(job.attempts))
			}
		})
	}
}

// TestGangSavesWhenItsMachineIsTaken: a gang on a machine that the cloud takes saves, all its tasks
// in time, and goes on from there.
func TestGangSavesWhenItsMachineIsTaken(t *testing.T) {
	sim := newSimulation(33)
	job := newGang(1, 4, 4)
	job.runTime, job.checkpointSeconds = 40*time.Second, 2
	sim.schedule(2*time.Second, func() { sim.submitAndPoll(job, 0) })
	var at time.Duration
	for now := 2 * time.Second; now < 100*time.Second; now += 100 * time.Millisecond {
		sim.runUntil(now)
		if gang := job.attempts[1]; at == 0 && gang != nil && gang.startedAt > 0 && now > gang.startedAt+10*time.Second {
			at = now
			for _, worker := range sim.cloud.workers {
				if len(worker.tasks) > 0 {
					worker.reclaimAfterNotice(12 * time.Second)
					break
				}
			}
		}
	}
	sim.runUntil(150 * time.Second)
	sim.checkRulesAndCompletion(t)
	gang := job.attempts[1]
	if gang == nil || !gang.checkpointed {
		t.Fatalf("the first attempt was not saved: %+v", gang)
	}
	if kept := gang.haltedAt - gang.startedAt; kept < 15*time.Second || job.gangStarts != 2 {
		t.Errorf("saved after %v, %d starts", kept, job.gangStarts)
	}
}

// TestGangSpansShards: a gang that no single shard would hold runs all the
// same, divided under one attempt, also when its owners change on the way.
func TestGangSpansShards(t *testing.T) {
	for _, crash := range []bool{false, true} {
		t.Run(fmt.Sprintf("crash %v", crash), func(t *testing.T) {
			sim := newSimulation(34)
			sim.cloud.availablePerKind = 2
			sim.useTwoShards()
			job := newGang(1, 4, 4) // four machines of four processors, two in each shard
			job.zone = "b"
			sim.schedule(2*time.Second, func() { sim.submitAndPoll(job, 0) })
			if crash {
				sim.schedule(45*time.Second, func() {
					for _, controller := range sim.controllers {
						controller.crash(500 * time.Millisecond)
					}
				})
			}
			sim.runUntil(240 * time.Second)
			sim.checkRulesAndCompletion(t)
			if job.gangStarts == 0 {
				t.Error("it never started")
			}
		})
	}
}

// TestGangAboveTeamLimitIsRefused: 422, but never for one that has been accepted.
func TestGangAboveTeamLimitIsRefused(t *testing.T) {
	sim := newSimulation(35)
	sim.runUntil(12 * time.Second)
	ask := func(job *simJob) (status int) {
		sim.jobs[job.id] = job
		sim.controllers[0].request("users", "POST", "/work", job.body(), 5*time.Second, func(response http1.Response, _ error) { status = response.Status })
		sim.runUntil(sim.now + 2*time.Second)
		return status
	}
	job := newGang(1, 7, 4)
	if got := ask(job); got != 422 {
		t.Errorf("28 of 24 processors: %d", got)
	}
	delete(sim.jobs, job.id)
	job = newGang(3, 6, 4)
	if got := ask(job); got != 201 {
		t.Errorf("24 of 24 processors: %d", got)
	}
	for _, controller := range sim.controllers {
		controller.node.settings.Deployment.Teams[0].CPUsMax, controller.node.settings.Deployment.Teams[1].CPUsMax = 10, 10
	}
	if got := ask(job); got != 200 {
		t.Errorf("known already: %d", got)
	}
}
