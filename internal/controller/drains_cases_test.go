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
func (w *world) drainAll(t *testing.T, id string, pick func(*worker) bool) []string {
	t.Helper()
	if pick == nil {
		pick = hasTasks
	}
	names := w.hosts(pick)
	w.operate(startDrain(id, names, false), func(r drain.Response) {
		if r.Status != drain.StatusOK {
			t.Errorf("start of %s: %+v", id, r)
		}
	})
	return names
}

// granted is the newest grants in the state service.
func (w *world) granted() int {
	n := 0
	for key := range w.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && strings.Contains(key, "/grant/") {
			n++
		}
	}
	return n
}

// when calls fn as soon as something holds.
func (w *world) when(holds func() bool, fn func()) {
	if holds() {
		fn()
		return
	}
	w.after(ms, func() { w.when(holds, fn) })
}

// waiting tells whether the leader gives a reason with these words for a drain's waiting.
func (w *world) waiting(words string) bool { return strings.Contains(w.drainViews(), words) }

// allGone checks that a drain has ended well.
func (w *world) allGone(t *testing.T, names []string) {
	t.Helper()
	if n := w.emptied(names); n != len(names) {
		t.Errorf("%d of %d machines are gone; %s", n, len(names), w.drainViews())
	}
	w.verify(t)
}

func TestDrainOutageBetweenGrantAndHalt(t *testing.T) {
	w := drainWorld(2, 6, nil)
	names := w.drainAll(t, "a", nil)
	met := false
	w.when(func() bool { return w.granted() > 0 }, func() {
		met = w.drains.halts == 0
		w.outageFor(20 * second)
	})
	w.run(w.now + 240*second)
	if !met {
		t.Error("the outage came too late")
	}
	w.allGone(t, names)
}

func TestDrainLeaderAndOwnerChangeAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		w := drainWorld(10+seed, 6, nil)
		names := w.drainAll(t, "a", nil)
		for i := range 6 { // at various moments after a grant
			w.after(time.Duration(i)*15*second, func() {
				w.when(func() bool { return w.granted() > 0 }, func() {
					w.after(time.Duration(w.rng.IntN(1500))*ms, func() {
						if l, o := w.leader(), w.owner(0); l != nil && o != nil {
							l.crash(300 * ms)
							o.crash(400 * ms)
						}
					})
				})
			})
		}
		w.run(w.now + 300*second)
		w.allGone(t, names)
	}
}

// TestDrainLostAnswers: commits get no answer and are carried out late, also after
// their leader has ended.
func TestDrainLostAnswers(t *testing.T) {
	for seed := range uint64(6) {
		w := drainWorld(20+seed, 6, nil)
		names := w.drainAll(t, "a", nil)
		w.after(2*second, func() { w.lag = 0.5 })
		for i := range 5 {
			w.after(time.Duration(10+8*i)*second, func() {
				if l := w.leader(); l != nil {
					l.crash(500 * ms)
				}
			})
		}
		w.after(60*second, func() { w.lag = 0 })
		w.run(w.now + 300*second)
		w.allGone(t, names)
	}
}

func TestDrainUrgentWorkTakesTheRoom(t *testing.T) {
	w := drainWorld(3, 6, nil)
	w.cloud.room = 0 // nothing more can be rented
	w.withNothingRentable()
	names := w.drainAll(t, "a", nil)
	urgent := &simJob{id: "wk-000050", team: "red", tasks: 18, cpus: 1, length: 60 * second, expect: 60, spot: true, urgent: true, done: map[int]bool{}}
	w.after(3*second, func() { w.user(urgent, 0) })
	waited := false
	w.after(20*second, func() { waited = w.waiting("waits for room") || w.waiting("no room") })
	w.run(w.now + 40*second)
	if !waited {
		t.Errorf("it does not say that it waits for room: %s", w.drainViews())
	}
	gone := w.emptied(names)
	w.cloud.room = 20
	w.run(w.now + 260*second)
	if gone == len(names) {
		t.Error("it did not wait")
	}
	w.allGone(t, names)
}

