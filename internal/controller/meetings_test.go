package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/tuning"
)

// The troubles of the operators' page, each as something that happens to the
// simulated deployment. which picks a node, a machine or a variant.

const (
	second = time.Second
	ms     = time.Millisecond
)

// meeting is one of the operators' meetings of two troubles. play sets it up; met
// tells, after the day, whether it has happened.
type meeting struct {
	name string
	play func(w *world, seed int) (met func() bool)
}

// gap is the meeting that broke most of them: the state service refuses one node
// alone, others confirm cancellations, then it is down for all, while workers keep
// reporting to the old owner.
func gap(refused func(*world) *simNode, before, outage time.Duration, with ...string) func(*world, int) func() bool {
	return func(w *world, seed int) func() bool {
		w.prompt = true
		w.fill(14, 70*second)
		const at = 20 * second
		w.after(at-second, func() { w.callOff(2) })
		w.after(at, func() {
			w.refuseFor(refused(w).name, 14*second)
			for i, name := range with {
				doing(name)(w, seed+i, 25*second)
			}
		})
		w.after(at+before/4, func() { w.callOff(8) })
		w.after(at+before, func() { w.outageFor(outage) })
		w.after(at+before+100*ms, func() { w.callOff(1) })
		w.after(at+before+outage+100*ms, func() { w.callOff(1) })
		w.finishAll(at + before + outage + 40*second)
		return func() bool { return w.cancelledBetween(at, at+before) >= 2 }
	}
}

