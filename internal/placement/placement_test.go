package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// yard is a planner with machines whose tasks are kept here.
type yard struct {
	*Planner
	hosts       []*workers.Worker
	now         time.Duration
	byID        map[string]*workers.Worker
	placesGangs bool                    // tasks are placed as gangs are
	promptly    func(class string) bool // nil: no class starts promptly
}

var (
	small = &jobs.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 10, Zones: []string{"a"}}
	large = &jobs.MachineType{Name: "large", CPUs: 32, MemoryGB: 128, CacheGB: 10, Zones: []string{"a"}}
)

func newYard(types ...*jobs.MachineType) *yard {
	y := &yard{now: time.Hour, byID: map[string]*workers.Worker{}}
	y.Planner = New(y, y, tuning.WaitBound)
	for i, t := range types {
		h := &workers.Worker{
			ID:      fmt.Sprintf("vm-%03d", i),
			Machine: workers.Machine{MachineTypeName: t.Name, Zone: "a", MachineType: t},
			Load:    workers.Load{Tasks: map[*taskstate.Task]bool{}},
		}
		y.hosts = append(y.hosts, h)
		y.byID[h.ID] = h
	}
	return y
}

func (y *yard) AcceptsTasks(h *workers.Worker) bool   { return h.DrainReason == "" }
func (y *yard) Worker(id string) *workers.Worker      { return y.byID[id] }
func (y *yard) UpdateRank(*taskstate.Job, int64) bool { return false }
func (y *yard) StartsPromptly(class string) bool      { return y.promptly != nil && y.promptly(class) }

func (y *yard) PlaceTask(t *taskstate.Task, h *workers.Worker) {
	if y.placesGangs {
		t.PlaceOn(h.ID)
		h.Tasks[t] = true
		h.Used = h.Used.Plus(t.Job.Spec.Resources())
		h.UseImage(t.Job.Spec.Image, t.Job.Spec.ImageGB)
		return
	}
	t.State, t.WorkerID, t.Job.HasPlacedTask = taskstate.StatePlaced, h.ID, true
	h.AddTask(t)
}

func (y *yard) round() { y.RunRound(y.hosts, y.now, time.UnixMilli(0).Add(y.now)) }

// end takes a task off its machine.
func (y *yard) end(t *taskstate.Task) {
	y.Worker(t.WorkerID).RemoveTask(t)
	t.State = taskstate.StateDone
}

// job makes a job whose tasks arrive.
func (y *yard) job(id int, urgency, image string, cpus float64, tasks int) []*taskstate.Task {
	j := taskstate.NewJob(&jobs.Spec{ID: fmt.Sprintf("wk-%d", id), Urgency: urgency, Image: image, ImageGB: 1, CPUs: cpus, MemoryGB: cpus, Spot: true},
		y.now.Milliseconds()+int64(id), false)
	var list []*taskstate.Task
	for i := range tasks {
		t := &taskstate.Task{Job: j, Index: i}
		list = append(list, t)
		y.AddTask(t, y.now)
	}
	return list
}

// TestPullOrder: an arriving task runs on an idle machine that caches its image,
// else on another, else it queues; a machine with room takes from its own queue,
// then the extra queue, then the last task of the longest queue.
func TestPullOrder(t *testing.T) {
	y := newYard(small, small)
	first := y.job(1, "standard", "x", 4, 2)
	y.round()
	if first[0].WorkerID == "" || first[1].WorkerID == "" || first[0].WorkerID == first[1].WorkerID {
		t.Fatal("idle machines are left idle")
	}
	own := y.job(2, "standard", "x", 4, 4)
	y.round()
	extra := y.job(3, "standard", "y", 4, 1)
	y.round()
	if len(y.queues[y.hosts[0].ID]) != 2 || len(y.queues[y.hosts[1].ID]) != 2 || len(y.extra) != 1 {
		t.Fatalf("queues %d and %d, extra %d", len(y.queues[y.hosts[0].ID]), len(y.queues[y.hosts[1].ID]), len(y.extra))
	}
	host := first[0].WorkerID
	var taken []string
	take := func(done *taskstate.Task) *taskstate.Task {
		y.end(done)
		y.round()
		for _, list := range [][]*taskstate.Task{own, extra} {
			for _, k := range list {
				if k.State == taskstate.StatePlaced && k.WorkerID == host {
					taken = append(taken, k.Name())
					return k
				}
			}
		}
		t.Fatal("a machine with room takes nothing")
		return nil
	}
	k := first[0]
	for range 4 {
		k = take(k)
	}
	// Two of its own queue, then the extra queue's, then the other's last.
	if taken[2] != "wk-3/0" || taken[3] != y.lastOf(own, host) {
		t.Errorf("taken in the order %v", taken)
	}
}

// lastOf is the highest task of a list that a machine has had.
func (y *yard) lastOf(list []*taskstate.Task, host string) string {
	best := ""
	for _, k := range list {
		if k.WorkerID == host && k.Name() > best {
			best = k.Name()
		}
	}
	return best
}

