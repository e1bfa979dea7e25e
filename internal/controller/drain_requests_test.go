package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/settings"
)

// TestRefusedDrainRequestNamesField checks that an invalid request is refused with the name of
// the invalid field and that a refused request stores nothing.
func TestRefusedDrainRequestNamesField(t *testing.T) {
	sim := newDrainSimulation(11, 4)
	machines := sim.workerIDs(hasTasks)[:1]
	sim.requestDrain(startDrain("known", machines, false), func(drain.Response) {})
	sim.runUntil(sim.now + 5*second)
	for _, test := range []struct {
		request      drain.Request
		field, words string
	}{
		{startDrain("a", []string{"vm-999999"}, false), "machine", "vm-999999"},
		{startDrain("a", nil, false), "selection", "empty"},
		{startDrain("Ä", machines, false), "id", "Ä"},
		{startDrain("", machines, false), "id", ""},
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
			continue // the drain is running, so resuming it is a repeat
		}
		if got == nil || got.Status != drain.StatusRefused || got.Field != test.field || !strings.Contains(got.Reason, test.words) {
			t.Errorf("response to %+v: %+v, want status %s, field %q, reason with %q", test.request, got, drain.StatusRefused, test.field, test.words)
		}
	}
	for key := range sim.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && !strings.HasPrefix(key, drain.KeyPrefix+"known/") {
			t.Errorf("key %s is stored after the refused requests", key)
		}
	}
	sim.checkRules(t)
}

// TestDrainIsRefusedWhereBudgetAllowsNothing checks that a drain whose budget allows no task of a
// job to be disturbed is refused at its start, with the job in the reason.
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
		t.Errorf("response to the start: %+v, want status %s, field budget, reason with %s", got, drain.StatusRefused, job.id)
	}
	sim.checkRules(t)
}

// TestRepeatedDrainStartIsIdempotent checks that a start that is sent six times, to random nodes
// and while half of the state service's answers to commits are lost, starts one drain.
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
					t.Errorf("response to the start: %+v, want status %s", response, drain.StatusOK)
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
				t.Errorf("stored head of the drain: %s, want %d machines", stored.value, len(request.Selection.Machines))
			}
		}
	}
	if answers != 6 || heads != 1 {
		t.Errorf("%d answers, %d drains; want 6 and 1", answers, heads)
	}
	sim.checkRules(t)
}

// TestDrainCancelledHalfwayReopensMachines checks that the remaining machines accept tasks again
// after a drain is cancelled, that no task is lost, and that only the drain's head stays stored.
func TestDrainCancelledHalfwayReopensMachines(t *testing.T) {
	sim := newDrainSimulation(7, 10)
	names := sim.startDrainOf(t, "a", nil)
	sim.runUntil(sim.now + 12*second)
	sim.requestDrain(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(response drain.Response) {
		if response.Status != drain.StatusOK || response.Drains[0].Phase != drain.PhaseCancelled {
			t.Errorf("cancel: %+v, want status %s and phase %s", response, drain.StatusOK, drain.PhaseCancelled)
		}
	})
	sim.runUntil(sim.now + 60*second)
	gone := sim.countGone(names)
	if gone == len(names) {
		t.Errorf("all %d machines were gone before the drain was cancelled", len(names))
	}
	for _, controller := range sim.controllers {
		for _, owner := range controller.node.shardOwners {
			for _, tracked := range owner.workers.Workers() {
				if owner.token != 0 && tracked.HasReported && !owner.workers.AcceptsTasks(tracked) {
					t.Errorf("machine %s does not accept tasks after the drain was cancelled", tracked.ID)
				}
			}
		}
	}
	if sim.usedCPUs("red") != 10 || sim.usedCPUs("blue") != 10 {
		t.Errorf("%g and %g tasks run, want 10 and 10", sim.usedCPUs("red"), sim.usedCPUs("blue"))
	}
	for key := range sim.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && key != drain.HeadKey("a") {
			t.Errorf("key %s of the cancelled drain is still stored", key)
		}
	}
	sim.checkRules(t)
}

// TestLateHaltOfCancelledDrainUsesBudget checks that a halt command that is in flight when its
// drain is cancelled still counts against the budget.
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
	var unreachable *simWorker
	for _, worker := range sim.cloud.workers {
		if busy[worker.id] && unreachable == nil {
			unreachable = worker
		}
	}
	unreachable.faults.inboundBlocked = true                      // commands in answers to its heartbeats are lost
	unreachable.faults.commandsDelayedUntil = sim.now + 25*second // and direct commands are delayed
	sim.startDrainAtLeader(t, "a", unreachable)
	sim.runWhen(func() bool { return sim.countGrants() > 0 }, func() {
		sim.schedule(1500*millisecond, func() {
			sim.requestDrain(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(drain.Response) {})
		})
	})
	sim.runUntil(sim.now + 8*second)
	if sim.countGrants() == 0 {
		t.Error("the grant is removed while its halt is in flight")
	}
	unreachable.faults.inboundBlocked = false
	var others []string
	for _, worker := range sim.cloud.workers {
		if busy[worker.id] && worker != unreachable {
			others = append(others, worker.id)
		}
	}
	if len(others) > 0 {
		sim.requestDrain(startDrain("b", others, false), func(drain.Response) {})
	}
	sim.runUntil(sim.now + 90*second)
	if sim.drainChecker.halts < 2 || len(others) == 0 {
		t.Errorf("%d halts, %d other machines; want at least 2 halts and 1 machine", sim.drainChecker.halts, len(others))
	}
	sim.checkRules(t)
}

// TestTwoDrainsOfTheSameMachine checks that machines named by two drains, one of which is
// cancelled, are emptied within the budgets.
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
