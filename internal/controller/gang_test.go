package controller

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// aGang is a gang of the simulated deployment.
func newGang(i, tasks int, cpus float64) *simJob {
	return newJob(jobSpec{
		id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: tasks, cpus: cpus,
		runTime: 4 * time.Second, spot: true, gang: true,
	})
}

// TestGangsUnderFaults plays gangs with little room and troubles around their
// starts: losses of machines before, at and after them, new owners at every step,
// late reports, deaf and hanging machines, zones that are cut off, notices and
// cancellations. No rule is broken, and every gang ends once all is over.
func TestGangsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.heartbeats.lateCopyShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "copies")
		sim.network.lateShare = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")
		sim.cloud.perKind = rapid.SampledFrom([]int{2, 4}).Draw(t, "machines of a kind")
		if rapid.Bool().Draw(t, "several blocks") {
			sim.settings.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
			sim.restart()
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "gangs") {
			job := newGang(i, rapid.IntRange(2, 6).Draw(t, "tasks"), rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"))
			job.checkpointSeconds = rapid.SampledFrom([]float64{0, 2}).Draw(t, "save")
			job.sameZone = rapid.Bool().Draw(t, "one zone")
			job.spread = !job.sameZone && rapid.Bool().Draw(t, "spread")
			job.runTime = time.Duration(rapid.IntRange(500, 15000).Draw(t, "length")) * time.Millisecond
			cancel := time.Duration(0)
			if rapid.IntRange(0, 4).Draw(t, "cancelled") == 0 {
				cancel = time.Duration(rapid.IntRange(100, 20000).Draw(t, "cancel after")) * time.Millisecond
			}
			sim.after(time.Duration(rapid.IntRange(0, 15000).Draw(t, "at"))*time.Millisecond, func() { sim.submitAndPoll(job, cancel) })
		}
		some := func(which int, fn func(worker *simWorker)) {
			if n := len(sim.cloud.workers); n > 0 {
				fn(sim.cloud.workers[which%n])
			}
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(1000, 45000).Draw(t, "fault at")) * time.Millisecond
			span := time.Duration(rapid.IntRange(200, 20000).Draw(t, "span")) * time.Millisecond
			which := rapid.IntRange(0, 11).Draw(t, "which")
			kind := rapid.IntRange(0, 8).Draw(t, "kind")
			sim.after(at, func() {
				switch kind {
				case 0:
					some(which, func(worker *simWorker) { worker.die() })
				case 1:
					some(which, func(worker *simWorker) { worker.faults.hungUntil = sim.now + span })
				case 2:
					some(which, func(worker *simWorker) {
						worker.faults.deaf = true
						sim.after(span, func() { worker.faults.deaf = false })
					})
				case 3:
					some(which, func(worker *simWorker) { worker.takeAfterNotice(span) })
				case 4:
					some(which, func(worker *simWorker) { worker.faults.failsTasks = true })
				case 5: // a new owner, within a fraction of a second
					for _, controller := range sim.controllers {
						if controller.node != nil && controller.node.owning() {
							controller.crash(span / 40)
						}
					}
				case 6:
					sim.controllers[which%3].crash(span / 2)
				case 7:
					zone := []string{"a", "b"}[which%2]
					for _, worker := range sim.cloud.workers {
						if worker.zone == zone {
							worker.faults.partitionedUntil = sim.now + span
						}
					}
				case 8: // the last commit of the owner gets no answer
					sim.network.lateShare = 0.3
					sim.after(300*time.Millisecond, func() { sim.network.lateShare = 0 })
				}
			})
		}
		sim.after(66*time.Second, func() { sim.network.lateShare, sim.heartbeats.lateCopyShare = 0, 0 })
		sim.run(280 * time.Second)
		sim.checkRulesAndCompletion(t)
	})
}

