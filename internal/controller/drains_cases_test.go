package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
)

// The hard cases of drains. Each fails without the guard that it is about.

// drainAll starts a drain of all machines that have tasks, or of those picked. Idle ones
// may be returned by the daemon in the same moment.
func (s *simulation) startDrainOf(t *testing.T, id string, pick func(*simWorker) bool) []string {
	t.Helper()
	if pick == nil {
		pick = hasTasks
	}
	names := s.workerIDs(pick)
	s.requestDrain(startDrain(id, names, false), func(response drain.Response) {
		if response.Status != drain.StatusOK {
			t.Errorf("start of %s: %+v", id, response)
		}
	})
	return names
}

// granted is the newest grants in the state service.
func (s *simulation) countGrants() int {
	n := 0
	for key := range s.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && strings.Contains(key, "/grant/") {
			n++
		}
	}
	return n
}

// when calls fn as soon as something holds.
func (s *simulation) whenever(holds func() bool, fn func()) {
	if holds() {
		fn()
		return
	}
	s.after(ms, func() { s.whenever(holds, fn) })
}

// waiting tells whether the leader gives a reason with these words for a drain's waiting.
func (s *simulation) drainWaitsFor(words string) bool {
	return strings.Contains(s.describeDrains(), words)
}

// allGone checks that a drain has ended well.
func (s *simulation) checkAllGone(t *testing.T, names []string) {
	t.Helper()
	if n := s.countGone(names); n != len(names) {
		t.Errorf("%d of %d machines are gone; %s", n, len(names), s.describeDrains())
	}
	s.checkRules(t)
}

func TestDrainOutageBetweenGrantAndHalt(t *testing.T) {
	sim := newDrainSimulation(2, 6, nil)
	names := sim.startDrainOf(t, "a", nil)
	met := false
	sim.whenever(func() bool { return sim.countGrants() > 0 }, func() {
		met = sim.drainChecker.halts == 0
		sim.outageFor(20 * second)
	})
	sim.run(sim.now + 240*second)
	if !met {
		t.Error("the outage came too late")
	}
	sim.checkAllGone(t, names)
}

func TestDrainLeaderAndOwnerChangeAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		sim := newDrainSimulation(10+seed, 6, nil)
		names := sim.startDrainOf(t, "a", nil)
		for i := range 6 { // at various moments after a grant
			sim.after(time.Duration(i)*15*second, func() {
				sim.whenever(func() bool { return sim.countGrants() > 0 }, func() {
					sim.after(time.Duration(sim.rng.IntN(1500))*ms, func() {
						if leader, other := sim.leader(), sim.shardOwner(0); leader != nil && other != nil {
							leader.crash(300 * ms)
							other.crash(400 * ms)
						}
					})
				})
			})
		}
		sim.run(sim.now + 300*second)
		sim.checkAllGone(t, names)
	}
}

// TestDrainLostAnswers: commits get no answer and are carried out late, also after
// their leader has ended.
func TestDrainLostAnswers(t *testing.T) {
	for seed := range uint64(6) {
		sim := newDrainSimulation(20+seed, 6, nil)
		names := sim.startDrainOf(t, "a", nil)
		sim.after(2*second, func() { sim.stateFaults.lateCommitShare = 0.5 })
		for i := range 5 {
			sim.after(time.Duration(10+8*i)*second, func() {
				if leader := sim.leader(); leader != nil {
					leader.crash(500 * ms)
				}
			})
		}
		sim.after(60*second, func() { sim.stateFaults.lateCommitShare = 0 })
		sim.run(sim.now + 300*second)
		sim.checkAllGone(t, names)
	}
}

func TestDrainUrgentWorkTakesTheRoom(t *testing.T) {
	sim := newDrainSimulation(3, 6, nil)
	sim.cloud.available = 0 // nothing more can be rented
	sim.exhaustCloud()
	names := sim.startDrainOf(t, "a", nil)
	urgent := newJob(jobSpec{id: "wk-000050", team: "red", tasks: 18, cpus: 1, runTime: 60 * second, estimateSeconds: 60, spot: true, urgent: true})
	sim.after(3*second, func() { sim.submitAndPoll(urgent, 0) })
	waited := false
	sim.after(20*second, func() { waited = sim.drainWaitsFor("waits for room") || sim.drainWaitsFor("no room") })
	sim.run(sim.now + 40*second)
	if !waited {
		t.Errorf("it does not say that it waits for room: %s", sim.describeDrains())
	}
	gone := sim.countGone(names)
	sim.cloud.available = 20
	sim.run(sim.now + 260*second)
	if gone == len(names) {
		t.Error("it did not wait")
	}
	sim.checkAllGone(t, names)
}

