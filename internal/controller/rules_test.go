package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// jobFor draws a job.
func jobFor(t *rapid.T, i int) *simJob {
	j := &simJob{
		id: fmt.Sprintf("wk-%06d", i), done: map[int]bool{},
		team:   rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
		tasks:  rapid.IntRange(1, 14).Draw(t, "tasks"),
		cpus:   rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"),
		length: time.Duration(rapid.IntRange(200, 9000).Draw(t, "length")) * time.Millisecond,
		spot:   rapid.Bool().Draw(t, "spot"),
	}
	switch rapid.IntRange(0, 5).Draw(t, "place") {
	case 0:
		j.zone = "b"
	case 1:
		j.spread = true
	case 2:
		j.oneZone = true
	}
	return j
}

// TestRulesHoldUnderFaults plays days with generated jobs and faults and checks
// every rule of the protocol; once the faults are over, all work must get done.
func TestRulesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.005, 0.03}).Draw(t, "loss")
		w.late = rapid.SampledFrom([]float64{0, 0.003, 0.02}).Draw(t, "late")
		const faultsEnd = 70 * time.Second
		for i := range rapid.IntRange(2, 8).Draw(t, "jobs") {
			j := jobFor(t, i)
			cancel := time.Duration(0)
			if rapid.IntRange(0, 3).Draw(t, "cancelled") == 0 {
				cancel = time.Duration(rapid.IntRange(100, 15000).Draw(t, "cancel after")) * time.Millisecond
			}
			w.after(time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))*time.Second, func() { w.user(j, cancel) })
		}
		places := []string{"node-0", "node-1", "node-2", "state", "cloud", "workers", "users"}
		for range rapid.IntRange(0, 7).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(500, 60000).Draw(t, "fault at")) * time.Millisecond
			span := time.Duration(rapid.IntRange(300, 20000).Draw(t, "span")) * time.Millisecond
			which := rapid.IntRange(0, 11).Draw(t, "which")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				w.after(at, func() { w.nodes[which%3].crash(span / 2) })
			case 1:
				w.after(at, func() {
					for _, n := range w.nodes {
						n.crash(span / 2)
					}
				})
			case 2:
				a := rapid.SampledFrom(places).Draw(t, "cut a")
				b := rapid.SampledFrom(places[:3]).Draw(t, "cut b")
				if a != b {
					w.after(at, func() { w.cut[a+"|"+b] = true })
					w.after(min(at+span, faultsEnd), func() { delete(w.cut, a+"|"+b) })
				}
			case 3:
				w.after(at, func() { w.outage = true })
				w.after(at+span/2, func() {
					w.outage = false
					for _, g := range w.state.grants {
						g.ends = w.now + g.ttl
					}
				})
			case 4:
				w.after(at, func() {
					if n := len(w.cloud.workers); n > 0 {
						w.cloud.workers[which%n].hung = w.now + span
					}
				})
			case 5:
				w.after(at, func() {
					if n := len(w.cloud.workers); n > 0 {
						k := w.cloud.workers[which%n]
						if which%2 == 0 {
							k.sick = true
						} else if !k.dead {
							k.die()
						}
					}
				})
			}
		}
		w.after(faultsEnd, func() { w.loss, w.late = 0, 0 })
		w.run(260 * time.Second)
		for _, b := range w.broken {
			t.Errorf("%s", b)
		}
		for _, j := range w.jobs {
			if !j.accepted {
				t.Errorf("%s was never accepted", j.id)
			} else if j.told == "" {
				t.Errorf("%s is not over: %d of %d tasks done", j.id, len(j.done), j.tasks)
			}
		}
	})
}

// TestQuietDay: without faults everything runs once.
func TestQuietDay(t *testing.T) {
	w := newWorld(1)
	total := 0
	for i := range 6 {
		j := &simJob{id: fmt.Sprintf("wk-%06d", i), team: "red", tasks: 5, cpus: 2, length: 3 * time.Second, spot: true, done: map[int]bool{}}
		total += j.tasks
		w.after(time.Duration(i)*time.Second, func() { w.user(j, 0) })
	}
	w.run(90 * time.Second)
	for _, b := range w.broken {
		t.Error(b)
	}
	for _, j := range w.jobs {
		if j.told != "done" {
			t.Errorf("%s is %q", j.id, j.told)
		}
	}
	if w.starts != total {
		t.Errorf("%d starts for %d tasks", w.starts, total)
	}
	alive := 0
	for _, k := range w.cloud.workers {
		if !k.released {
			alive++
		}
	}
	if alive > 0 {
		t.Errorf("%d machines still rented long after the last task", alive)
	}
}
