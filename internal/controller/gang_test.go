package controller

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// check reports broken rules, and jobs that are not over though all troubles are.
func (w *world) check(t interface{ Errorf(string, ...any) }) {
	for _, b := range w.broken {
		t.Errorf("%s", b)
	}
	for _, j := range w.jobs {
		if j.told == "" {
			w.dump()
			t.Errorf("%s is not over: accepted %v, %d of %d tasks done, %d starts", j.id, j.accepted, len(j.done), j.tasks, j.gangStarts)
		}
	}
}

// aGang is a gang of the simulated deployment.
func aGang(i, tasks int, cpus float64) *simJob {
	return &simJob{
		id: fmt.Sprintf("wk-%06d", i), team: []string{"red", "blue"}[i%2], tasks: tasks, cpus: cpus,
		length: 4 * time.Second, spot: true, gang: true, done: map[int]bool{},
	}
}

// TestGangsUnderFaults plays gangs with little room and troubles around their
// starts: losses of machines before, at and after them, new owners at every step,
// late reports, deaf and hanging machines, zones that are cut off, notices and
// cancellations. No rule is broken, and every gang ends once all is over.
func TestGangsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.copies = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "copies")
		w.late = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "late")
		w.cloud.each = rapid.SampledFrom([]int{2, 4}).Draw(t, "machines of a kind")
		if rapid.Bool().Draw(t, "several blocks") {
			w.set.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
			w.reboot()
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "gangs") {
			j := aGang(i, rapid.IntRange(2, 6).Draw(t, "tasks"), rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "cpus"))
			j.saveEvery = rapid.SampledFrom([]float64{0, 2}).Draw(t, "save")
			j.oneZone = rapid.Bool().Draw(t, "one zone")
			j.spread = !j.oneZone && rapid.Bool().Draw(t, "spread")
			j.length = time.Duration(rapid.IntRange(500, 15000).Draw(t, "length")) * time.Millisecond
			cancel := time.Duration(0)
			if rapid.IntRange(0, 4).Draw(t, "cancelled") == 0 {
				cancel = time.Duration(rapid.IntRange(100, 20000).Draw(t, "cancel after")) * time.Millisecond
			}
			w.after(time.Duration(rapid.IntRange(0, 15000).Draw(t, "at"))*time.Millisecond, func() { w.user(j, cancel) })
		}
		some := func(which int, fn func(k *worker)) {
			if n := len(w.cloud.workers); n > 0 {
				fn(w.cloud.workers[which%n])
			}
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(1000, 45000).Draw(t, "fault at")) * time.Millisecond
			span := time.Duration(rapid.IntRange(200, 20000).Draw(t, "span")) * time.Millisecond
			which := rapid.IntRange(0, 11).Draw(t, "which")
			kind := rapid.IntRange(0, 8).Draw(t, "kind")
			w.after(at, func() {
				switch kind {
				case 0:
					some(which, func(k *worker) { k.die() })
				case 1:
					some(which, func(k *worker) { k.hung = w.now + span })
				case 2:
					some(which, func(k *worker) {
						k.deaf = true
						w.after(span, func() { k.deaf = false })
					})
				case 3:
					some(which, func(k *worker) { k.notice(span) })
				case 4:
					some(which, func(k *worker) { k.sick = true })
				case 5: // a new owner, within a fraction of a second
					for _, n := range w.nodes {
						if n.node != nil && n.node.ownsShard() {
							n.crash(span / 40)
						}
					}
				case 6:
					w.nodes[which%3].crash(span / 2)
				case 7:
					zone := []string{"a", "b"}[which%2]
					for _, k := range w.cloud.workers {
						if k.zone == zone {
							k.dark = w.now + span
						}
					}
				case 8: // the last commit of the owner gets no answer
					w.late = 0.3
					w.after(300*time.Millisecond, func() { w.late = 0 })
				}
			})
		}
		w.after(66*time.Second, func() { w.late, w.copies = 0, 0 })
		w.run(280 * time.Second)
		w.check(t)
	})
}

// TestGangRunsTogether: on a quiet day each gang starts once, whole, with one
// attempt, and is pending until it runs.
func TestGangRunsTogether(t *testing.T) {
	w := newWorld(31)
	for i := range 6 {
		j := aGang(i, 2+i, 1)
		j.oneZone = i%2 == 0
		w.after(time.Duration(i*4)*time.Second, func() { w.user(j, 0) })
	}
	early := 0
	for at := time.Second; at < 90*time.Second; at += 100 * time.Millisecond {
		w.run(at)
		for _, j := range w.jobs {
			n := w.nodes[0].node
			if e := n.catalog.Get(j.id); e != nil && e.Phase == "" && n.taskStates.RunningTasks(j.id) > 0 && j.gangStarts == 0 {
				early++
			}
		}
	}
	if early > 0 {
		t.Errorf("%d times a gang was shown as running before it ran", early)
	}
	w.check(t)
	for _, j := range w.jobs {
		if j.gangStarts != 1 || len(j.attempts) != 1 {
			t.Errorf("%s: %d starts, %d attempts", j.id, j.gangStarts, len(j.attempts))
		}
	}
}

