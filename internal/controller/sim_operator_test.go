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

// requestDrain sends an operator's request to a random controller, and repeats it every second
// until it gets a final answer, which is passed to fn.
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

// requestDrainAt sends an operator's request to one controller once.
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
			err = errors.New("the answer to a drain request has no status")
		}
		fn(answer, err)
	})
}

// workerIDs returns the IDs of the machines that are up and for which match is true; a nil match
// includes all.
func (s *simulation) workerIDs(match func(*simWorker) bool) []string {
	var names []string
	for _, worker := range s.cloud.workers {
		if worker.up && !worker.dead && (match == nil || match(worker)) {
			names = append(names, worker.id)
		}
	}
	return names
}

// hasTasks reports whether a machine has tasks.
func hasTasks(worker *simWorker) bool { return len(worker.tasks) > 0 }

// countGone returns the number of the named machines that no longer exist.
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

// describeDrains returns the leader's status of all drains as text.
func (s *simulation) describeDrains() string {
	text := "there is no leader"
	if controller := s.leader(); controller != nil {
		controller.node.drains.coordinator.Handle(&drain.Request{Verb: drain.VerbStatus}, func(response drain.Response) { text = fmt.Sprintf("%+v", response) })
	}
	return text
}

// startDrain returns an operator's request to start a drain of some machines.
func startDrain(id string, names []string, replace bool) drain.Request {
	return drain.Request{Verb: drain.VerbStart, ID: id, Selection: drain.Selection{Machines: names}, Replace: replace}
}

// startDrainOf starts a drain of the machines for which match is true and returns their IDs. A
// nil match selects machines with tasks: the daemon may release idle ones at the same time.
func (s *simulation) startDrainOf(t *testing.T, id string, match func(*simWorker) bool) []string {
	t.Helper()
	if match == nil {
		match = hasTasks
	}
	names := s.workerIDs(match)
	s.requestDrain(startDrain(id, names, false), func(response drain.Response) {
		if response.Status != drain.StatusOK {
			t.Errorf("starting drain %s: got %+v, want status %q", id, response, drain.StatusOK)
		}
	})
	return names
}

// startDrainAtLeader starts a drain of one machine by a direct call of the leader, which no
// network fault can affect.
func (s *simulation) startDrainAtLeader(t *testing.T, id string, worker *simWorker) {
	s.drainChecker.namedMachines[worker.id] = true
	request := startDrain(id, []string{worker.id}, false)
	s.leader().node.drains.coordinator.Handle(&request, func(response drain.Response) {
		if response.Status != drain.StatusOK {
			t.Errorf("starting drain %s at the leader: got %+v, want status %q", id, response, drain.StatusOK)
		}
	})
}

// countGrants returns the number of grants stored in the state service.
func (s *simulation) countGrants() int {
	n := 0
	for key := range s.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && strings.Contains(key, "/grant/") {
			n++
		}
	}
	return n
}

// drainWaitsFor reports whether the leader's status of the drains contains these words, which
// are part of a wait reason.
func (s *simulation) drainWaitsFor(words string) bool {
	return strings.Contains(s.describeDrains(), words)
}

// checkAllGone checks that a drain has completed: its machines no longer exist, and no rule was
// broken.
func (s *simulation) checkAllGone(t *testing.T, names []string) {
	t.Helper()
	if n := s.countGone(names); n != len(names) {
		t.Errorf("%d of %d drained machines are gone; drains: %s", n, len(names), s.describeDrains())
	}
	s.checkRules(t)
}

// newDrainSimulation returns a deployment with drains enabled and an array of long tasks of each
// team, at 25 s, when all of them run. tasks is the number of tasks of each array.
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