// TestCachedWorkFirst: of other machines' queues, those with work whose image is
// cached come first, though another is longer.
func TestCachedWorkFirst(t *testing.T) {
	y := newYard(small, small, small)
	x := y.job(1, "standard", "x", 4, 2)
	other := y.job(2, "standard", "y", 4, 1)
	y.round()
	y.job(3, "standard", "y", 4, 3) // all in one queue
	y.round()
	y.job(4, "standard", "x", 4, 3) // two and one
	y.round()
	thief := x[0].WorkerID
	done := x[0]
	var taken []string
	for range 3 {
		y.end(done)
		y.round()
		for k := range y.Worker(thief).Tasks {
			done = k
		}
		taken = append(taken, done.Job.Spec.Image)
	}
	if len(y.queues[other[0].WorkerID]) != 3 || fmt.Sprint(taken) != "[x x x]" {
		t.Errorf("took %v, %d left in the longest queue", taken, len(y.queues[other[0].WorkerID]))
	}
}

// TestWaitBound: a large task past the bound gets the next machine, though small
// ones of its priority take every processor that comes free.
func TestWaitBound(t *testing.T) {
	y := newYard(large)
	running := y.job(1, "standard", "x", 1, 32)
	y.round()
	big := y.job(2, "standard", "y", 16, 1)[0]
	next := 3
	for step := range 200 {
		y.now += time.Second
		running = append(running, y.job(next, "standard", "x", 1, 2)...)
		next++
		y.round()
		if big.State == taskstate.StatePlaced {
			if waited := time.Duration(step) * time.Second; waited < tuning.WaitBound-2*time.Second {
				t.Fatalf("placed after %v", waited)
			}
			return
		}
		ended := 0
		for _, k := range running {
			if k.State == taskstate.StatePlaced && ended < 2 {
				y.end(k)
				ended++
			}
		}
	}
	t.Error("the large task never ran")
}

// TestRoundsLoseNothing: after any rounds every task is on one machine, which
// has room for it, or in one queue, and no machine with room is passed over.
func TestRoundsLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var types []*jobs.MachineType
		for range rapid.IntRange(1, 6).Draw(t, "machines") {
			types = append(types, rapid.SampledFrom([]*jobs.MachineType{small, large}).Draw(t, "type"))
		}
		y := newYard(types...)
		var all []*taskstate.Task
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			y.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "later")) * time.Second
			all = append(all, y.job(i, rapid.SampledFrom([]string{"low", "standard", "urgent"}).Draw(t, "urgency"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "image"),
				rapid.SampledFrom([]float64{1, 4, 16}).Draw(t, "cpus"), rapid.IntRange(1, 20).Draw(t, "tasks"))...)
			for _, k := range all {
				if k.State == taskstate.StatePlaced && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					y.end(k)
				}
			}
			h := y.hosts[rapid.IntRange(0, len(y.hosts)-1).Draw(t, "host")]
			h.DrainReason = rapid.SampledFrom([]string{"", "", "idle"}).Draw(t, "drain")
			y.round()
		}
		for _, h := range y.hosts {
			if h.Used.CPUs > h.MachineType.CPUs+slack || h.Used.MemoryGB > h.MachineType.MemoryGB+slack {
				t.Fatalf("%s has %g of %g processors taken", h.ID, h.Used.CPUs, h.MachineType.CPUs)
			}
		}
		queued := map[*taskstate.Task]int{}
		for _, k := range y.extra {
			queued[k]++
		}
		for _, q := range y.queues {
			for _, k := range q {
				queued[k]++
			}
		}
		for _, k := range y.arrivals {
			queued[k]++
		}
		for _, k := range all {
			if k.State == taskstate.StateWaiting && queued[k] != 1 {
				t.Fatalf("%s is in %d queues", k.Name(), queued[k])
			}
		}
	})
}

// BenchmarkRound shows what a round costs by the number of machines, all full,
// with as many tasks waiting.
func BenchmarkRound(bm *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		bm.Run(fmt.Sprint(n, "machines"), func(bm *testing.B) {
			types := make([]*jobs.MachineType, n)
			for i := range types {
				types[i] = large
			}
			y := newYard(types...)
			for i := range 40 {
				y.job(i, "standard", fmt.Sprint("image", i%16), 16, n*4/40)
			}
			y.round()
			for bm.Loop() {
				y.round()
			}
		})
	}
}

// TestFetchesApart: a task whose image is cached nowhere goes to a machine that
// fetches nothing, though a fuller one has room; images fetched at the same time
// may share the rate.
func TestFetchesApart(t *testing.T) {
	y := newYard(large, large, large)
	y.hosts[0].Used.CPUs, y.hosts[0].FetchingTasks = 16, 1
	y.hosts[1].Used.CPUs = 8
	a := y.job(1, "standard", "x", 4, 1)
	y.round()
	if a[0].WorkerID != "vm-001" {
		t.Errorf("placed on %s", a[0].WorkerID)
	}
	y.hosts[0].UseImage("y", 1)
	b := y.job(2, "standard", "y", 4, 1)
	y.round()
	if b[0].WorkerID != "vm-000" {
		t.Errorf("with its image cached placed on %s", b[0].WorkerID)
	}
}
