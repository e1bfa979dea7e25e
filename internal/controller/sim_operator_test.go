package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// requestDrain has an operator send a request, to any controller, until there is a final
// answer.
func (s *simulation) requestDrain(request drain.Request, fn func(drain.Response)) {
	if request.Verb == drain.VerbStart {
		for _, name := range request.Selection.Machines {
			s.drainChecker.namedMachines[name] = true
		}
	}
	s.requestDrainAt(s.controllers[s.rng.IntN(len(s.controllers))], request, func(answer drain.Response, err error) {
		if err != nil || answer.Status == drain.StatusUnavailable {
			s.schedule(time.Second, func() { s.requestDrain(request, fn) })
			return
		}
		fn(answer)
	})
}

// requestDrainAt sends one operator's request to one controller.
func (s *simulation) requestDrainAt(controller *simController, request drain.Request, fn func(drain.Response, error)) {
	body, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	s.send("operators", controller.name, 5*time.Second, func(reply func(http1.Response)) {
		if controller.node == nil {
			return
		}
		(&simRuntime{controller, controller.incarnation}).runOnLoop(func() {
			controller.node.HandlePeer(drain.RequestPath, body, func(b []byte, ok bool) {
				if ok {
					reply(http1.Response{Status: 200, Body: b})
				}
			})
		})
	}, func(response http1.Response, err error) {
		var answer drain.Response
		if err == nil {
			err = json.Unmarshal(response.Body, &answer)
		}
		if err == nil && answer.Status == "" {
			err = errors.New("no status")
		}
		fn(answer, err)
	})
}

// workerIDs lists the machines that are up, or those of them that are picked.
func (s *simulation) workerIDs(pick func(*simWorker) bool) []string {
	var names []string
	for _, worker := range s.cloud.workers {
		if worker.up && !worker.dead && (pick == nil || pick(worker)) {
			names = append(names, worker.id)
		}
	}
	return names
}

// hasTasks picks machines with tasks.
func hasTasks(worker *simWorker) bool { return len(worker.tasks) > 0 }

// countGone tells how many of the machines named are gone.
func (s *simulation) countGone(names []string) int {
	n := 0
	for _, worker := range s.cloud.workers {
		for _, name := range names {
			if worker.id == name && worker.dead {
				n++
			}
		}
	}
	return n
}

// describeDrains is what the leader says of its drains.
func (s *simulation) describeDrains() string {
	text := "there is no leader"
	if controller := s.leader(); controller != nil {
		controller.node.drains.coordinator.Handle(&drain.Request{Verb: drain.VerbStatus}, func(response drain.Response) { text = fmt.Sprintf("%+v", response) })
	}
	return text
}

// startDrain is an operator's request to start a drain of some machines.
func startDrain(id string, names []string, replace bool) drain.Request {
	return drain.Request{Verb: drain.VerbStart, ID: id, Selection: drain.Selection{Machines: names}, Replace: replace}
}

// startDrainOf starts a drain of all machines that have tasks, or of those picked. The
// daemon may return idle ones in the same moment.
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

// startDrainAtLeader starts a drain at the leader itself, whatever becomes of other
// messages.
func (s *simulation) startDrainAtLeader(t *testing.T, id string, worker *simWorker) {
	s.drainChecker.namedMachines[worker.id] = true
	request := startDrain(id, []string{worker.id}, false)
	s.leader().node.drains.coordinator.Handle(&request, func(response drain.Response) {
		if response.Status != drain.StatusOK {
			t.Errorf("start: %+v", response)
		}
	})
}

// countGrants counts the grants that the state service holds now.
func (s *simulation) countGrants() int {
	n := 0
	for key := range s.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && strings.Contains(key, "/grant/") {
			n++
		}
	}
	return n
}

// drainWaitsFor tells whether the leader gives a reason with these words for a drain's
// waiting.
func (s *simulation) drainWaitsFor(words string) bool {
	return strings.Contains(s.describeDrains(), words)
}

// checkAllGone checks that a drain has ended well: its machines are gone, and no rule was
// broken.
func (s *simulation) checkAllGone(t *testing.T, names []string) {
	t.Helper()
	if n := s.countGone(names); n != len(names) {
		t.Errorf("%d of %d machines are gone; %s", n, len(names), s.describeDrains())
	}
	s.checkRules(t)
}

// newDrainSimulation is a deployment with drains on and one array of so many long tasks of
// each team, at a moment when all of them run.
func newDrainSimulation(seed uint64, tasks int) *simulation {
	sim := newSimulation(seed)
	sim.cloud.available = 30
	sim.enableDrains(map[string]settings.DrainLimits{"red": teamBudget(2, 2, 1), "blue": teamBudget(1, 4, 1)}, 3, 0)
	for i, team := range []string{"red", "blue"} {
		job := newJob(jobSpec{id: jobID(i + 1), team: team, tasks: tasks, cpus: 1, runTime: time.Hour, estimateSeconds: 3600, spot: true})
		sim.schedule(0, func() { sim.submitAndPoll(job, 0) })
	}
	sim.runUntil(25 * second)
	return sim
}