// TestDrainWithoutRoom: where nothing is free and nothing can be rented, nothing is
// stopped, and the drain says why; it goes on when machines can be had.
func TestDrainWithoutRoom(t *testing.T) {
	w := newWorld(14)
	w.cloud.room = 6
	w.withDrains(map[string]settings.DrainLimits{"red": limits(9, 99, 0), "blue": limits(9, 99, 0)}, 3, 0)
	j := &simJob{id: "wk-000001", team: "red", tasks: 20, cpus: 1, zone: "b", length: time.Hour, expect: 3600, spot: true, done: map[int]bool{}}
	w.after(0, func() { w.user(j, 0) })
	w.run(25 * second)
	w.cloud.room = -100
	for _, k := range w.cloud.workers {
		if len(k.tasks) == 0 {
			k.die() // what is free
		}
	}
	w.run(w.now + 20*second)
	names := w.drainAll(t, "a", nil)
	w.run(w.now + 20*second)
	if w.drains.halts > 0 || !w.waiting("the cloud has not given one") {
		t.Errorf("%d halts; %s", w.drains.halts, w.drainViews())
	}
	w.cloud.room = 20
	w.run(w.now + 260*second)
	w.allGone(t, names)
}

// TestDrainWaitsForTasksAboutToEnd: they are not stopped within the time for that, and
// stopped after it if they have not ended.
func TestDrainWaitsForTasksAboutToEnd(t *testing.T) {
	for _, ends := range []bool{true, false} {
		w := newWorld(15)
		w.cloud.room = 30
		w.withDrains(map[string]settings.DrainLimits{"red": limits(9, 99, 0), "blue": limits(9, 99, 0)}, 9, 25)
		j := &simJob{id: "wk-000001", team: "red", tasks: 6, cpus: 1, length: 40 * second, expect: 40, spot: true, done: map[int]bool{}}
		if !ends {
			j.length = time.Hour // the estimate is wrong
		}
		w.after(0, func() { w.user(j, 0) })
		w.run(25 * second)
		names := w.drainAll(t, "a", nil)
		w.run(w.now + 18*second)
		early := w.drains.halts
		w.run(w.now + 100*second)
		if early > 0 || (w.drains.halts > 0) == ends {
			t.Errorf("ends %v: %d halts at first, %d in all", ends, early, w.drains.halts)
		}
		w.allGone(t, names)
	}
}

// TestDrainWhileUrgentWorkAlwaysWaits: with replacements a drain takes no room away, and
// goes on although urgent work that the daemon lets queue waits for room all the time.
func TestDrainWhileUrgentWorkAlwaysWaits(t *testing.T) {
	w := newWorld(16)
	w.cloud.room = 1
	w.withDrains(map[string]settings.DrainLimits{"red": limits(2, 9, 0), "blue": limits(2, 9, 0)}, 3, 0)
	long := &simJob{id: "wk-000001", team: "red", tasks: 4, cpus: 1, length: time.Hour, expect: 3600, builds: []string{"small"}, done: map[int]bool{}}
	w.after(0, func() { w.user(long, 0) })
	w.run(25 * second)
	w.cloud.room = -100 // the urgent job finds no machine
	urgent := &simJob{id: "wk-000002", team: "blue", tasks: 8, cpus: 2, length: time.Hour, expect: 3600, urgent: true, builds: []string{"big"}, done: map[int]bool{}}
	w.user(urgent, 0)
	w.run(w.now + 10*second)
	waits := w.leader().node.fleet.HasWaitingWork(jobs.PriorityStandard)
	w.cloud.each = 1 + len(w.hosts(nil)) // a small one more of each kind, and no big one
	w.cloud.none = "big"
	names := w.hosts(hasTasks)
	w.operate(startDrain("a", names, true), func(drain.Response) {})
	w.run(w.now + 120*second)
	if !waits || urgent.began > 0 {
		t.Errorf("urgent work waits: %v, began at %v", waits, urgent.began)
	}
	w.allGone(t, names)
}