// TestTwoGangsTooLittleRoom: two gangs, each of which takes most of the machines
// that can be had, do not wait for each other's places.
func TestTwoGangsTooLittleRoom(t *testing.T) {
	w := newWorld(32)
	w.cloud.room = 3
	for i := range 2 {
		j := aGang(i, 5, 2)
		w.after(time.Duration(2000+i*50)*time.Millisecond, func() { w.user(j, 0) })
	}
	small := &simJob{id: "wk-000009", team: "red", tasks: 12, cpus: 1, length: 3 * time.Second, spot: true, done: map[int]bool{}}
	w.after(time.Second, func() { w.user(small, 0) })
	w.run(120 * time.Second)
	w.check(t)
}

// TestLostBeforeTheStart: a task of a gang that waits is replaced under the same
// number when its machine dies; the gang starts without a second attempt.
func TestLostBeforeTheStart(t *testing.T) {
	for seed := range uint64(8) {
		w := newWorld(40 + seed)
		j := aGang(1, 4, 4) // one on each machine
		w.after(2*time.Second, func() { w.user(j, 0) })
		killed := false
		for at := 2 * time.Second; at < 60*time.Second && !killed; at += 10 * time.Millisecond {
			w.run(at)
			g := j.attempts[1]
			if g == nil || g.started > 0 {
				continue
			}
			for _, k := range w.cloud.workers {
				for _, x := range k.tasks {
					if x.phase == "fetching" && len(g.members) > 0 {
						k.notice(10 * time.Millisecond) // and its machine is gone
						killed = true
					}
				}
				if killed {
					break
				}
			}
		}
		w.run(130 * time.Second)
		w.check(t)
		if !killed {
			t.Error("no task was caught before the start")
		}
		if len(j.attempts) > 2 {
			t.Errorf("seed %d: %d attempts", seed, len(j.attempts))
		}
	}
}

// TestOrderlyStop: a gang on a machine that the cloud takes saves, all its tasks
// in time, and goes on from there.
func TestOrderlyStop(t *testing.T) {
	w := newWorld(33)
	j := aGang(1, 4, 4)
	j.length, j.saveEvery = 40*time.Second, 2
	w.after(2*time.Second, func() { w.user(j, 0) })
	var at time.Duration
	for now := 2 * time.Second; now < 100*time.Second; now += 100 * time.Millisecond {
		w.run(now)
		if g := j.attempts[1]; at == 0 && g != nil && g.started > 0 && now > g.started+10*time.Second {
			at = now
			for _, k := range w.cloud.workers {
				if len(k.tasks) > 0 {
					k.notice(12 * time.Second)
					break
				}
			}
		}
	}
	w.run(150 * time.Second)
	w.check(t)
	g := j.attempts[1]
	if g == nil || !g.stored {
		t.Fatalf("the first attempt was not saved: %+v", g)
	}
	if kept := g.halted - g.started; kept < 15*time.Second || j.gangStarts != 2 {
		t.Errorf("saved after %v, %d starts", kept, j.gangStarts)
	}
}

// TestGangInSeveralBlocks: a gang that no single block would hold runs all the
// same, divided under one attempt, also when its owners change on the way.
func TestGangInSeveralBlocks(t *testing.T) {
	for _, crash := range []bool{false, true} {
		w := newWorld(34)
		w.set.Deployment.Teams[0].CPUs = 2 * tuning.CPUsPerShard
		w.cloud.each = 2
		w.reboot()
		j := aGang(1, 4, 4) // four machines of four processors, two in each block
		j.zone = "b"
		w.after(2*time.Second, func() { w.user(j, 0) })
		if crash {
			w.after(45*time.Second, func() {
				for _, n := range w.nodes {
					n.crash(500 * time.Millisecond)
				}
			})
		}
		w.run(240 * time.Second)
		w.check(t)
		if j.gangStarts == 0 {
			t.Error("it never started")
		}
	}
}

// TestGangAboveTheLimit: 422, but never for one that has been accepted.
func TestGangAboveTheLimit(t *testing.T) {
	w := newWorld(35)
	w.run(12 * time.Second)
	ask := func(j *simJob) (status int) {
		w.jobs[j.id] = j
		w.nodes[0].request("users", "POST", "/work", j.body(), 5*time.Second, func(a http1.Response, err error) { status = a.Status })
		w.run(w.now + 2*time.Second)
		return status
	}
	j := aGang(1, 7, 4)
	if got := ask(j); got != 422 {
		t.Errorf("28 of 24 processors: %d", got)
	}
	delete(w.jobs, j.id)
	j = aGang(3, 6, 4)
	if got := ask(j); got != 201 {
		t.Errorf("24 of 24 processors: %d", got)
	}
	for _, n := range w.nodes {
		n.node.settings.Deployment.Teams[0].CPUsMax, n.node.settings.Deployment.Teams[1].CPUsMax = 10, 10
	}
	if got := ask(j); got != 200 {
		t.Errorf("known already: %d", got)
	}
}

