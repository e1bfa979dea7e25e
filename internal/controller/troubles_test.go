package controller

import (
	"fmt"
	"time"
)

func (w *world) leader() *simNode {
	for _, n := range w.nodes {
		if n.node != nil && n.node.leases.LeaderToken() != 0 {
			return n
		}
	}
	return nil
}

func (w *world) owner(block int) *simNode {
	for _, n := range w.nodes {
		if n.node != nil && n.node.leases.ShardToken(block) != 0 {
			return n
		}
	}
	return nil
}

// busy is a machine with tasks, or any.
func (w *world) busy(which int) *worker {
	list := w.cloud.workers
	for i := range list {
		if k := list[(which+i)%len(list)]; !k.dead && len(k.tasks) > 0 {
			return k
		}
	}
	if len(list) > 0 && !list[which%len(list)].dead {
		return list[which%len(list)]
	}
	return nil
}

// each does something to so many busy machines.
func (w *world) each(number, which int, fn func(*worker)) {
	seen := map[*worker]bool{}
	for i := range number {
		if k := w.busy(which + i); k != nil && !seen[k] {
			seen[k] = true
			fn(k)
		}
	}
}

// callOff has users call off so many running jobs that have long to go.
func (w *world) callOff(number int) int {
	n := 0
	for i := range 1000 {
		if j := w.jobs[fmt.Sprintf("wk-%06d", i)]; j != nil && n < number && j.callOff != nil && !j.asked && j.told == "" && j.began > 0 {
			j.callOff()
			n++
		}
	}
	return n
}

// apart cuts a node from the state service and the other nodes, not from workers
// and users.
func (w *world) apart(name string, d time.Duration) {
	others := []string{"state"}
	for _, n := range w.nodes {
		if n.name != name {
			others = append(others, n.name)
		}
	}
	for _, o := range others {
		w.cut[name+"|"+o] = true
	}
	w.after(d, func() {
		for _, o := range others {
			delete(w.cut, name+"|"+o)
		}
	})
}

// trouble is one of them: it lasts from now on for a while.
type trouble struct {
	name string
	do   func(w *world, which int, d time.Duration)
}

