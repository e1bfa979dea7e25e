package controller

import (
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// failureDay is a deployment of few big machines, on which small urgent jobs run all the time so that
// no machine is idle, and a job some of whose tasks fail on machines that are sound otherwise.
type failureDay struct {
	*simulation
	job *simJob
}

// failureJob is the job whose tasks fail, unless a test changes it.
var failureJob = jobSpec{id: "wk-900000", team: "red", tasks: 1, cpus: 4, runTime: 5 * second, machineTypes: []string{"big"}}

// failingAt is when the job is submitted and fails.
const failingAt = 20 * second

// newFailureDay returns a day with up to a number of machines.
func newFailureDay(seed uint64, machines int, spec jobSpec) *failureDay {
	day := &failureDay{simulation: newSimulation(seed), job: newJob(spec)}
	day.cloud.available = machines
	for i := range 40 {
		small := newJob(jobSpec{id: jobID(i), team: "blue", tasks: 2, cpus: 1, runTime: 6 * second, urgent: true, machineTypes: []string{"big"}})
		day.schedule(time.Duration(i*5)*second, func() { day.submitAndPoll(small, 0) })
	}
	day.schedule(failingAt, func() { day.submitAndPoll(day.job, 0) })
	return day
}

// failStarts makes the next starts of the job's tasks on each machine that is up fail.
func (d *failureDay) failStarts(startsEach int) {
	d.schedule(failingAt, func() {
		for _, worker := range d.cloud.workers {
			worker.faults.failingStarts = map[string]int{d.job.id: startsEach}
		}
	})
}

// failures returns how many tasks have failed on all machines.
func (d *failureDay) failures() int {
	failures := 0
	for _, worker := range d.cloud.workers {
		failures += worker.failures
	}
	return failures
}

// TestTaskThatFailedStartsAgain guards against a task that waits for ever beside the only machine
// since it has failed there once: by the users' rule no job waits for 90 s while a machine that fits
// has room.
func TestTaskThatFailedStartsAgain(t *testing.T) {
	for _, test := range []struct {
		name       string
		machines   int
		change     func(spec *jobSpec)
		startsEach int // how many starts of the job fail on each machine
		during     func(day *failureDay)
	}{
		{name: "one task, the only machine", machines: 1, startsEach: 1},
		{name: "several tasks, the only machine", machines: 1, startsEach: 3, change: func(spec *jobSpec) { spec.tasks = 3 }},
		{name: "twice, the only machine", machines: 1, startsEach: 2},
		{name: "most of the only machine", machines: 1, startsEach: 1, change: func(spec *jobSpec) { spec.cpus = 11 }},
		{name: "urgent", machines: 1, startsEach: 1, change: func(spec *jobSpec) { spec.urgent = true }},
		{name: "a gang, the only machine", machines: 1, startsEach: 1, change: func(spec *jobSpec) { spec.gang, spec.tasks = true, 2 }},
		{name: "a service, the only machine", machines: 1, startsEach: 1, change: func(spec *jobSpec) { spec.service = true }},
		{name: "each of two machines", machines: 2, startsEach: 1, change: func(spec *jobSpec) { spec.tasks = 4 }},
		{name: "more machines to rent", machines: 5, startsEach: 1},
		{name: "change of owner and leader", machines: 1, startsEach: 1, during: func(day *failureDay) {
			day.schedule(failingAt+3*second, func() { day.leader().crash(2 * second) })
			day.schedule(failingAt+8*second, func() { day.ownerOfShard0().crash(2 * second) })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := failureJob
			if test.change != nil {
				test.change(&spec)
			}
			day := newFailureDay(1, test.machines, spec)
			day.failStarts(test.startsEach)
			if test.during != nil {
				test.during(day)
			}
			day.schedule(failingAt+5*second, day.startRecoveryChecks)
			end := failingAt + 5*second + neglectLimit + spec.runTime
			if spec.service {
				day.schedule(end-15*second, func() { day.job.cancel() })
			}
			day.runUntil(end)
			day.checkRules(t)
			if day.failures() == 0 {
				t.Error("no task has failed: the day does not test anything")
			}
			if len(day.job.completed) < spec.tasks && !spec.service || spec.service && day.job.startedAt == 0 {
				day.dump()
				t.Errorf("%d of %d tasks have completed %v after the first failure", len(day.job.completed), spec.tasks, end-failingAt)
			}
		})
	}
}

// TestFaultyMachineIsLeft checks that a machine on which every task fails is left by the jobs and
// released, although it has the most room and nothing else runs there: few tasks fail on it.
func TestFaultyMachineIsLeft(t *testing.T) {
	for _, machines := range []int{2, 6} {
		for _, tasks := range []int{1, 8} {
			t.Run(fmt.Sprint(machines, " machines, jobs of ", tasks), func(t *testing.T) {
				spec := failureJob
				spec.tasks, spec.cpus = tasks, 1
				day := newFailureDay(2, machines, spec)
				var faulty *simWorker
				day.schedule(failingAt, func() {
					faulty = day.cloud.workers[0]
					faulty.faults.failsTasks = true
				})
				day.schedule(failingAt+5*second, day.startRecoveryChecks)
				day.runUntil(150 * second)
				day.checkRules(t)
				if faulty == nil || !faulty.released {
					t.Error("the faulty machine is not released")
				}
				if faulty.failures > 24 {
					t.Errorf("%d tasks have failed on the faulty machine, want at most 24", faulty.failures)
				}
				if day.job.reportedPhase != "done" {
					t.Errorf("the job is last reported as %q, want \"done\"", day.job.reportedPhase)
				}
			})
		}
	}
}

// TestJobThatFailsEverywhereWearsOutNoMachine checks that a job that was submitted with a mistake, and
// is not cancelled, neither has machines quarantined nor rented one after the other, and that its
// tasks are not started again and again.
func TestJobThatFailsEverywhereWearsOutNoMachine(t *testing.T) {
	for _, shape := range []jobSpec{{tasks: 1}, {tasks: 5}, {tasks: 40}, {tasks: 2, gang: true}, {tasks: 3, gang: true}} {
		for _, machines := range []int{1, 2, 12} {
			t.Run(fmt.Sprint(shape.tasks, " tasks, gang ", shape.gang, ", ", machines, " machines"), func(t *testing.T) {
				spec := failureJob
				spec.tasks, spec.gang, spec.failsEverywhere = shape.tasks, shape.gang, true
				day := newFailureDay(3, machines, spec)
				rented := 0
				day.runWhen(func() bool { return day.failures() > 0 }, func() {
					day.schedule(60*second, func() { rented = day.cloud.lastMachine })
				})
				day.runUntil(6 * time.Minute)
				day.checkRules(t)
				if quarantined := day.quarantined(); quarantined > 0 {
					t.Errorf("%d machines are quarantined for a job that fails everywhere, want none", quarantined)
				}
				if more := day.cloud.lastMachine - rented; more > 0 {
					t.Errorf("%d machines are rented later than a minute after the first failure, want none", more)
				}
				// At most one round of its tasks for each pause, which grows to a minute.
				const rounds = 16
				if most := rounds * spec.tasks; day.failures() > most {
					t.Errorf("%d tasks of the job have failed, want at most %d", day.failures(), most)
				}
			})
		}
	}
}

// quarantined returns the number of machines that a controller has quarantined after failures.
func (d *failureDay) quarantined() int {
	count := 0
	for _, controller := range d.controllers {
		if controller.node == nil {
			continue
		}
		for _, owner := range controller.node.shardOwners {
			for _, worker := range owner.workers.Workers() {
				if worker.ConsecutiveFailures >= tuning.FaultyWorkerFailures && worker.DrainReason != "" {
					count++
				}
			}
		}
	}
	return count
}

// TestHeldMachineKeepsNoWorkWaiting guards against small jobs that wait beside the room of a machine
// that is held for an overdue large task, while the leader counts that room for them and rents none.
func TestHeldMachineKeepsNoWorkWaiting(t *testing.T) {
	const submittedAt = 45 * second
	sim := newSimulation(4)
	sim.cloud.available = 1
	long := newJob(jobSpec{id: jobID(1), team: "blue", tasks: 1, cpus: 8, runTime: 5 * time.Minute, machineTypes: []string{"big"}})
	large := newJob(jobSpec{id: jobID(2), team: "red", tasks: 1, cpus: 12, runTime: 5 * second, machineTypes: []string{"big"}})
	small := newJob(jobSpec{id: jobID(3), team: "blue", tasks: 2, cpus: 1, runTime: 5 * second, machineTypes: []string{"big"}})
	sim.schedule(0, func() { sim.submitAndPoll(long, 0) })
	sim.schedule(10*second, func() { sim.submitAndPoll(large, 0) })
	sim.schedule(submittedAt, func() {
		sim.submitAndPoll(small, 0)
		sim.cloud.available = 1
		sim.startRecoveryChecks()
	})
	sim.runUntil(3 * time.Minute)
	sim.checkRules(t)
	// The cloud boots a machine within five seconds.
	if waited := small.startedAt - submittedAt; small.startedAt == 0 || waited > 15*second {
		t.Errorf("the small job waits for %v before it starts, want at most 15 s", waited)
	}
	if len(large.completed) < large.tasks {
		t.Error("the large task has not completed")
	}
}