// TestProductionState: the version before has left jobs, records, pages, leases
// and half-done work, some of it larger than the state service takes by now. All
// of it is taken over, done and cancelled, and nothing too large is written back.
func TestProductionState(t *testing.T) {
	raw, err := os.ReadFile("../taskstate/testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var p struct {
		Snapshots []struct {
			Keys map[string]json.RawMessage `json:"keys"`
		} `json:"snapshots"`
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		t.Fatal(err)
	}
	for n, snap := range p.Snapshots {
		for _, told := range []bool{true, false} {
			w := newWorld(uint64(50 + n))
			w.ops, w.value, w.writes, w.lie = 3, 1024, 12, !told
			if told {
				ops, kb, rate := 3, 1.0, 12.0
				w.set.Deployment.State.Next = &settings.NextLimits{TxnOps: &ops, ValueKB: &kb, WriteRPS: &rate}
			}
			w.reboot()
			for key, value := range snap.Keys {
				if strings.HasPrefix(key, "lease/") {
					continue // ended with the processes
				}
				w.state.epoch++
				w.state.keys[key] = &entry{value, w.state.epoch, 0}
			}
			big := 0
			for key, value := range snap.Keys {
				id, ok := strings.CutPrefix(key, userapi.KeyPrefix)
				var r userapi.Record
				if !ok || json.Unmarshal(value, &r) != nil || r.Phase != "" {
					continue
				}
				j := &simJob{
					id: id, team: r.Spec.Team, tasks: r.Spec.Tasks, cpus: r.Spec.CPUs, length: 100 * time.Millisecond, spot: r.Spec.Spot,
					spread: r.Spec.Spread, oneZone: r.Spec.SameZone, builds: r.Spec.MachineTypes, done: map[int]bool{},
				}
				cancel := time.Duration(0)
				if len(value) > w.value {
					big++
					if id == "wk-000102" {
						cancel = 6 * time.Second
					}
				}
				w.after(time.Second, func() {
					for _, n := range w.nodes {
						n.node.taskStates.EachRecord(func(r *taskstate.Record) {
							for k, m := range r.Statuses {
								if r.Job == id && m.State == taskstate.StateDone {
									j.done[r.TaskIndexes[k]] = true
								}
							}
						})
					}
					w.user(j, cancel)
				})
			}
			w.run(400 * time.Second)
			w.check(t)
			if n == 2 && big == 0 {
				t.Error("nothing stored is larger than the limit")
			}
			if j := w.jobs["wk-000102"]; j != nil && j.told != "cancelled" {
				t.Errorf("a job with a large description is %q, not cancelled", j.told)
			}
		}
	}
}

// TestLimitsFallInMidRun: the state service takes less from some moment on. What
// waits is not lost, and nothing is written over the limits that the settings
// tell.
func TestLimitsFallInMidRun(t *testing.T) {
	w := newWorld(36)
	ops, kb, rate := 1, 1.0, 8.0
	w.set.Deployment.State.WriteRPS = 15
	w.set.Deployment.State.Next = &settings.NextLimits{TxnOps: &ops, ValueKB: &kb, WriteRPS: &rate}
	w.writes = 15
	w.reboot()
	for i := range 14 {
		j := aGang(i, 2+i%5, 1)
		if j.gang = i%3 > 0; !j.gang {
			j.tasks = 14
		}
		w.after(time.Duration(2+i*3)*time.Second, func() { w.user(j, 0) })
	}
	w.after(20*time.Second, func() { w.ops, w.value, w.writes = 1, 1024, 8 })
	w.run(200 * time.Second)
	w.check(t)
}

// TestLoneMachineDies guards against a fault of a generated day: the only machine
// died, every owner heard nothing and gave the block up, the next one likewise,
// and no lease ever ran out: the work on it waited for ever.
func TestLoneMachineDies(t *testing.T) {
	for seed := uint64(30); seed < 45; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { loneMachineDies(t, newWorld(seed)) })
	}
}

func loneMachineDies(t *testing.T, w *world) {
	j := &simJob{id: "wk-000001", team: "red", tasks: 3, cpus: 1, length: 60 * time.Second, spot: true, done: map[int]bool{}}
	w.after(time.Second, func() { w.user(j, 0) })
	w.run(15 * time.Second)
	// Every node owns the block once and hears the machine.
	owned := map[string]bool{}
	for w.now < 150*time.Second && len(owned) < 3 {
		w.run(w.now + 500*time.Millisecond)
		for _, n := range w.nodes {
			for _, h := range n.node.shardOwners[0].workers.Workers() {
				if n.node.ownsShard() && h.HasReported {
					owned[n.name] = true
				}
			}
		}
		for _, n := range w.nodes {
			w.cut["workers|"+n.name] = owned[n.name] && len(owned) < 3
			for _, o := range w.nodes {
				if o != n {
					w.cut[n.name+"|"+o.name] = len(owned) < 3 // so that no report is passed on
				}
			}
		}
	}
	if len(owned) < 3 {
		t.Fatalf("only %v have owned the block", owned)
	}
	clear(w.cut)
	for _, k := range w.cloud.workers {
		k.die()
	}
	w.run(w.now + 150*time.Second)
	w.check(t)
}