// withNothingRentable has the nodes find out that the cloud has no machines left.
func (w *world) withNothingRentable() {
	for i := range 3 {
		j := &simJob{id: fmt.Sprintf("wk-%06d", 60+i), team: "blue", tasks: 5, cpus: 2, length: 2 * second, expect: 300, spot: i%2 == 0, urgent: true, done: map[int]bool{}}
		w.user(j, 0)
	}
	w.run(w.now + 5*second)
}

// TestDrainBudgetUsedUpByOthers: what nobody chose to disturb uses the budget up, and
// the drain goes on by itself when that is over.
func TestDrainBudgetUsedUpByOthers(t *testing.T) {
	w := newWorld(4)
	w.cloud.room = 30
	w.withDrains(map[string]settings.DrainLimits{"red": limits(2, 4, 1), "blue": limits(1, 4, 1)}, 3, 0)
	red := &simJob{id: "wk-000001", team: "red", tasks: 8, cpus: 2, zone: "b", length: time.Hour, expect: 3600, spot: true, done: map[int]bool{}}
	w.after(0, func() { w.user(red, 0) })
	w.run(25 * second)
	w.cloud.room = -100 // what is lost finds no room
	lost := 0
	for _, k := range w.cloud.workers {
		if !k.dead && (len(k.tasks) == 0 || lost < 2) {
			lost += len(k.tasks)
			k.die()
		}
	}
	w.run(w.now + 25*second)
	names := w.drainAll(t, "a", func(k *worker) bool { return len(k.tasks) > 0 })
	w.run(w.now + 15*second)
	if lost != 2 || w.drains.halts > 0 || !w.waiting("budget of team red") {
		t.Errorf("%d lost, %d halts; %s", lost, w.drains.halts, w.drainViews())
	}
	w.cloud.room = 20
	w.run(w.now + 260*second)
	w.allGone(t, names)
}

func TestDrainMachinesInTrouble(t *testing.T) {
	for name, do := range map[string]func(w *world, k *worker){
		"hangs":          func(w *world, k *worker) { k.hung = w.now + 25*second },
		"deaf":           func(w *world, k *worker) { k.deaf = true; w.after(30*second, func() { k.deaf = false }) },
		"cut off":        func(w *world, k *worker) { k.dark = w.now + 30*second },
		"dies":           func(w *world, k *worker) { k.die() },
		"is taken":       func(w *world, k *worker) { k.notice(8 * second) },
		"hangs for ever": func(w *world, k *worker) { k.hung = w.now + time.Hour },
	} {
		w := drainWorld(5, 6, nil)
		names := w.drainAll(t, "a", nil)
		w.when(func() bool { return w.granted() > 0 }, func() {
			for _, k := range w.cloud.workers {
				if !k.dead && len(k.tasks) > 0 {
					do(w, k)
				}
			}
		})
		w.run(w.now + 300*second)
		if n := w.emptied(names); n != len(names) && name != "hangs for ever" {
			t.Errorf("%s: %d of %d machines are gone; %s", name, n, len(names), w.drainViews())
		}
		for _, b := range w.broken {
			t.Errorf("%s: %s", name, b)
		}
	}
}

func TestDrainTwoOfTheSameMachine(t *testing.T) {
	w := drainWorld(6, 8, nil)
	names := w.drainAll(t, "a", nil)
	w.run(w.now + 3*second)
	w.drainAll(t, "b", nil)
	w.run(w.now + 8*second)
	w.operate(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(drain.Response) {})
	w.run(w.now + 260*second)
	w.allGone(t, names)
}

// TestDrainCancelledHalfway: the machines take tasks again and no task is lost.
func TestDrainCancelledHalfway(t *testing.T) {
	w := drainWorld(7, 10, nil)
	names := w.drainAll(t, "a", nil)
	w.run(w.now + 12*second)
	w.operate(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(r drain.Response) {
		if r.Status != drain.StatusOK || r.Drains[0].Phase != drain.PhaseCancelled {
			t.Errorf("cancel: %+v", r)
		}
	})
	w.run(w.now + 60*second)
	gone := w.emptied(names)
	if gone == len(names) {
		t.Error("cancelled too late")
	}
	for _, n := range w.nodes {
		for _, o := range n.node.shardOwners {
			for _, h := range o.workers.Workers() {
				if o.token != 0 && h.HasReported && !o.workers.AcceptsTasks(h) {
					t.Errorf("%s does not take tasks", h.ID)
				}
			}
		}
	}
	if w.used("red") != 10 || w.used("blue") != 10 {
		t.Errorf("%g and %g tasks run", w.used("red"), w.used("blue"))
	}
	for key := range w.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && key != drain.HeadKey("a") {
			t.Errorf("%s is left", key)
		}
	}
	w.verify(t)
}