// TestDrainWithoutRoom: where nothing is free and nothing can be rented, nothing is
// stopped, and the drain says why; it goes on when machines can be had.
func TestDrainWithoutRoom(t *testing.T) {
	sim := newSimulation(14)
	sim.cloud.available = 6
	sim.withDrains(map[string]settings.DrainLimits{"red": teamBudget(9, 99, 0), "blue": teamBudget(9, 99, 0)}, 3, 0)
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 20, cpus: 1, zone: "b", runTime: time.Hour, estimateSeconds: 3600, spot: true})
	sim.after(0, func() { sim.submitAndPoll(job, 0) })
	sim.run(25 * second)
	sim.cloud.available = -100
	for _, worker := range sim.cloud.workers {
		if len(worker.tasks) == 0 {
			worker.die() // what is free
		}
	}
	sim.run(sim.now + 20*second)
	names := sim.startDrainOf(t, "a", nil)
	sim.run(sim.now + 20*second)
	if sim.drainChecker.halts > 0 || !sim.drainWaitsFor("the cloud has not given one") {
		t.Errorf("%d halts; %s", sim.drainChecker.halts, sim.describeDrains())
	}
	sim.cloud.available = 20
	sim.run(sim.now + 260*second)
	sim.checkAllGone(t, names)
}

// TestDrainWaitsForTasksAboutToEnd: they are not stopped within the time for that, and
// stopped after it if they have not ended.
func TestDrainWaitsForTasksAboutToEnd(t *testing.T) {
	for _, ends := range []bool{true, false} {
		sim := newSimulation(15)
		sim.cloud.available = 30
		sim.withDrains(map[string]settings.DrainLimits{"red": teamBudget(9, 99, 0), "blue": teamBudget(9, 99, 0)}, 9, 25)
		job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 6, cpus: 1, runTime: 40 * second, estimateSeconds: 40, spot: true})
		if !ends {
			job.runTime = time.Hour // the estimate is wrong
		}
		sim.after(0, func() { sim.submitAndPoll(job, 0) })
		sim.run(25 * second)
		names := sim.startDrainOf(t, "a", nil)
		sim.run(sim.now + 18*second)
		early := sim.drainChecker.halts
		sim.run(sim.now + 100*second)
		if early > 0 || (sim.drainChecker.halts > 0) == ends {
			t.Errorf("ends %v: %d halts at first, %d in all", ends, early, sim.drainChecker.halts)
		}
		sim.checkAllGone(t, names)
	}
}

// TestDrainWhileUrgentWorkAlwaysWaits: with replacements a drain takes no room away, and
// goes on although urgent work that the daemon lets queue waits for room all the time.
func TestDrainWhileUrgentWorkAlwaysWaits(t *testing.T) {
	sim := newSimulation(16)
	sim.cloud.available = 1
	sim.withDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 9, 0), "blue": teamBudget(2, 9, 0)}, 3, 0)
	long := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 4, cpus: 1, runTime: time.Hour, estimateSeconds: 3600, machineTypes: []string{"small"}})
	sim.after(0, func() { sim.submitAndPoll(long, 0) })
	sim.run(25 * second)
	sim.cloud.available = -100 // the urgent job finds no machine
	urgent := newJob(jobSpec{id: "wk-000002", team: "blue", tasks: 8, cpus: 2, runTime: time.Hour, estimateSeconds: 3600, urgent: true, machineTypes: []string{"big"}})
	sim.submitAndPoll(urgent, 0)
	sim.run(sim.now + 10*second)
	waits := sim.leader().node.fleet.HasWaitingWork(jobs.PriorityStandard)
	sim.cloud.perKind = 1 + len(sim.workerIDs(nil)) // a small one more of each kind, and no big one
	sim.cloud.soldOutType = "big"
	names := sim.workerIDs(hasTasks)
	sim.requestDrain(startDrain("a", names, true), func(drain.Response) {})
	sim.run(sim.now + 120*second)
	if !waits || urgent.startedAt > 0 {
		t.Errorf("urgent work waits: %v, began at %v", waits, urgent.startedAt)
	}
	sim.checkAllGone(t, names)
}

// withNothingRentable has the nodes find out that the cloud has no machines left.
func (s *simulation) exhaustCloud() {
	for i := range 3 {
		job := newJob(jobSpec{id: fmt.Sprintf("wk-%06d", 60+i), team: "blue", tasks: 5, cpus: 2, runTime: 2 * second, estimateSeconds: 300, spot: i%2 == 0, urgent: true})
		s.submitAndPoll(job, 0)
	}
	s.run(s.now + 5*second)
}

