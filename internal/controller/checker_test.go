package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/userapi"
)

// The checker of the simulated deployment is itself tried: a play that breaks a rule
// must be caught, by that rule's name.

// begun is a deployment with one job of so many tasks that run, and two machines
// besides, on which a play may start what it likes.
func begun(tasks int, change func(*simJob)) (w *world, j *simJob, a, b *worker) {
	w = newWorld(1)
	j = &simJob{id: "wk-000001", team: "red", tasks: tasks, cpus: 1, length: time.Hour, spot: true, done: map[int]bool{}}
	if change != nil {
		change(j)
	}
	w.after(0, func() { w.user(j, 0) })
	w.run(20 * time.Second)
	machine := func(zone string, spot bool) *worker {
		w.cloud.next++
		k := &worker{w: w, host: fmt.Sprintf("vm-9%05d", w.cloud.next), build: "big", zone: zone, spot: spot, shift: 1, cpus: 64, up: true, leased: w.now}
		k.addr = k.host + ":1"
		w.workers[k.addr] = k
		return k
	}
	return w, j, machine("a", false), machine("b", true)
}

func (k *worker) start(j *simJob, task, attempt int) {
	k.launch(order{Verb: "launch", Ref: fmt.Sprintf("%s/%d", j.id, task), Attempt: uint64(attempt)})
}

// rewrite changes a job's record behind the controllers' backs and starts them anew.
func (w *world) rewrite(j *simJob, value any) {
	for _, n := range w.nodes {
		n.crash(100 * time.Millisecond)
	}
	key := userapi.KeyPrefix + j.id
	if value == nil {
		delete(w.state.keys, key)
		return
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.state.epoch++
	w.state.keys[key] = &entry{raw, w.state.epoch, 0}
}

func TestTheCheckerCatches(t *testing.T) {
	type play struct {
		rule string
		do   func() *world
	}
	for _, p := range []play{
		{"ran_twice", func() *world {
			w, j, a, b := begun(1, nil)
			a.start(j, 0, 8)
			b.start(j, 0, 9)
			return w
		}},
		{"quota", func() *world {
			w, j, a, _ := begun(1, nil)
			for i := range 24 {
				a.start(j, 10+i, 1)
			}
			return w
		}},
		{"wrong_place", func() *world { // the zone
			w, j, _, b := begun(1, func(j *simJob) { j.zone = "a" })
			b.start(j, 5, 1)
			return w
		}},
		{"wrong_place", func() *world { // a spot machine
			w, j, _, b := begun(1, func(j *simJob) { j.spot = false })
			b.start(j, 5, 1)
			return w
		}},
		{"wrong_place", func() *world { // the type
			w, j, _, b := begun(1, func(j *simJob) { j.builds = []string{"small"} })
			b.start(j, 5, 1)
			return w
		}},
		{"wrong_place", func() *world { // one zone for all
			w, j, a, b := begun(1, func(j *simJob) { j.oneZone = true })
			a.start(j, 5, 1)
			b.start(j, 6, 1)
			return w
		}},
		{"wrong_place", func() *world { // half in a zone at most
			w, j, a, _ := begun(2, func(j *simJob) { j.spread = true })
			a.start(j, 5, 1)
			a.start(j, 6, 1)
			return w
		}},
		{"ran_cancelled", func() *world { // it stays
			w, j, _, b := begun(1, nil) // nobody is told of b, so nobody halts it there
			j.callOff()
			w.run(25 * time.Second)
			b.tasks = append(b.tasks, &simTask{ref: j.id + "/0", attempt: 7, phase: "running"})
			w.run(75 * time.Second)
			return w
		}},
		{"ran_cancelled", func() *world { // it starts
			w, j, a, _ := begun(1, nil)
			j.callOff()
			w.run(70 * time.Second)
			a.start(j, 0, 9)
			return w
		}},
		{"ran_cancelled", func() *world { // it starts, where no order can have been late
			w, j, a, _ := begun(1, nil)
			w.prompt = true
			j.callOff()
			w.run(30 * time.Second)
			a.start(j, 0, 9)
			return w
		}},
		{"forgotten", func() *world {
			w, j, _, _ := begun(1, nil)
			w.rewrite(j, nil)
			w.run(40 * time.Second)
			return w
		}},
		{"forgotten", func() *world { // nobody answers
			w, _, _, _ := begun(1, nil)
			w.outage = true
			w.asked(75 * time.Second)
			w.run(100 * time.Second)
			return w
		}},
		{"not_done", func() *world {
			w, j, _, _ := begun(2, nil)
			w.rewrite(j, userapi.Record{Phase: userapi.PhaseDone, SubmittedMS: 1, TaskCount: 2})
			w.run(40 * time.Second)
			return w
		}},
		{"went_back", func() *world { // called cancelled unasked
			w, j, _, _ := begun(1, nil)
			w.rewrite(j, userapi.Record{Phase: userapi.PhaseCancelled, SubmittedMS: 1})
			w.run(40 * time.Second)
			return w
		}},
		{"went_back", func() *world { // pending after it was cancelled
			w, j, _, _ := begun(1, nil)
			var before userapi.Record
			if err := json.Unmarshal(w.state.keys[userapi.KeyPrefix+j.id].value, &before); err != nil {
				panic(err)
			}
			j.callOff()
			w.run(30 * time.Second)
			w.rewrite(j, before)
			w.run(50 * time.Second)
			return w
		}},
		{"invented", func() *world {
			w, j, _, _ := begun(1, nil)
			value := w.state.keys[userapi.KeyPrefix+j.id].value
			w.state.epoch++
			w.state.keys[userapi.KeyPrefix+"wk-999999"] = &entry{value, w.state.epoch, 0}
			w.state.log = append(w.state.log, change{userapi.KeyPrefix + "wk-999999", value, w.state.epoch})
			w.state.notify()
			w.odd(time.Second)
			w.run(25 * time.Second)
			return w
		}},
		{"neglected", func() *world {
			w, _, a, _ := begun(1, nil)
			w.calm = w.now
			w.jobs["wk-000002"] = &simJob{id: "wk-000002", team: "red", tasks: 1, cpus: 1, accepted: true} // nobody knows of it
			a.tasks = nil
			w.run(w.now + 120*time.Second)
			return w
		}},
		{"accepted though", func() *world {
			w, _, _, _ := begun(1, nil)
			w.set.Deployment.Teams[0].CPUsMax = 100 // the users' word is 24
			for _, n := range w.nodes {
				n.crash(100 * time.Millisecond)
			}
			w.after(15*time.Second, func() { w.odd(time.Second) })
			w.run(45 * time.Second)
			return w
		}},
	} {
		caught := false
		w := p.do()
		for _, b := range w.broken {
			caught = caught || strings.Contains(b, p.rule)
		}
		if !caught {
			t.Errorf("%s is not caught; found: %q", p.rule, w.broken)
		}
	}
}