var troubles = []trouble{
	{"leader crashes", func(w *world, which int, d time.Duration) {
		if n := w.leader(); n != nil {
			n.crash(d / 4)
		}
	}},
	{"owner crashes", func(w *world, which int, d time.Duration) {
		if n := w.owner(0); n != nil {
			n.crash(d / 4)
		}
	}},
	{"leader back at once", func(w *world, which int, d time.Duration) {
		if n := w.leader(); n != nil {
			n.crash(time.Duration(100+which*50) * ms)
		}
	}},
	{"all crash, one is back within a second", func(w *world, which int, d time.Duration) {
		for i, n := range w.nodes {
			n.crash(time.Duration(300+which*40)*ms + time.Duration(i)*d/2)
		}
	}},
	{"all are away", func(w *world, which int, d time.Duration) {
		for _, n := range w.nodes {
			n.crash(d)
		}
	}},
	{"leaders change", func(w *world, which int, d time.Duration) {
		for i := range 5 {
			w.after(time.Duration(i)*d/5, func() {
				if n := w.leader(); n != nil {
					n.crash(time.Duration(200+which*100) * ms)
				}
			})
		}
	}},
	{"leader refused", func(w *world, which int, d time.Duration) {
		if n := w.leader(); n != nil {
			w.refuseFor(n.name, d)
		}
	}},
	{"owner refused", func(w *world, which int, d time.Duration) {
		if n := w.owner(0); n != nil {
			w.refuseFor(n.name, d)
		}
	}},
	{"outage", func(w *world, which int, d time.Duration) { w.outageFor(d) }},
	{"leader apart", func(w *world, which int, d time.Duration) {
		if n := w.leader(); n != nil {
			w.apart(n.name, d)
		}
	}},
	{"owner apart", func(w *world, which int, d time.Duration) {
		if n := w.owner(0); n != nil {
			w.apart(n.name, d)
		}
	}},
	{"slow state", func(w *world, which int, d time.Duration) {
		w.slow = time.Duration(40+which*10) * ms
		w.after(d, func() { w.slow = 0 })
	}},
	{"late writes", func(w *world, which int, d time.Duration) {
		w.lag = 0.3
		w.after(d, func() { w.lag = 0 })
	}},
	{"unheard writes", func(w *world, which int, d time.Duration) {
		w.unheard = 0.3
		w.after(d, func() { w.unheard = 0 })
	}},
	{"late reports", func(w *world, which int, d time.Duration) {
		w.copies = 0.3
		w.after(d, func() { w.copies = 0 })
	}},
	{"reports kept for the next", func(w *world, which int, d time.Duration) {
		w.keeps = 0.3
		w.after(d, func() { w.keeps = 0 })
	}},
	{"machines hang", func(w *world, which int, d time.Duration) {
		w.each(3, which, func(k *worker) { k.hung = w.now + d*2/3 })
	}},
	{"machines deaf", func(w *world, which int, d time.Duration) {
		w.each(3, which, func(k *worker) {
			k.deaf = true
			w.after(d, func() { k.deaf = false })
		})
	}},
	{"machines mute", func(w *world, which int, d time.Duration) {
		w.each(3, which, func(k *worker) { k.mute = w.now + d })
	}},
	{"machines cut off", func(w *world, which int, d time.Duration) {
		w.each(3, which, func(k *worker) { k.dark = w.now + d })
	}},
	{"machines die", func(w *world, which int, d time.Duration) {
		w.each(2, which, func(k *worker) { k.die() })
	}},
	{"workers cut from the owner", func(w *world, which int, d time.Duration) {
		if n := w.owner(0); n != nil {
			w.cut["workers|"+n.name] = true
			w.after(d, func() { delete(w.cut, "workers|"+n.name) })
		}
	}},
	{"jobs called off", func(w *world, which int, d time.Duration) { w.callOff(1 + which) }},
	{"jobs called off for a while", func(w *world, which int, d time.Duration) {
		for i := range 6 {
			w.after(time.Duration(i)*d/6, func() { w.callOff(1) })
		}
	}},
	{"orders held up", func(w *world, which int, d time.Duration) {
		w.late = 0.05
		w.after(d, func() { w.late = 0 })
	}},
}

// doing finds a trouble by its name.
func doing(name string) func(w *world, which int, d time.Duration) {
	for _, t := range troubles {
		if t.name == name {
			return t.do
		}
	}
	panic("no trouble " + name)
}

// fill submits jobs of several kinds over the first seconds: long ones, short ones,
// services, some bound to a zone.
func (w *world) fill(number int, length time.Duration) {
	for i := range number {
		j := &simJob{
			id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: 1 + w.rng.IntN(3), cpus: 1, length: length,
			spot: w.rng.IntN(2) == 0, urgent: i%3 == 0, done: map[int]bool{},
		}
		switch i % 6 {
		case 1:
			j.length = time.Duration(1+w.rng.IntN(20)) * second
		case 2:
			j.service = true
		case 3:
			j.zone = []string{"a", "b"}[w.rng.IntN(2)]
		}
		w.after(time.Duration(w.rng.IntN(8000))*ms, func() { w.user(j, 0) })
	}
}

// finishAll has all services that still run called off, so that every job ends.
func (w *world) finishAll(at time.Duration) {
	w.after(at, func() {
		for _, j := range w.jobs {
			if j.service && j.callOff != nil {
				j.callOff()
			}
		}
	})
}

// cancelledBetween counts the jobs that users were told are cancelled in a time.
func (w *world) cancelledBetween(from, to time.Duration) int {
	n := 0
	for _, j := range w.jobs {
		if j.cancelled > from && j.cancelled <= to {
			n++
		}
	}
	return n
}

func (w *world) anyOwner() *simNode { return w.owner(0) }

// used is what a team's tasks take now.
func (w *world) used(team string) float64 {
	sum := 0.0
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if j := w.jobs[t.ref[:len("wk-000000")]]; t.phase != "ended" && !k.dead && j.team == team {
				sum += j.cpus
			}
		}
	}
	return sum
}