var meetings = []meeting{
	{"gap, leader", gap((*world).leader, 2*second, 77*second)},
	{"gap, owner", gap((*world).anyOwner, 2*second, 77*second)},
	{"gap, owner, just below the lease", gap((*world).anyOwner, 2*second, 11*second)},
	{"gap, owner, just above the lease", gap((*world).anyOwner, 2*second, 13*second)},
	{"gap, owner, just below cancel_s", gap((*world).anyOwner, 2*second, 43*second)},
	{"gap, owner, just above cancel_s", gap((*world).anyOwner, 2*second, 47*second)},
	{"gap, owner, ends with the refusal", gap((*world).anyOwner, 2*second, 12*second)},
	{"gap, owner, ends before the refusal", gap((*world).anyOwner, 2*second, 8*second)},
	{"gap, owner, after it", gap((*world).anyOwner, 13*second, 50*second)},
	{"gap, owner, hung machines", gap((*world).anyOwner, 2*second, 50*second, "machines hang")},
	{"gap, owner, deaf machines", gap((*world).anyOwner, 2*second, 50*second, "machines deaf")},
	{"gap, owner, mute machines", gap((*world).anyOwner, 2*second, 50*second, "machines mute")},
	{"the refusal meets the cancellation, a second later nobody is served", gap((*world).anyOwner, second, 50*second)},
	{"launches wait for reports while their owner is refused and the jobs are called off", func(w *world, seed int) func() bool {
		w.prompt = true
		w.pace = 5
		w.set.Deployment.Workers.ReportS = 5
		w.reboot()
		w.fill(6, 60*second)
		for i := range 8 { // placed just before the refusal
			j := &simJob{id: fmt.Sprintf("wk-%06d", 100+i), team: "red", tasks: 2, cpus: 1, length: 30 * second, spot: true, urgent: true, done: map[int]bool{}}
			w.after(29*second+500*ms, func() { w.user(j, 0) })
		}
		w.after(29*second, func() { w.closed = true })
		// The refusal comes when there are placements whose launches wait; how soon
		// machines have room for these jobs depends on what was rented for others.
		placed, refused := 0, time.Duration(0)
		var refuse func()
		refuse = func() {
			n := w.owner(0)
			for _, h := range n.node.shardOwners[0].workers.Workers() {
				for k := range h.Tasks {
					if k.PlacementDurable && !k.LaunchSent {
						placed++
					}
				}
			}
			if placed == 0 && w.now < 38*second {
				w.after(100*ms, refuse)
				return
			}
			refused = w.now
			w.refuseFor(n.name, 9*second)
			w.cut["users|"+n.name] = true
			for i := range 8 {
				if j := w.jobs[fmt.Sprintf("wk-%06d", 100+i)]; j.callOff != nil {
					j.callOff()
				}
			}
		}
		w.after(30*second+300*ms, refuse)
		w.after(50*second, func() { w.closed = false; clear(w.cut) })
		w.finishAll(80 * second)
		return func() bool { return placed > 0 && w.cancelledBetween(refused, refused+4*second) > 0 }
	}},
	{"users look closely", func(w *world, seed int) func() bool {
		w.looks = true
		w.unheard = []float64{0, 0.2}[seed%2]
		w.fill(20, 6*second)
		for i := range 40 {
			w.after(time.Duration(2000+i*500)*ms, func() { w.callOff(1) })
		}
		w.finishAll(40 * second)
		return func() bool { return w.cancelledBetween(0, 60*second) > 5 }
	}},
	{"users are mistaken while leaders change", func(w *world, seed int) func() bool {
		w.fill(24, 5*second)
		w.odd(700 * ms)
		for i := range 5 {
			w.after(time.Duration(12+i*8)*second, func() {
				doing([]string{"leader crashes", "owner refused", "outage", "unheard writes"}[(seed+i)%4])(w, seed, 6*second)
			})
		}
		w.finishAll(60 * second)
		return func() bool { return w.cancelledBetween(0, 90*second) > 0 }
	}},
	{"only the answer of a transaction is lost", func(w *world, seed int) func() bool {
		w.looks = true
		w.unheard = 0.25
		w.after(50*second, func() { w.unheard = 0 })
		w.fill(18, 8*second)
		w.after(15*second, func() { w.callOff(3) })
		w.after(20*second, func() { doing("leader crashes")(w, seed, 8*second) })
		w.finishAll(70 * second)
		return func() bool { return w.cancelledBetween(0, 70*second) > 0 }
	}},
	{"a transaction is carried out late", func(w *world, seed int) func() bool {
		w.lag = 0.25
		w.after(50*second, func() { w.lag = 0 })
		w.fill(18, 8*second)
		w.after(15*second, func() { w.callOff(3) })
		w.after(20*second, func() { doing([]string{"leader crashes", "owner crashes", "owner refused"}[seed%3])(w, seed, 8*second) })
		w.finishAll(70 * second)
		return func() bool { return w.cancelledBetween(0, 70*second) > 0 }
	}},
	{"teams at their limits, machines of cancelled jobs out of reach, a new leader", func(w *world, seed int) func() bool {
		full := false
		w.cloud.room = 30
		for i := range 30 {
			j := &simJob{id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: 4, cpus: 1, length: 25 * second, expect: 25, urgent: true, spot: true, done: map[int]bool{}}
			w.after(time.Duration(i*100)*ms, func() { w.user(j, 0) })
		}
		w.after(15*second, func() {
			full = max(w.used("red"), w.used("blue")) == 24 && min(w.used("red"), w.used("blue")) >= 16
			doing([]string{"machines hang", "machines cut off", "machines mute", "machines deaf"}[seed%4])(w, seed, 20*second)
			w.callOff(6)
		})
		w.after(15*second+time.Duration(seed*300)*ms, func() { doing([]string{"leader crashes", "owner crashes"}[seed/2%2])(w, seed, 10*second) })
		return func() bool { return full && w.cancelledBetween(15*second, 40*second) > 0 }
	}},
	{"jobs are called off while work changes hands", func(w *world, seed int) func() bool {
		w.fill(16, 40*second)
		w.after(20*second, func() {
			doing([]string{"owner crashes", "owner refused", "workers cut from the owner", "owner apart"}[seed%4])(w, seed, 25*second)
		})
		for i := range 30 {
			w.after(19*second+time.Duration(i)*600*ms, func() { w.callOff(1) })
		}
		w.finishAll(70 * second)
		return func() bool { return w.cancelledBetween(19*second, 45*second) > 5 }
	}},
	{"machines are up at once while writes lag, and the leader ends", func(w *world, seed int) func() bool {
		w.swift = true
		w.lag = 0.3
		w.after(40*second, func() { w.lag = 0 })
		w.fill(20, 10*second)
		for i := range 4 {
			w.after(time.Duration(3+i*4)*second, func() { doing([]string{"leader back at once", "leader crashes"}[seed%2])(w, seed%6, 6*second) })
		}
		w.finishAll(70 * second)
		return func() bool { return len(w.cloud.workers) > 1 }
	}},
	{"an old report reaches all as a new leader begins", func(w *world, seed int) func() bool {
		w.keeps = 0.3
		w.after(60*second, func() { w.keeps = 0 })
		w.fill(18, 9*second)
		changes := 0
		for i := range 6 {
			w.after(time.Duration(10+i*7)*second, func() {
				changes += len(w.kept)
				doing([]string{"leader crashes", "owner crashes", "owner refused"}[(seed+i)%3])(w, seed%5, 12*second)
			})
		}
		w.after(30*second, func() { w.callOff(4) })
		w.finishAll(80 * second)
		return func() bool { return changes > 5 }
	}},
	{"one-task jobs come four a second, a quarter is called off", func(w *world, seed int) func() bool {
		w.writes = 25
		w.set.Deployment.State.WriteRPS, w.set.Deployment.State.RPS = 25, 70
		w.reboot()
		w.cloud.room = 40
		n := 0
		for i := range 240 {
			j := &simJob{id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: 1, cpus: 1, length: time.Duration(2+w.rng.IntN(6)) * second, spot: true, done: map[int]bool{}}
			off := time.Duration(0)
			if i%4 == 0 {
				off = time.Duration(300+w.rng.IntN(4000)) * ms
				n++
			}
			w.after(time.Duration(i)*250*ms, func() { w.user(j, off) })
		}
		w.after(30*second, func() { doing([]string{"leader crashes", "owner refused", "outage"}[seed%3])(w, seed, 12*second) })
		return func() bool {
			pages := 0
			for key := range w.state.keys {
				if len(key) > 9 && key[:9] == "work/0/lo" {
					pages++
				}
			}
			return w.cancelledBetween(0, 200*second) > n/2 && pages < 2*tuning.LogCompactionPages
		}
	}},
	{"all controllers are away for longer than a lease", func(w *world, seed int) func() bool {
		w.fill(16, 40*second)
		w.after(20*second, func() { w.callOff(3) })
		w.after(20*second+time.Duration(seed*200)*ms, func() { doing("all are away")(w, seed, 16*second) })
		w.after(40*second, func() { w.callOff(2) })
		w.finishAll(80 * second)
		return func() bool { return w.cancelledBetween(20*second, 60*second) > 0 }
	}},
	{"small jobs end far apart across a change of leader", func(w *world, seed int) func() bool {
		over := 0
		for i := range 12 {
			j := &simJob{id: fmt.Sprintf("wk-%06d", i), team: "red", tasks: 2 + i%2, cpus: 1, length: 3 * second, apart: 8 * second, spot: true, done: map[int]bool{}}
			w.after(time.Duration(i*700)*ms, func() { w.user(j, 0) })
		}
		w.after(14*second, func() {
			for _, j := range w.jobs {
				if len(j.done) > 0 && len(j.done) < j.tasks {
					over++
				}
			}
			doing([]string{"leader crashes", "leader refused", "owner crashes"}[seed%3])(w, seed, 16*second)
		})
		return func() bool { return over > 0 }
	}},
	{"an order or its answer is held up, and the machine goes on", func(w *world, seed int) func() bool {
		w.fill(16, 12*second)
		hung := 0
		for i := range 10 {
			w.after(time.Duration(8+i*4)*second, func() {
				w.each(2, seed+i, func(k *worker) { k.hung, hung = w.now+time.Duration(2+i%4)*second, hung+1 })
				w.callOff(1)
			})
		}
		w.after(10*second, func() { doing("orders held up")(w, seed, 30*second) })
		w.finishAll(80 * second)
		return func() bool { return hung > 5 }
	}},
	{"a zone with a controller is cut off for longer than a lease", func(w *world, seed int) func() bool {
		w.fill(18, 30*second)
		cut := 0
		w.after(18*second, func() {
			name := w.nodes[seed%3].name
			w.apart(name, 20*second)
			for _, k := range w.cloud.workers {
				if k.zone == "b" {
					cut++
					k.only, k.node = seed%3+1, seed%3
					w.after(20*second, func() { k.only = 0 })
				}
			}
			w.callOff(4)
		})
		w.finishAll(80 * second)
		return func() bool { return cut > 0 && w.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"workers reach no controller while orders reach them", func(w *world, seed int) func() bool {
		w.fill(16, 30*second)
		w.after(18*second, func() {
			for _, k := range w.cloud.workers {
				k.mute = w.now + time.Duration(6+seed*2)*second
			}
			w.callOff(4)
		})
		w.finishAll(80 * second)
		return func() bool { return w.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"a question meets the end of a job's last task", func(w *world, seed int) func() bool {
		w.looks = true
		w.atEnd = true
		w.fill(24, 4*second)
		w.finishAll(60 * second)
		return func() bool { return w.cancelledBetween(0, 100*second) > 2 }
	}},
	{"the leader ends while machines with long tasks are out of reach", func(w *world, seed int) func() bool {
		w.fill(16, 45*second)
		w.after(18*second, func() {
			doing([]string{"machines cut off", "machines deaf", "machines mute"}[seed%3])(w, seed, time.Duration(8+seed*2)*second)
			doing("leader crashes")(w, seed, 8*second)
			doing("owner crashes")(w, seed, 12*second)
			w.callOff(3)
		})
		w.finishAll(90 * second)
		return func() bool { return w.cancelledBetween(18*second, 60*second) > 0 }
	}},
	{"the state service is slow, refuses the leader, then everybody", func(w *world, seed int) func() bool {
		w.fill(16, 60*second)
		w.after(12*second, func() { w.slow = time.Duration(20+seed*10) * ms })
		w.after(20*second, func() {
			doing([]string{"leader refused", "owner refused"}[seed%2])(w, seed, 10*second)
			w.callOff(5)
		})
		w.after(26*second, func() { w.outageFor(48 * second) })
		w.after(80*second, func() { w.slow = 0 })
		w.finishAll(110 * second)
		return func() bool { return w.cancelledBetween(20*second, 30*second) > 0 }
	}},
	{"a leader without state or peers, workers and users still with it", func(w *world, seed int) func() bool {
		w.fill(16, 40*second)
		w.after(18*second, func() {
			doing([]string{"leader apart", "owner apart"}[seed%2])(w, seed, time.Duration(10+seed*4)*second)
		})
		for i := range 10 {
			w.after(18*second+time.Duration(i)*1500*ms, func() { w.callOff(1) })
		}
		w.finishAll(90 * second)
		return func() bool { return w.cancelledBetween(18*second, 50*second) > 2 }
	}},
	{"controllers hand over and back, all end, one returns", func(w *world, seed int) func() bool {
		w.fill(16, 30*second)
		for i := range 4 {
			w.after(time.Duration(15+i*2)*second, func() { doing("owner crashes")(w, seed, 2*second) })
		}
		w.after(24*second, func() { doing("all crash, one is back within a second")(w, seed, 16*second); w.callOff(3) })
		w.finishAll(90 * second)
		return func() bool { return w.cancelledBetween(24*second, 60*second) > 0 }
	}},
	{"jobs bound to a zone lose machines", func(w *world, seed int) func() bool {
		dead := 0
		for i := range 10 {
			j := &simJob{id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: 4, cpus: 1, length: 12 * second, spot: true, done: map[int]bool{}}
			switch i % 3 {
			case 0:
				j.zone = "b"
			case 1:
				j.oneZone = true
			case 2:
				j.spread = true
			}
			w.after(time.Duration(i*500)*ms, func() { w.user(j, 0) })
		}
		for i := range 4 {
			w.after(time.Duration(10+i*4)*second, func() {
				w.each(1, seed+i, func(k *worker) { k.die(); dead++ })
				doing([]string{"leader back at once", "owner crashes"}[i%2])(w, seed%4, 5*second)
			})
		}
		return func() bool { return dead > 1 }
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(w *world, seed int) func() bool {
		w.fill(18, 25*second)
		changes := map[uint64]bool{}
		for i := range 10 {
			w.after(time.Duration(12+i*11)*second, func() {
				if n := w.leader(); n != nil {
					changes[n.node.leases.LeaderToken()] = true
					n.crash(time.Duration(300+seed*200) * ms)
				}
			})
		}
		w.after(40*second, func() { w.outageFor(15 * second) })
		w.after(45*second, func() { w.callOff(3) })
		w.finishAll(130 * second)
		return func() bool { return len(changes) > 6 }
	}},
}

// TestMeetings plays each of the operators' meetings with several seeds. No rule is
// broken, every node answers about every job within 75 s of the last trouble, and all
// work gets done.
func TestMeetings(t *testing.T) {
	const seeds = 4
	for _, m := range meetings {
		t.Run(m.name, func(t *testing.T) {
			met := 0
			for seed := 1; seed <= seeds; seed++ {
				w := newWorld(uint64(seed))
				if seed%2 == 0 {
					w.set.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard // several blocks
					w.reboot()
				}
				happened := m.play(w, seed)
				w.after(150*second, func() {
					w.calm = w.now
					w.asked(75 * second)
				})
				w.run(300 * second)
				if happened() {
					met++
				}
				if t.Run(fmt.Sprint(seed), func(t *testing.T) { w.check(t) }); t.Failed() {
					return
				}
			}
			if met <= seeds/2 {
				t.Errorf("the meeting has happened with %d of %d seeds", met, seeds)
			}
		})
	}
}

// TestTroublesInPairs draws two or three troubles that fall together, and perhaps a
// third that comes as they end.
func TestTroublesInPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "several blocks") {
			w.set.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
			w.reboot()
		}
		w.fetch = rapid.SampledFrom([]time.Duration{0, 2 * second, 5 * second}).Draw(t, "fetch")
		w.looks = rapid.Bool().Draw(t, "close looks")
		w.swift = rapid.Bool().Draw(t, "swift")
		w.atEnd = rapid.IntRange(0, 3).Draw(t, "called off at the end") == 0
		w.fill(rapid.IntRange(6, 16).Draw(t, "jobs"), time.Duration(rapid.IntRange(5, 50).Draw(t, "length"))*second)
		at := time.Duration(rapid.IntRange(8000, 20000).Draw(t, "at")) * ms
		for range rapid.IntRange(2, 4).Draw(t, "troubles") {
			x := troubles[rapid.IntRange(0, len(troubles)-1).Draw(t, "which trouble")]
			which := rapid.IntRange(0, 7).Draw(t, "which")
			d := time.Duration(rapid.IntRange(500, 50000).Draw(t, "for")) * ms
			w.after(at, func() { x.do(w, which, d) })
			at += time.Duration(rapid.IntRange(0, 4000).Draw(t, "later")) * ms
		}
		w.finishAll(110 * second)
		w.after(150*second, func() {
			w.calm = w.now
			w.asked(75 * second)
		})
		w.run(330 * second)
		w.check(t)
	})
}