// TestGangRunsTogether: on a quiet day each gang starts once, whole, with one
// attempt, and is pending until it runs.
func TestGangRunsTogether(t *testing.T) {
	sim := newSimulation(31)
	for i := range 6 {
		job := newGang(i, 2+i, 1)
		job.sameZone = i%2 == 0
		sim.after(time.Duration(i*4)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	early := 0
	for at := time.Second; at < 90*time.Second; at += 100 * time.Millisecond {
		sim.run(at)
		for _, job := range sim.jobs {
			n := sim.controllers[0].node
			if e := n.cat.Get(job.id); e != nil && e.Phase == "" && n.store.RunningTasks(job.id) > 0 && job.gangStarts == 0 {
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

// TestTwoGangsTooLittleRoom: two gangs, each of which takes most of the machines
// that can be had, do not wait for each other's places.
func TestTwoGangsTooLittleRoom(t *testing.T) {
	sim := newSimulation(32)
	sim.cloud.available = 3
	for i := range 2 {
		job := newGang(i, 5, 2)
		sim.after(time.Duration(2000+i*50)*time.Millisecond, func() { sim.submitAndPoll(job, 0) })
	}
	small := newJob(jobSpec{id: "wk-000009", team: "red", tasks: 12, cpus: 1, runTime: 3 * time.Second, spot: true})
	sim.after(time.Second, func() { sim.submitAndPoll(small, 0) })
	sim.run(120 * time.Second)
	sim.checkRulesAndCompletion(t)
}

// TestLostBeforeTheStart: a task of a gang that waits is replaced under the same
// number when its machine dies; the gang starts without a second attempt.
func TestLostBeforeTheStart(t *testing.T) {
	for seed := range uint64(8) {
		sim := newSimulation(40 + seed)
		job := newGang(1, 4, 4) // one on each machine
		sim.after(2*time.Second, func() { sim.submitAndPoll(job, 0) })
		killed := false
		for at := 2 * time.Second; at < 60*time.Second && !killed; at += 10 * time.Millisecond {
			sim.run(at)
			gang := job.attempts[1]
			if gang == nil || gang.startedAt > 0 {
				continue
			}
			for _, worker := range sim.cloud.workers {
				for _, existing := range worker.tasks {
					if existing.phase == "fetching" && len(gang.members) > 0 {
						worker.takeAfterNotice(10 * time.Millisecond) // and its machine is gone
						killed = true
					}
				}
				if killed {
					break
				}
			}
		}
		sim.run(130 * time.Second)
		sim.checkRulesAndCompletion(t)
		if !killed {
			t.Error("no task was caught before the start")
		}
		if len(job.attempts) > 2 {
			t.Errorf("seed %d: %d attempts", seed, len(job.attempts))
		}
	}
}

// TestOrderlyStop: a gang on a machine that the cloud takes saves, all its tasks
// in time, and goes on from there.
func TestOrderlyStop(t *testing.T) {
	sim := newSimulation(33)
	job := newGang(1, 4, 4)
	job.runTime, job.checkpointSeconds = 40*time.Second, 2
	sim.after(2*time.Second, func() { sim.submitAndPoll(job, 0) })
	var at time.Duration
	for now := 2 * time.Second; now < 100*time.Second; now += 100 * time.Millisecond {
		sim.run(now)
		if gang := job.attempts[1]; at == 0 && gang != nil && gang.startedAt > 0 && now > gang.startedAt+10*time.Second {
			at = now
			for _, worker := range sim.cloud.workers {
				if len(worker.tasks) > 0 {
					worker.takeAfterNotice(12 * time.Second)
					break
				}
			}
		}
	}
	sim.run(150 * time.Second)
	sim.checkRulesAndCompletion(t)
	gang := job.attempts[1]
	if gang == nil || !gang.checkpointed {
		t.Fatalf("the first attempt was not saved: %+v", gang)
	}
	if kept := gang.haltedAt - gang.startedAt; kept < 15*time.Second || job.gangStarts != 2 {
		t.Errorf("saved after %v, %d starts", kept, job.gangStarts)
	}
}

// TestGangInSeveralBlocks: a gang that no single block would hold runs all the
// same, divided under one attempt, also when its owners change on the way.
func TestGangInSeveralBlocks(t *testing.T) {
	for _, crash := range []bool{false, true} {
		sim := newSimulation(34)
		sim.settings.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
		sim.cloud.perKind = 2
		sim.restart()
		job := newGang(1, 4, 4) // four machines of four processors, two in each block
		job.zone = "b"
		sim.after(2*time.Second, func() { sim.submitAndPoll(job, 0) })
		if crash {
			sim.after(45*time.Second, func() {
				for _, controller := range sim.controllers {
					controller.crash(500 * time.Millisecond)
				}
			})
		}
		sim.run(240 * time.Second)
		sim.checkRulesAndCompletion(t)
		if job.gangStarts == 0 {
			t.Error("it never started")
		}
	}
}

// TestGangAboveTheLimit: 422, but never for one that has been accepted.
func TestGangAboveTheLimit(t *testing.T) {
	sim := newSimulation(35)
	sim.run(12 * time.Second)
	ask := func(job *simJob) (status int) {
		sim.jobs[job.id] = job
		sim.controllers[0].request("users", "POST", "/work", job.body(), 5*time.Second, func(response http1.Response, err error) { status = response.Status })
		sim.run(sim.now + 2*time.Second)
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
		controller.node.set.Deployment.Teams[0].CPUsMax, controller.node.set.Deployment.Teams[1].CPUsMax = 10, 10
	}
	if got := ask(job); got != 200 {
		t.Errorf("known already: %d", got)
	}
}

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

// TestLimitsFallInMidRun: the state service takes less from some moment on. What
// waits is not lost, and nothing is written over the limits that the settings
// tell.
func TestLimitsFallInMidRun(t *testing.T) {
	sim := newSimulation(36)
	ops, kb, rate := 1, 1.0, 8.0
	sim.settings.Deployment.State.WriteRPS = 15
	sim.settings.Deployment.State.Next = &settings.NextLimits{TxnOps: &ops, ValueKB: &kb, WriteRPS: &rate}
	sim.stateLimits.writesPerSecond = 15
	sim.restart()
	for i := range 14 {
		job := newGang(i, 2+i%5, 1)
		if job.gang = i%3 > 0; !job.gang {
			job.tasks = 14
		}
		sim.after(time.Duration(2+i*3)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	sim.after(20*time.Second, func() {
		sim.stateLimits.operations, sim.stateLimits.valueBytes, sim.stateLimits.writesPerSecond = 1, 1024, 8
	})
	sim.run(200 * time.Second)
	sim.checkRulesAndCompletion(t)
}

// TestLoneMachineDies guards against a fault of a generated day: the only machine
// died, every owner heard nothing and gave the block up, the next one likewise,
// and no lease ever ran out: the work on it waited for ever.
func TestLoneMachineDies(t *testing.T) {
	for seed := uint64(30); seed < 45; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { loneMachineDies(t, newSimulation(seed)) })
	}
}

func loneMachineDies(t *testing.T, sim *simulation) {
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 3, cpus: 1, runTime: 60 * time.Second, spot: true})
	sim.after(time.Second, func() { sim.submitAndPoll(job, 0) })
	sim.run(15 * time.Second)
	// Every node owns the block once and hears the machine.
	owned := map[string]bool{}
	for sim.now < 150*time.Second && len(owned) < 3 {
		sim.run(sim.now + 500*time.Millisecond)
		for _, controller := range sim.controllers {
			for _, tracked := range controller.node.owners[0].workers.Workers() {
				if controller.node.owning() && tracked.HasReported {
					owned[controller.name] = true
				}
			}
		}
		for _, controller := range sim.controllers {
			sim.network.partitions["workers|"+controller.name] = owned[controller.name] && len(owned) < 3
			for _, other := range sim.controllers {
				if other != controller {
					sim.network.partitions[controller.name+"|"+other.name] = len(owned) < 3 // so that no report is passed on
				}
			}
		}
	}
	if len(owned) < 3 {
		t.Fatalf("only %v have owned the block", owned)
	}
	clear(sim.network.partitions)
	for _, worker := range sim.cloud.workers {
		worker.die()
	}
	sim.run(sim.now + 150*time.Second)
	sim.checkRulesAndCompletion(t)
}