// TestDrainBudgetUsedUpByOthers: what nobody chose to disturb uses the budget up, and
// the drain goes on by itself when that is over.
func TestDrainBudgetUsedUpByOthers(t *testing.T) {
	sim := newSimulation(4)
	sim.cloud.available = 30
	sim.withDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 4, 1), "blue": teamBudget(1, 4, 1)}, 3, 0)
	red := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 8, cpus: 2, zone: "b", runTime: time.Hour, estimateSeconds: 3600, spot: true})
	sim.after(0, func() { sim.submitAndPoll(red, 0) })
	sim.run(25 * second)
	sim.cloud.available = -100 // what is lost finds no room
	lost := 0
	for _, worker := range sim.cloud.workers {
		if !worker.dead && (len(worker.tasks) == 0 || lost < 2) {
			lost += len(worker.tasks)
			worker.die()
		}
	}
	sim.run(sim.now + 25*second)
	names := sim.startDrainOf(t, "a", func(worker *simWorker) bool { return len(worker.tasks) > 0 })
	sim.run(sim.now + 15*second)
	if lost != 2 || sim.drainChecker.halts > 0 || !sim.drainWaitsFor("budget of team red") {
		t.Errorf("%d lost, %d halts; %s", lost, sim.drainChecker.halts, sim.describeDrains())
	}
	sim.cloud.available = 20
	sim.run(sim.now + 260*second)
	sim.checkAllGone(t, names)
}

func TestDrainMachinesInTrouble(t *testing.T) {
	for name, do := range map[string]func(sim *simulation, worker *simWorker){
		"hangs": func(sim *simulation, worker *simWorker) { worker.faults.hungUntil = sim.now + 25*second },
		"deaf": func(sim *simulation, worker *simWorker) {
			worker.faults.deaf = true
			sim.after(30*second, func() { worker.faults.deaf = false })
		},
		"cut off":        func(sim *simulation, worker *simWorker) { worker.faults.partitionedUntil = sim.now + 30*second },
		"dies":           func(sim *simulation, worker *simWorker) { worker.die() },
		"is taken":       func(sim *simulation, worker *simWorker) { worker.takeAfterNotice(8 * second) },
		"hangs for ever": func(sim *simulation, worker *simWorker) { worker.faults.hungUntil = sim.now + time.Hour },
	} {
		sim := newDrainSimulation(5, 6, nil)
		names := sim.startDrainOf(t, "a", nil)
		sim.whenever(func() bool { return sim.countGrants() > 0 }, func() {
			for _, worker := range sim.cloud.workers {
				if !worker.dead && len(worker.tasks) > 0 {
					do(sim, worker)
				}
			}
		})
		sim.run(sim.now + 300*second)
		if n := sim.countGone(names); n != len(names) && name != "hangs for ever" {
			t.Errorf("%s: %d of %d machines are gone; %s", name, n, len(names), sim.describeDrains())
		}
		for _, broken := range sim.checker.violations {
			t.Errorf("%s: %s", name, broken)
		}
	}
}

func TestDrainTwoOfTheSameMachine(t *testing.T) {
	sim := newDrainSimulation(6, 8, nil)
	names := sim.startDrainOf(t, "a", nil)
	sim.run(sim.now + 3*second)
	sim.startDrainOf(t, "b", nil)
	sim.run(sim.now + 8*second)
	sim.requestDrain(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(drain.Response) {})
	sim.run(sim.now + 260*second)
	sim.checkAllGone(t, names)
}

// TestDrainCancelledHalfway: the machines take tasks again and no task is lost.
func TestDrainCancelledHalfway(t *testing.T) {
	sim := newDrainSimulation(7, 10, nil)
	names := sim.startDrainOf(t, "a", nil)
	sim.run(sim.now + 12*second)
	sim.requestDrain(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(response drain.Response) {
		if response.Status != drain.StatusOK || response.Drains[0].Phase != drain.PhaseCancelled {
			t.Errorf("cancel: %+v", response)
		}
	})
	sim.run(sim.now + 60*second)
	gone := sim.countGone(names)
	if gone == len(names) {
		t.Error("cancelled too late")
	}
	for _, controller := range sim.controllers {
		for _, owner := range controller.node.owners {
			for _, tracked := range owner.workers.Workers() {
				if owner.token != 0 && tracked.HasReported && !owner.workers.AcceptsTasks(tracked) {
					t.Errorf("%s does not take tasks", tracked.ID)
				}
			}
		}
	}
	if sim.usedCPUs("red") != 10 || sim.usedCPUs("blue") != 10 {
		t.Errorf("%g and %g tasks run", sim.usedCPUs("red"), sim.usedCPUs("blue"))
	}
	for key := range sim.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && key != drain.HeadKey("a") {
			t.Errorf("%s is left", key)
		}
	}
	sim.checkRules(t)
}