// TestDrainLateHaltOfACancelledDrain: a halt that is still on its way when its drain is
// cancelled goes on using the budget up.
func TestDrainLateHaltOfACancelledDrain(t *testing.T) {
	w := drainWorld(8, 3, nil)
	busy := map[string]bool{} // machines with tasks of blue, one of which may be disturbed
	for _, k := range w.cloud.workers {
		for _, x := range k.tasks {
			if strings.HasPrefix(x.ref, "wk-000002") && !k.dead {
				busy[k.host] = true
			}
		}
	}
	var first *worker
	for _, k := range w.cloud.workers {
		if busy[k.host] && first == nil {
			first = k
		}
	}
	first.deaf = true                // what it is told with its reports is lost
	first.orders = w.now + 25*second // and what it is told directly held up
	w.drainOne(t, "a", first)
	w.when(func() bool { return w.granted() > 0 }, func() {
		w.after(1500*ms, func() {
			w.operate(drain.Request{Verb: drain.VerbCancel, ID: "a"}, func(drain.Response) {})
		})
	})
	w.run(w.now + 8*second)
	if w.granted() == 0 {
		t.Error("the grant is gone while its halt is on its way")
	}
	first.deaf = false
	var others []string
	for _, k := range w.cloud.workers {
		if busy[k.host] && k != first {
			others = append(others, k.host)
		}
	}
	if len(others) > 0 {
		w.operate(startDrain("b", others, false), func(drain.Response) {})
	}
	w.run(w.now + 90*second)
	if w.drains.halts < 2 || len(others) == 0 {
		t.Errorf("%d halts, %d other machines", w.drains.halts, len(others))
	}
	w.verify(t)
}

// drainOne starts a drain at the leader itself, whatever becomes of other messages.
func (w *world) drainOne(t *testing.T, id string, k *worker) {
	w.drains.named[k.host] = true
	r := startDrain(id, []string{k.host}, false)
	w.leader().node.drains.coordinator.Handle(&r, func(a drain.Response) {
		if a.Status != drain.StatusOK {
			t.Errorf("start: %+v", a)
		}
	})
}

// TestDrainLastReplica: the only place of a service's last replica is not emptied, and
// the drain says why; with a budget that allows it, it is.
func TestDrainLastReplica(t *testing.T) {
	for _, replicasUp := range []int{1, 0} {
		w := newWorld(9)
		w.withDrains(map[string]settings.DrainLimits{"red": limits(2, 2, replicasUp), "blue": limits(2, 2, 1)}, 3, 0)
		j := &simJob{id: "wk-000001", team: "red", tasks: 1, cpus: 1, service: true, spot: true, done: map[int]bool{}}
		w.after(0, func() { w.user(j, 0) })
		w.run(25 * second)
		names := w.drainAll(t, "a", nil)
		w.run(w.now + 90*second)
		if left := len(names) - w.emptied(names); left != replicasUp || w.used("red") != 1 {
			t.Errorf("with %d up, %d machines are left and %g replicas", replicasUp, left, w.used("red"))
		}
		if replicasUp > 0 && !w.waiting("replicas_up: 0 of service wk-000001 would be up, 1 must be") {
			t.Error(w.drainViews())
		}
		w.verify(t)
	}
}

