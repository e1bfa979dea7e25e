package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/http1"
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
			s.after(time.Second, func() { s.requestDrain(request, fn) })
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
