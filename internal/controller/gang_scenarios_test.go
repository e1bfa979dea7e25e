package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/http1"
)

// TestGangStartsOnceWithAllTasks checks that without faults each gang starts once with all of
// its tasks, in its first attempt, and is not reported as running before that.
func TestGangStartsOnceWithAllTasks(t *testing.T) {
	sim := newSimulation(31)
	for i := range 6 {
		job := newGang(i, 2+i, 1)
		job.sameZone = i%2 == 0
		sim.schedule(time.Duration(i*4)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	earlyReports := 0
	for at := time.Second; at < 90*time.Second; at += 100 * time.Millisecond {
		sim.runUntil(at)
		for _, job := range sim.jobs {
			node := sim.controllers[0].node
			if entry := node.catalog.Get(job.id); entry != nil && entry.Phase == "" && node.taskStates.RunningGangTasks(job.id) > 0 && job.gangStarts == 0 {
				earlyReports++
			}
		}
	}
	if earlyReports > 0 {
		t.Errorf("%d times a gang was reported as running before it started, want 0", earlyReports)
	}
	sim.checkRulesAndCompletion(t)
	for _, job := range sim.jobs {
		if job.gangStarts != 1 || len(job.attempts) != 1 {
			t.Errorf("%s: %d starts, %d attempts; want 1 and 1", job.id, job.gangStarts, len(job.attempts))
		}
	}
}

// TestCompetingGangsDoNotDeadlock checks two gangs each of which needs most of the available
// machines: neither reserves capacity that the other one waits for, and both run.
func TestCompetingGangsDoNotDeadlock(t *testing.T) {
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

// TestGangMemberLostBeforeStartIsReplaced checks that a gang that loses a machine before its start
// completes with at most two attempts. A lost task is replaced under the same attempt as long as
// others of the gang remain; if the machine had all of them, a second attempt begins.
func TestGangMemberLostBeforeStartIsReplaced(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(40 + seed)
			job := newGang(1, 4, 4) // a small machine has room for one task, a big one for all
			sim.schedule(2*time.Second, func() { sim.submitAndPoll(job, 0) })
			reclaimed := false
			for at := 2 * time.Second; at < 60*time.Second && !reclaimed; at += 10 * time.Millisecond {
				sim.runUntil(at)
				gang := job.attempts[1]
				if gang == nil || gang.startedAt > 0 {
					continue
				}
				for _, worker := range sim.cloud.workers {
					for _, existing := range worker.tasks {
						if existing.phase == phaseFetching && len(gang.members) > 0 {
							worker.reclaimAfterNotice(10 * time.Millisecond) // its machine is gone 10 ms later
							reclaimed = true
						}
					}
					if reclaimed {
						break
					}
				}
			}
			sim.runUntil(130 * time.Second)
			sim.checkRulesAndCompletion(t)
			if !reclaimed {
				t.Error("no machine was reclaimed before the start of the gang")
			}
			if len(job.attempts) > 2 {
				t.Errorf("seed %d: %d attempts, want at most 2", seed, len(job.attempts))
			}
		})
	}
}

// TestGangCheckpointsWhenMachineIsReclaimed checks that all tasks of a gang save a checkpoint in
// time when the cloud reclaims one of its machines, and that the gang resumes from it.
func TestGangCheckpointsWhenMachineIsReclaimed(t *testing.T) {
	sim := newSimulation(33)
	job := newGang(1, 4, 4)
	job.runTime, job.checkpointSeconds = 40*time.Second, 2
	sim.schedule(2*time.Second, func() { sim.submitAndPoll(job, 0) })
	var noticeAt time.Duration
	for now := 2 * time.Second; now < 100*time.Second; now += 100 * time.Millisecond {
		sim.runUntil(now)
		if gang := job.attempts[1]; noticeAt == 0 && gang != nil && gang.startedAt > 0 && now > gang.startedAt+10*time.Second {
			noticeAt = now
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
		t.Fatalf("the first attempt saved no checkpoint: %+v", gang)
	}
	if saved := gang.haltedAt - gang.startedAt; saved < 15*time.Second || job.gangStarts != 2 {
		t.Errorf("checkpoint %v after the start, want at least 15s; %d starts, want 2", saved, job.gangStarts)
	}
}

// TestGangSpansShards checks that a gang that fits in no single shard runs, divided over the
// shards under one attempt, also when the shards change owners in the meantime.
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
				t.Error("the gang has not started after 240 s")
			}
		})
	}
}

// TestGangAboveTeamLimitIsRefused checks that a gang that needs more CPUs than its team's limit
// gets 422, but never if it was accepted under an earlier limit.
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
		t.Errorf("submission of a gang of 28 CPUs with a limit of 24: status %d, want 422", got)
	}
	delete(sim.jobs, job.id)
	job = newGang(3, 6, 4)
	if got := ask(job); got != 201 {
		t.Errorf("submission of a gang of 24 CPUs with a limit of 24: status %d, want 201", got)
	}
	for _, controller := range sim.controllers {
		controller.node.settings.Deployment.Teams[0].CPUsMax, controller.node.settings.Deployment.Teams[1].CPUsMax = 10, 10
	}
	if got := ask(job); got != 200 {
		t.Errorf("repeated submission of the accepted gang with a limit of 10: status %d, want 200", got)
	}
}