// TestDrainLateHaltOfACancelledDrain: a halt that is still on its way when its drain is
// cancelled goes on using the budget up.
func TestDrainLateHaltOfACancelledDrain(t *testing.T) {
	sim := newDrainSimulation(8, 3, nil)
	busy := map[string]bool{} // machines with tasks of blue, one of which may be disturbed
	for _, worker := range sim.cloud.workers {
		for _, existing := range worker.tasks {
			if strings.HasPrefix(existing.name, "wk-000002") && !worker.dead {
				busy[worker.id] = true
			}
		}
	}
	var first *simWorker
	for _, worker := range sim.cloud.workers {
		if busy[worker.id] && first == nil {
			first = worker
		}
	}
	first.faults.deaf = true                             // what it is told with its reports is lost
	first.faults.commandsHeldUntil = sim.now + 25*second // and what it is told directly held up
	sim.startDrainAtLeader(t, "a", first)
	sim.whenever(func() bool { return sim.countGrants() > 0 }, func() {
		sim.after(1500*ms, func() {
			sim.requestDrain(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(drain.Response) {})
		})
	})
	sim.run(sim.now + 8*second)
	if sim.countGrants() == 0 {
		t.Error("the grant is gone while its halt is on its way")
	}
	first.faults.deaf = false
	var others []string
	for _, worker := range sim.cloud.workers {
		if busy[worker.id] && worker != first {
			others = append(others, worker.id)
		}
	}
	if len(others) > 0 {
		sim.requestDrain(startDrain("b", others, false), func(drain.Response) {})
	}
	sim.run(sim.now + 90*second)
	if sim.drainChecker.halts < 2 || len(others) == 0 {
		t.Errorf("%d halts, %d other machines", sim.drainChecker.halts, len(others))
	}
	sim.checkRules(t)
}

// drainOne starts a drain at the leader itself, whatever becomes of other messages.
func (s *simulation) startDrainAtLeader(t *testing.T, id string, worker *simWorker) {
	s.drainChecker.namedMachines[worker.id] = true
	request := startDrain(id, []string{worker.id}, false)
	s.leader().node.drains.coordinator.Handle(&request, func(response drain.Response) {
		if response.Status != drain.StatusOK {
			t.Errorf("start: %+v", response)
		}
	})
}

// TestDrainLastReplica: the only place of a service's last replica is not emptied, and
// the drain says why; with a budget that allows it, it is.
func TestDrainLastReplica(t *testing.T) {
	for _, replicasUp := range []int{1, 0} {
		sim := newSimulation(9)
		sim.withDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 2, replicasUp), "blue": teamBudget(2, 2, 1)}, 3, 0)
		job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 1, cpus: 1, service: true, spot: true})
		sim.after(0, func() { sim.submitAndPoll(job, 0) })
		sim.run(25 * second)
		names := sim.startDrainOf(t, "a", nil)
		sim.run(sim.now + 90*second)
		if left := len(names) - sim.countGone(names); left != replicasUp || sim.usedCPUs("red") != 1 {
			t.Errorf("with %d up, %d machines are left and %g replicas", replicasUp, left, sim.usedCPUs("red"))
		}
		if replicasUp > 0 && !sim.drainWaitsFor("replicas_up: 0 of service wk-000001 would be up, 1 must be") {
			t.Error(sim.describeDrains())
		}
		sim.checkRules(t)
	}
}

// TestDrainBesideOtherVersions: nodes that know no drains serve beside those that do,
// and alone afterwards; no rule breaks and no budget is exceeded.
func TestDrainBesideOtherVersions(t *testing.T) {
	for seed := range uint64(3) {
		sim := newDrainSimulation(30+seed, 8, nil)
		names := sim.startDrainOf(t, "a", nil)
		for i := range 3 { // one after the other goes back to the other version
			sim.after(time.Duration(8+10*i)*second, func() {
				controller := sim.controllers[(int(seed)+i)%3]
				controller.withoutDrains = true
				controller.crash(500 * ms)
			})
		}
		sim.run(sim.now + 60*second)
		if sim.usedCPUs("red") != 8 || sim.usedCPUs("blue") != 8 {
			t.Errorf("%g and %g tasks run under the other version", sim.usedCPUs("red"), sim.usedCPUs("blue"))
		}
		for _, controller := range sim.controllers { // and forward again: the drain is resumed
			controller.withoutDrains = false
			controller.crash(500 * ms)
		}
		sim.run(sim.now + 260*second)
		sim.checkAllGone(t, names)
	}
}