// TestDrainBesideOtherVersions: nodes that know no drains serve beside those that do,
// and alone afterwards; no rule breaks and no budget is exceeded.
func TestDrainBesideOtherVersions(t *testing.T) {
	for seed := range uint64(3) {
		w := drainWorld(30+seed, 8, nil)
		names := w.drainAll(t, "a", nil)
		for i := range 3 { // one after the other goes back to the other version
			w.after(time.Duration(8+10*i)*second, func() {
				n := w.nodes[(int(seed)+i)%3]
				n.old = true
				n.crash(500 * ms)
			})
		}
		w.run(w.now + 60*second)
		if w.used("red") != 8 || w.used("blue") != 8 {
			t.Errorf("%g and %g tasks run under the other version", w.used("red"), w.used("blue"))
		}
		for _, n := range w.nodes { // and forward again: the drain is resumed
			n.old = false
			n.crash(500 * ms)
		}
		w.run(w.now + 260*second)
		w.allGone(t, names)
	}
}

// TestDrainRequestsThatAreRefused: each with the field that is at fault, and nothing is
// half accepted.
func TestDrainRequestsThatAreRefused(t *testing.T) {
	w := drainWorld(11, 4, nil)
	one := w.hosts(hasTasks)[:1]
	w.operate(startDrain("known", one, false), func(drain.Response) {})
	w.run(w.now + 5*second)
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
		{startDrain("known", w.hosts(hasTasks)[:2], false), "id", "another selection"},
		{drain.Request{Verb: drain.VerbCancel, ID: "none"}, "id", "no drain"},
		{drain.Request{Verb: drain.VerbResume, ID: "known"}, "id", ""},
		{drain.Request{Verb: "burn", ID: "a"}, "verb", "burn"},
	} {
		var got *drain.Response
		w.operate(c.request, func(r drain.Response) { got = &r })
		w.run(w.now + 4*second)
		if c.request.ID == "known" && c.request.Verb == drain.VerbResume && got != nil && got.Status == drain.StatusOK {
			continue // it is running: a repeat
		}
		if got == nil || got.Status != drain.StatusRefused || got.Field != c.field || !strings.Contains(got.Reason, c.words) {
			t.Errorf("%+v: %+v", c.request, got)
		}
	}
	for key := range w.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && !strings.HasPrefix(key, drain.KeyPrefix+"known/") {
			t.Errorf("%s is left", key)
		}
	}
	w.verify(t)
}

// TestDrainBudgetUnderWhichNothingMoves: refused at the start, naming the job.
func TestDrainBudgetUnderWhichNothingMoves(t *testing.T) {
	w := newWorld(12)
	w.withDrains(map[string]settings.DrainLimits{"red": limits(2, 1, 0), "blue": limits(2, 2, 0)}, 3, 0)
	j := &simJob{id: "wk-000001", team: "red", tasks: 1, cpus: 2, length: time.Hour, spot: true, done: map[int]bool{}}
	w.after(0, func() { w.user(j, 0) })
	w.run(25 * second)
	var got drain.Response
	w.operate(startDrain("a", w.hosts(hasTasks), false), func(r drain.Response) { got = r })
	w.run(w.now + 5*second)
	if got.Status != drain.StatusRefused || got.Field != "budget" || !strings.Contains(got.Reason, j.id) {
		t.Errorf("%+v", got)
	}
	w.verify(t)
}

// TestDrainRepeatedStart: the same request again, at any node and after a lost answer,
// starts one drain.
func TestDrainRepeatedStart(t *testing.T) {
	w := drainWorld(13, 4, nil)
	w.unheard = 0.5
	request := startDrain("a", w.hosts(hasTasks), false)
	answers := 0
	for i := range 6 {
		w.after(time.Duration(i)*700*ms, func() {
			w.operate(request, func(r drain.Response) {
				answers++
				if r.Status != drain.StatusOK {
					t.Errorf("%+v", r)
				}
			})
		})
	}
	w.run(w.now + 30*second)
	w.unheard = 0
	w.run(w.now + 10*second)
	heads := 0
	for key, e := range w.state.keys {
		if strings.HasPrefix(key, drain.KeyPrefix) && strings.HasSuffix(key, "/head") {
			heads++
			var head drain.Head
			if json.Unmarshal(e.value, &head) != nil || head.Machines != len(request.Selection.Machines) {
				t.Errorf("%s", e.value)
			}
		}
	}
	if answers != 6 || heads != 1 {
		t.Errorf("%d answers, %d drains", answers, heads)
	}
	w.verify(t)
}
