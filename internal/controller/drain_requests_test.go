package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/settings"
)

// TestDrainRequestsAreRefusedWithTheirField: each with the field that is at fault, and nothing is
// half accepted.
func TestDrainRequestsAreRefusedWithTheirField(t *testing.T) {
	sim := newDrainSimulation(11, 4)
	one := sim.workerIDs(hasTasks)[:1]
	sim.requestDrain(startDrain("known", one, false), func(drain.Response) {})
	sim.runUntil(sim.now + 5*second)
	for _, test := range []struct {
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
		sim.requestDrain(test.request, func(response drain.Response) { got = &response })
		sim.runUntil(sim.now + 4*second)
		if test.request.ID == "known" && test.request.Verb == drain.VerbResume && got != nil && got.Status == drain.StatusOK {
			continue // it is running: a repeat
		}
		if got == nil || got.Status != drain.StatusRefused || got.Field != test.field || !strings.Contains(got.Reason, test.words) {
			t.Errorf("%+v: %+v", test.request, got)
		}
	}
	for key := range sim.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && !strings.HasPrefix(key, drain.KeyPrefix+"known/") {
			t.Errorf("%s is left", key)
		}
	}
	sim.checkRules(t)
}

// TestDrainIsRefusedWhereBudgetAllowsNothing: refused at the start, naming the job.
func TestDrainIsRefusedWhereBudgetAllowsNothing(t *testing.T) {
	sim := newSimulation(12)
	sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 1, 0), "blue": teamBudget(2, 2, 0)}, 3, 0)
	job := newJob(jobSpec{id: "wk-000001", team: "red", tasks: 1, cpus: 2, runTime: time.Hour, spot: true})
	sim.schedule(0, func() { sim.submitAndPoll(job, 0) })
	sim.runUntil(25 * second)
	var got drain.Response
	sim.requestDrain(startDrain("a", sim.workerIDs(hasTasks), false), func(response drain.Response) { got = response })
	sim.runUntil(sim.now + 5*second)
	if got.Status != drain.StatusRefused || got.Field != "budget" || !strings.Contains(got.Reason, job.id) {
		t.Errorf("%+v", got)
	}
	sim.checkRules(t)
}

// TestRepeatedDrainStartIsIdempotent: the same request again, at any node and after a lost answer,
// starts one drain.
func TestRepeatedDrainStartIsIdempotent(t *testing.T) {
	sim := newDrainSimulation(13, 4)
	sim.stateFaults.lostAnswerShare = 0.5
	request := startDrain("a", sim.workerIDs(hasTasks), false)
	answers := 0
	for i := range 6 {
		sim.schedule(time.Duration(i)*700*millisecond, func() {
			sim.requestDrain(request, func(response drain.Response) {
				answers++
				if response.Status != drain.StatusOK {
					t.Errorf("%+v", response)
				}
			})
		})
	}
	sim.runUntil(sim.now + 30*second)
	sim.stateFaults.lostAnswerShare = 0
	sim.runUntil(sim.now + 10*second)
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

// TestDrainCancelledHalfwayReopensMachines: the machines take tasks again and no task is lost.
func TestDrainCancelledHalfwayReopensMachines(t *testing.T) {
	sim := newDrainSimulation(7, 10)
	names := sim.startDrainOf(t, "a", nil)
	sim.runUntil(sim.now + 12*second)
	sim.requestDrain(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(response drain.Response) {
		if response.Status != drain.StatusOK || response.Drains[0].Phase != drain.PhaseCancelled {
			t.Errorf("cancel: %+v", response)
		}
	})
	sim.runUntil(sim.now + 60*second)
	gone := sim.countGone(names)
	if gone == len(names) {
		t.Error("cancelled too late")
	}
	for _, controller := range sim.controllers {
		for _, owner := range controller.node.shardOwners {
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

// TestLateHaltOfCancelledDrainUsesBudget: a halt that is still on its way when its drain is
// cancelled goes on using the budget up.
func TestLateHaltOfCancelledDrainUsesBudget(t *testing.T) {
	sim := newDrainSimulation(8, 3)
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
	first.faults.inboundBlocked = true                      // commands in answers to its heartbeats are lost
	first.faults.commandsDelayedUntil = sim.now + 25*second // and direct commands are held up
	sim.startDrainAtLeader(t, "a", first)
	sim.runWhen(func() bool { return sim.countGrants() > 0 }, func() {
		sim.schedule(1500*millisecond, func() {
			sim.requestDrain(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(drain.Response) {})
		})
	})
	sim.runUntil(sim.now + 8*second)
	if sim.countGrants() == 0 {
		t.Error("the grant is gone while its halt is on its way")
	}
	first.faults.inboundBlocked = false
	var others []string
	for _, worker := range sim.cloud.workers {
		if busy[worker.id] && worker != first {
			others = append(others, worker.id)
		}
	}
	if len(others) > 0 {
		sim.requestDrain(startDrain("b", others, false), func(drain.Response) {})
	}
	sim.runUntil(sim.now + 90*second)
	if sim.drainChecker.halts < 2 || len(others) == 0 {
		t.Errorf("%d halts, %d other machines", sim.drainChecker.halts, len(others))
	}
	sim.checkRules(t)
}

// TestTwoDrainsOfTheSameMachine: two drains name the same machines, and one of them is
// cancelled; the machines are emptied all the same, within the budgets.
func TestTwoDrainsOfTheSameMachine(t *testing.T) {
	sim := newDrainSimulation(6, 8)
	names := sim.startDrainOf(t, "a", nil)
	sim.runUntil(sim.now + 3*second)
	sim.startDrainOf(t, "b", nil)
	sim.runUntil(sim.now + 8*second)
	sim.requestDrain(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(drain.Response) {})
	sim.runUntil(sim.now + 260*second)
	sim.checkAllGone(t, names)
}