// TestDrainRequestsThatAreRefused: each with the field that is at fault, and nothing is
// half accepted.
func TestDrainRequestsThatAreRefused(t *testing.T) {
	sim := newDrainSimulation(11, 4, nil)
	one := sim.workerIDs(hasTasks)[:1]
	sim.requestDrain(startDrain("known", one, false), func(drain.Response) {})
	sim.run(sim.now + 5*second)
	for _, c := range []struct {
		request      drain.Request
		field, words string
	}{
		{startDrain("a", []string{"vm-999999"}, false), "machine", "vm-999999"},
		{startDrain("a", nil, false), "selection", "empty"},
		{startDrain("Ä", one, false), "id", "Ä"},
		{startDrain("", one, false), "id", ""},
		{drain.Request{Verb: drain.VerbStart, ID: "a", Selection: drain.Selection{Prefixes: []string{"10.0.0.0/40"}}}, "prefix", "10.0.0.0/40"},
		{drain.Request{Verb: drain.VerbStart, ID: "a", Selection: drain.Selection{Zones: []string{"nowhere"}}}, "selection", "no machine"},
		{drain.Request{Verb: drain.VerbStart, ID: "a", Selection: drain.Selection{Kind: "cheap"}}, "kind", "cheap"},
		{startDrain("known", sim.workerIDs(hasTasks)[:2], false), "id", "another selection"},
		{drain.Request{Verb: drain.VerbCancel, ID: "none"}, "id", "no drain"},
		{drain.Request{Verb: drain.VerbResume, ID: "known"}, "id", ""},
		{drain.Request{Verb: "burn", ID: "a"}, "verb", "burn"},
	} {
		var got *drain.Response
		sim.requestDrain(c.request, func(response drain.Response) { got = &response })
		sim.run(sim.now + 4*second)
		if c.request.ID == "known" && c.request.Verb == drain.VerbResume && got != nil && got.Status == drain.StatusOK {
			continue // it is running: a repeat
		}
		if got == nil || got.Status != drain.StatusRefused || got.Field != c.field || !strings.Contains(got.Reason, c.words) {
			t.Errorf("%+v: %+v", c.request, got)
		}
	}
	for key := range sim.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && !strings.HasPrefix(key, drain.KeyPrefix+"known/") {
			t.Errorf("%s is left", key)
		}
	}
	sim.checkRules(t)
}

// TestDrainBudgetUnderWhichNothingMoves: refused at the start, naming the job.
func TestDrainBudgetUnderWhichNothingMoves(t *testing.T) {
	sim := newSimulation(12)
	sim.withDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 1, 0), "blue": teamBudget(2, 2, 0)}, 3, 0)
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 1, cpus: 2, runTime: time.Hour, spot: true})
	sim.after(0, func() { sim.submitAndPoll(job, 0) })
	sim.run(25 * second)
	var got drain.Response
	sim.requestDrain(startDrain("a", sim.workerIDs(hasTasks), false), func(response drain.Response) { got = response })
	sim.run(sim.now + 5*second)
	if got.Status != drain.StatusRefused || got.Field != "budget" || !strings.Contains(got.Reason, job.id) {
		t.Errorf("%+v", got)
	}
	sim.checkRules(t)
}

// TestDrainRepeatedStart: the same request again, at any node and after a lost answer,
// starts one drain.
func TestDrainRepeatedStart(t *testing.T) {
	sim := newDrainSimulation(13, 4, nil)
	sim.stateFaults.lostAnswerShare = 0.5
	request := startDrain("a", sim.workerIDs(hasTasks), false)
	answers := 0
	for i := range 6 {
		sim.after(time.Duration(i)*700*ms, func() {
			sim.requestDrain(request, func(response drain.Response) {
				answers++
				if response.Status != drain.StatusOK {
					t.Errorf("%+v", response)
				}
			})
		})
	}
	sim.run(sim.now + 30*second)
	sim.stateFaults.lostAnswerShare = 0
	sim.run(sim.now + 10*second)
	heads := 0
	for key, stored := range sim.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && strings.HasSuffix(key, "/head") {
			heads++
			var head drain.Head
			if json.Unmarshal(stored.value, &head) != nil || head.Machines != len(request.Selection.Machines) {
				t.Errorf("%s", stored.value)
			}
		}
	}
	if answers != 6 || heads != 1 {
		t.Errorf("%d answers, %d drains", answers, heads)
	}
	sim.checkRules(t)
}
