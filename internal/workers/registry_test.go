package workers

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// bench is a registry with one machine: its runtime, lease, task store and worker. The
// worker keeps the protocol: sessions, leases, tokens, attempts.
type bench struct {
	now   time.Duration
	token uint64
	table *Registry
	job   *taskstate.Job
	calls []call // direct orders on their way
	gone  func(*taskstate.Task)
	away  bool   // reports are turned away
	phase string // of the tasks in reports, "" for running
	// Of cancellations: when the user was told, 0 for never, and up to when the owner
	// knows of them; knows: it rests on that.
	off, proven time.Duration
	knows       bool
	stuck       bool          // there is no new token to be had
	expired     bool          // the lease is not surely valid
	earlier     time.Duration // until then an earlier owner may answer
	worker      struct {
		shift, tick, token uint64
		leased             time.Duration
		tasks              map[string]uint64 // attempts of running tasks
		seen               map[string]bool   // task@attempt, ever launched in this session
	}
}

type call struct {
	body []byte
	fn   func(http1.Response, error)
}

func (b *bench) Now() time.Duration          { return b.now }
func (b *bench) WallClock() time.Time        { return time.UnixMilli(0).Add(b.now) }
func (b *bench) Rand() float64               { return 0.5 }
func (b *bench) After(time.Duration, func()) {}
func (b *bench) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {
}

func (b *bench) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	b.calls = append(b.calls, call{c.Body, fn})
}

func (b *bench) Token() uint64    { return b.token }
func (b *bench) LeaseValid() bool { return !b.expired }
func (b *bench) MayAnswer() bool {
	return !b.away && (!b.knows || b.now < b.proven+b.table.set.MaxKnowledgeAge())
}

func (b *bench) RenewToken() {
	if !b.stuck {
		b.term()
	}
}

func (b *bench) CancellationsVerifiedSince(since time.Duration) bool {
	return !b.knows || (b.proven >= since && b.now-b.proven <= tuning.MaxLaunchKnowledgeAge)
}
func (b *bench) PreviousOwnerAnswersUntil() time.Duration { return b.earlier }
func (b *bench) CancellationAge(string) (time.Duration, bool) {
	return b.now - b.off, b.job.Cancelled
}
func (b *bench) IsLoaded() bool                    { return true }
func (b *bench) Job(string) *taskstate.Job         { return b.job }
func (b *bench) EachJob(fn func(*taskstate.Job))   { fn(b.job) }
func (b *bench) TaskChanged(*taskstate.Task, bool) {}
func (b *bench) TaskDone(t *taskstate.Task)        { t.State = taskstate.StateDone }
func (b *bench) DropTask(t *taskstate.Task)        { t.State = taskstate.StateDropped }
func (b *bench) term() {
	b.token++
	b.table.EndTerm()
	b.table.BeginTerm()
}

func newBench(tasks int) *bench {
	b := &bench{token: 1, now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Workers.ReportS, set.Deployment.Workers.LeaseS, set.Deployment.Workers.CancelS = 5, 36, 66
	b.table = NewRegistry(b, b, b, set, slog.New(slog.DiscardHandler))
	b.table.MachineType = func(string) *jobs.MachineType { return &jobs.MachineType{Name: "g8", CPUs: 64, MemoryGB: 64} }
	b.table.TaskWaiting = func(t *taskstate.Task) {
		if b.gone != nil {
			b.gone(t)
		}
	}
	index := make([]int, tasks)
	for i := range index {
		index[i] = i
	}
	b.job = &taskstate.Job{Spec: &jobs.Spec{ID: "wk-1", CPUs: 1, Shape: "array"}, Tasks: map[int]*taskstate.Task{}, Groups: map[string]*taskstate.TaskGroup{}}
	taskstate.LoadRecord(b.job, taskstate.NewRecord(0, "wk-1", 0, index, nil, nil))
	b.worker.shift, b.worker.leased = 1, b.now
	b.worker.tasks, b.worker.seen = map[string]uint64{}, map[string]bool{}
	b.table.BeginTerm()
	return b
}

// expire ends the worker's session when its lease has run out.
func (b *bench) expire() {
	if w := &b.worker; b.now-w.leased > b.table.set.WorkerLease() {
		w.shift++
		w.leased = b.now
		clear(w.tasks)
		clear(w.seen)
	}
}

func (b *bench) report() *Heartbeat {
	b.expire()
	w := &b.worker
	w.tick++
	r := &Heartbeat{WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: w.shift, Sequence: w.tick, Token: w.token}
	for ref, attempt := range w.tasks {
		phase := b.phase
		if phase == "" {
			phase = "running"
		}
		r.Tasks = append(r.Tasks, ReportedTask{Name: ref, Attempt: attempt, Phase: phase})
	}
	return r
}

// obey carries orders out.
func (b *bench) obey(token uint64, orders []Command) {
	w := &b.worker
	w.token = token
	for _, o := range orders {
		switch o.Verb {
		case "launch":
			if key := fmt.Sprint(o.TaskName, "@", o.Attempt); !w.seen[key] {
				w.seen[key] = true
				w.tasks[o.TaskName] = o.Attempt
			}
		case "halt":
			if w.tasks[o.TaskName] == o.Attempt {
				delete(w.tasks, o.TaskName)
			}
		}
	}
}

// hear takes the answer to a report that was sent at a time.
func (b *bench) hear(body []byte, shift uint64, sent time.Duration) {
	b.expire()
	var o CommandMessage
	if json.Unmarshal(body, &o) != nil || o.Token < b.worker.token || shift != b.worker.shift {
		return
	}
	b.worker.leased = max(b.worker.leased, sent)
	b.obey(o.Token, o.Commands)
}

// deliver carries a direct order out, perhaps late.
func (b *bench) deliver(c call) http1.Response {
	b.expire()
	var o CommandMessage
	if json.Unmarshal(c.body, &o) != nil || o.Token < b.worker.token || o.Session != b.worker.shift {
		raw, _ := json.Marshal(b.report())
		return http1.Response{Status: 409, Body: raw}
	}
	b.obey(o.Token, o.Commands)
	raw, _ := json.Marshal(b.report())
	return http1.Response{Status: 200, Body: raw}
}

// settleOrder lets the first direct order go: it is carried out or not, answered or
// not, now or later; those that are carried out later are returned with the rest.
func (b *bench) settleOrder(t *rapid.T, late []call) []call {
	if len(b.calls) == 0 {
		return late
	}
	c := b.calls[0]
	b.calls = b.calls[1:]
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0:
		c.fn(b.deliver(c), nil)
	case 1:
		b.deliver(c)
		c.fn(http1.Response{}, eventloop.ErrNoAnswer)
	case 2:
		late = append(late, c)
		c.fn(http1.Response{}, eventloop.ErrNoAnswer)
	case 3:
		c.fn(http1.Response{}, eventloop.ErrNotSent)
	}
	return late
}

// TestGoneIsGone: whatever is lost, late or repeated between a table and its
// worker, a task that the table calls gone is not on the machine and no order on
// its way can start it there.
func TestGoneIsGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(4)
		var late []call         // direct orders that may still be carried out
		var copies []*Heartbeat // reports that may come once more
		b.gone = func(k *taskstate.Task) {
			b.expire()
			if b.worker.tasks[k.Name()] == k.Attempt {
				t.Fatalf("%s, attempt %d, is called gone and runs", k.Name(), k.Attempt)
			}
			for _, c := range append(late, b.calls...) {
				var o CommandMessage
				_ = json.Unmarshal(c.body, &o)
				if o.Token < b.worker.token || o.Session != b.worker.shift {
					continue
				}
				for _, order := range o.Commands {
					key := fmt.Sprint(order.TaskName, "@", order.Attempt)
					if order.Verb == "launch" && order.TaskName == k.Name() && order.Attempt == k.Attempt && !b.worker.seen[key] {
						t.Fatalf("%s, attempt %d, is called gone and may start", k.Name(), k.Attempt)
					}
				}
			}
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			b.now += time.Duration(rapid.SampledFrom([]int{1, 500, 5000, 20000}).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1, 2: // a report; its answer may be lost
				sent := b.now
				r := b.report()
				copies = append(copies, r)
				if rapid.IntRange(0, 9).Draw(t, "report lost") == 0 {
					continue
				}
				status, body := b.table.HandleHeartbeat(r)
				if status == 200 && rapid.IntRange(0, 3).Draw(t, "answer lost") > 0 {
					b.hear(body, r.Session, sent)
				}
			case 3: // a copy of an earlier report
				if len(copies) > 0 {
					b.table.HandleHeartbeat(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				}
			case 4: // placements
				for _, k := range b.job.Tasks {
					if h := b.table.Worker("vm-1"); h != nil && b.table.AcceptsTasks(h) && k.State == taskstate.StateWaiting {
						b.table.Place(k, h)
						k.PlacementDurable = true
						b.table.PlacementDurable(k)
					}
				}
				b.table.AfterBatch()
			case 5: // a direct order: carried out or not, answered or not, now or later
				late = b.settleOrder(t, late)
			case 6: // a late one
				if len(late) > 0 {
					b.deliver(late[0])
					late = late[1:]
				}
			case 7:
				b.table.Tick()
			case 8: // another term: the records say what is placed
				for _, k := range b.job.Tasks {
					k.LaunchInFlight, k.LaunchInDoubt, k.GoneSession, k.GoneAfterSequence, k.Reported = false, false, 0, 0, false
				}
				b.term()
			}
		}
	})
}

// TestDeafMachineGetsNothing: a machine that reports and does not hear is left
// alone after a few reports, and not answered; when it answers a question it is
// back.
func TestDeafMachineGetsNothing(t *testing.T) {
	b := newBench(1)
	sent := b.now
	_, body := b.table.HandleHeartbeat(b.report())
	b.hear(body, 1, sent)
	b.table.HandleHeartbeat(b.report())
	h := b.table.Worker("vm-1")
	if !b.table.AcceptsTasks(h) {
		t.Fatal("a machine that hears is closed")
	}
	b.term()
	b.calls = nil
	for range tuning.DeafHeartbeats + 1 {
		b.now += 5 * time.Second
		b.table.HandleHeartbeat(b.report())
	}
	if status, _ := b.table.HandleHeartbeat(b.report()); !h.Deaf || b.table.AcceptsTasks(h) || status != 503 {
		t.Fatalf("deaf %v, open %v, answered %d", h.Deaf, b.table.AcceptsTasks(h), status)
	}
	b.now += tuning.DeafProbeInterval
	b.table.Tick()
	if len(b.calls) != 1 {
		t.Fatalf("%d questions", len(b.calls))
	}
	b.calls[0].fn(b.deliver(b.calls[0]), nil)
	b.table.HandleHeartbeat(b.report())
	if h.Deaf || !b.table.AcceptsTasks(h) {
		t.Errorf("deaf %v, open %v after an answer", h.Deaf, b.table.AcceptsTasks(h))
	}
}

// TestDrainedMachineMovesWork: replicas leave a machine that is drained, and
// tasks that can save are told to in time before the cloud takes theirs; others
// run on.
func TestDrainedMachineMovesWork(t *testing.T) {
	for name, c := range map[string]struct {
		shape     jobs.Shape
		saveEvery float64
		notice    float64
		moves     bool
	}{
		"a replica":                {"daemon", 0, 60, true},
		"a task without saves":     {"array", 0, 6, false},
		"a task that saves":        {"array", 30, 6, true},
		"a task that saves, early": {"array", 30, 60, false},
	} {
		b := newBench(1)
		b.job.Spec.Shape, b.job.Spec.CheckpointIntervalSeconds, b.job.Spec.CheckpointSeconds = c.shape, c.saveEvery, 4
		b.worker.token = b.token
		b.table.HandleHeartbeat(b.report())
		k := b.job.Tasks[0]
		b.table.Place(k, b.table.Worker("vm-1"))
		k.PlacementDurable = true
		sent := b.now
		_, body := b.table.HandleHeartbeat(b.report())
		b.hear(body, 1, sent)
		b.now += time.Second
		r := b.report()
		r.SpotNoticeSeconds = &c.notice
		b.table.HandleHeartbeat(r)
		b.table.Tick()
		b.calls = nil
		b.table.AfterBatch()
		if k.HaltDecided != c.moves || len(b.calls) > 0 != c.moves {
			t.Errorf("%s: stopping %v, %d orders", name, k.HaltDecided, len(b.calls))
			continue
		}
		if c.moves {
			b.calls[0].fn(b.deliver(b.calls[0]), nil)
			b.table.HandleHeartbeat(b.report())
			if k.State != taskstate.StateWaiting {
				t.Errorf("%s is not free for another machine", name)
			}
		}
	}
}

// TestCopyOpensNothing: a late copy of a report opens no machine for a new
// owner, shows no task gone, and never moves the lease's end to earlier.
func TestCopyOpensNothing(t *testing.T) {
	b := newBench(1)
	old := b.report()
	b.worker.token = b.token
	for range 3 {
		b.table.HandleHeartbeat(b.report())
	}
	k := b.job.Tasks[0]
	b.table.Place(k, b.table.Worker("vm-1"))
	k.PlacementDurable, k.LaunchSent = true, true
	b.term()
	h := b.table.Worker("vm-1")
	end := b.table.leaseEnd(h)
	b.now += time.Minute / 2
	b.table.HandleHeartbeat(old)
	if k.State != taskstate.StatePlaced || b.table.AcceptsTasks(h) || b.table.leaseEnd(h) < end {
		t.Errorf("task %v, open %v, lease ends %v, before %v", k.State, b.table.AcceptsTasks(h), b.table.leaseEnd(h), end)
	}
}

// BenchmarkReport shows the cost of a report by the tasks on the machine.
func BenchmarkReport(bm *testing.B) {
	for _, tasks := range []int{2, 8, 64} {
		bm.Run(fmt.Sprint(tasks, "tasks"), func(bm *testing.B) {
			b := newBench(tasks)
			b.worker.token = b.token
			for i := range tasks {
				b.worker.tasks[fmt.Sprint("wk-1/", i)] = 1
			}
			raw, err := json.Marshal(b.report())
			if err != nil {
				bm.Fatal(err)
			}
			for i := 0; bm.Loop(); i++ {
				r, err := ParseHeartbeat(raw)
				if err != nil {
					bm.Fatal(err)
				}
				r.Sequence += uint64(i)
				b.table.HandleHeartbeat(r)
			}
		})
	}
}

// BenchmarkTick shows the cost of the look at all machines, by their number.
func BenchmarkTick(bm *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		bm.Run(fmt.Sprint(n, "machines"), func(bm *testing.B) {
			b := newBench(1)
			for i := range n {
				b.table.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%06d", i), Addr: "w:1", MachineType: "g8", Zone: "a", Session: 1, Sequence: 1, Token: 1})
			}
			for bm.Loop() {
				b.table.Tick()
			}
		})
	}
}

// TestGreetsLiveMachinesFirst guards against a takeover that waits: of hundreds
// of machines, those heard of late are told of the new token before any that
// have been silent, each of which is waited for in vain.
func TestGreetsLiveMachinesFirst(t *testing.T) {
	b := newBench(1)
	const all = 900
	for i := range all {
		if i%3 == 0 {
			b.table.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%d", i), Addr: fmt.Sprint("w:", i), MachineType: "g8", Zone: "a", Session: 1, Sequence: 1, Token: 1})
		}
	}
	b.now += time.Minute
	for i := range all {
		if i%3 != 0 {
			b.table.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%d", i), Addr: fmt.Sprint("w:", i), MachineType: "g8", Zone: "b", Session: 1, Sequence: 1, Token: 1})
		}
	}
	b.term()
	for told := 0; told < all; {
		b.table.AfterBatch()
		if len(b.calls) == 0 || len(b.calls) > tuning.MaxConcurrentAnnouncements {
			t.Fatalf("%d machines are told at a time after %d", len(b.calls), told)
		}
		told += len(b.calls)
		for i, h := range b.table.greets {
			if h.Zone == "b" && told >= all*2/3 {
				t.Fatalf("%s, heard of late, is number %d in line after %d", h.ID, i, told)
			}
		}
		calls := b.calls
		b.calls = nil
		for _, c := range calls {
			c.fn(http1.Response{}, eventloop.ErrNoAnswer)
		}
	}
}

// TestDarkZoneGetsNoTasks: a zone from which nothing is heard while others
// report is taken for cut off before its machines are late one by one. What was
// placed there meanwhile waited for the end of their leases.
func TestDarkZoneGetsNoTasks(t *testing.T) {
	b := newBench(1)
	report := func(zone string, tick int) {
		for i := range 40 {
			b.table.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%s%d", zone, i), Addr: "w:1", MachineType: "g8", Zone: zone, Session: 1, Sequence: uint64(tick), Token: 1})
		}
		b.table.Tick()
	}
	open := func(zone string) bool { return b.table.AcceptsTasks(b.table.Worker("vm-" + zone + "7")) }
	report("a", 1)
	report("b", 1)
	if !open("a") || !open("b") {
		t.Fatal("machines that have just reported are not open")
	}
	b.now += 6 * time.Second
	if !open("a") {
		t.Error("with no zone heard it is not the zone that is cut off")
	}
	report("b", 2)
	if open("a") || !open("b") {
		t.Errorf("cut off zone open: %v, the other: %v", open("a"), open("b"))
	}
	if lit := b.table.ReachableZones(); len(lit) != 1 || lit[0] != "b" {
		t.Errorf("heard from %v", lit)
	}
	report("a", 2)
	if !open("a") {
		t.Error("the zone is back and gets no tasks")
	}
}

// TestUnansweredOrderClosesMachine: a machine that has left an order unanswered
// gets no more tasks before it reports.
func TestUnansweredOrderClosesMachine(t *testing.T) {
	b := newBench(2)
	b.table.HandleHeartbeat(b.report())
	b.worker.token = 1
	b.table.HandleHeartbeat(b.report())
	h := b.table.Worker("vm-1")
	k := b.job.Tasks[0]
	b.table.Place(k, h)
	k.PlacementDurable = true
	b.table.PlacementDurable(k)
	b.table.AfterBatch()
	if len(b.calls) != 1 || !b.table.AcceptsTasks(h) {
		t.Fatalf("%d orders, open %v", len(b.calls), b.table.AcceptsTasks(h))
	}
	b.now += 2 * time.Second
	b.calls[0].fn(http1.Response{}, eventloop.ErrNoAnswer)
	if b.table.AcceptsTasks(h) {
		t.Error("it is given more")
	}
	b.now += time.Second
	b.table.HandleHeartbeat(b.report()) // which makes the table take a new token
	k.LaunchInDoubt = false             // which settles it: tasks are read anew
	b.worker.token = b.token
	b.table.HandleHeartbeat(b.report())
	if !b.table.AcceptsTasks(h) {
		t.Error("it has reported and gets nothing")
	}
}

// TestOutageIsNoSilence guards against a fault of a day with an outage of the
// state service that outlasted the hold: reports were turned away, and at its
// end the machines counted as silent and were returned with their tasks.
func TestOutageIsNoSilence(t *testing.T) {
	b := newBench(1)
	b.table.HandleHeartbeat(b.report())
	h := b.table.Worker("vm-1")
	for range 30 {
		b.now += time.Second
		b.away = true
		b.table.Tick()
	}
	b.away = false
	b.now += 3 * time.Second
	b.table.Tick()
	if b.table.IsSuspect(h) {
		t.Error("a machine counts as silent that nobody listened to")
	}
	b.now += b.table.set.WorkerDeadAfter()
	if !b.table.IsSuspect(h) {
		t.Error("it has not reported since, and does not count as silent")
	}
}

// TestCancelledIsGoneInTime: whatever is lost, late or repeated, and however long the
// owner goes without a proof or another one takes over, no task of a job is on its
// machine, nor can an order on its way start it, longer than cancel_s after its user
// was told that it is cancelled.
func TestCancelledIsGoneInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(3)
		b.knows, b.proven = true, b.now
		b.stuck = rapid.Bool().Draw(t, "no new token")
		limit := time.Duration(b.table.set.Deployment.Workers.CancelS * float64(time.Second))
		var late []call
		var copies []*Heartbeat
		check := func(what string) {
			b.expire()
			if b.off > 0 && b.now > b.off+limit && len(b.worker.tasks) > 0 {
				t.Fatalf("%s: %v is on the machine %v after", what, b.worker.tasks, b.now-b.off)
			}
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			b.now += time.Duration(rapid.SampledFrom([]int{1, 300, 1500, 4000, 9000}).Draw(t, "ms")) * time.Millisecond
			check("time")
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0, 1, 2:
				sent, r := b.now, b.report()
				copies = append(copies, r)
				if !b.MayAnswer() {
					continue
				}
				status, body := b.table.HandleHeartbeat(r)
				if status == 200 && rapid.IntRange(0, 3).Draw(t, "answer lost") > 0 {
					b.hear(body, r.Session, sent)
				}
			case 3:
				if len(copies) > 0 && b.MayAnswer() {
					b.table.HandleHeartbeat(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				}
			case 4:
				for _, k := range b.job.Tasks {
					if h := b.table.Worker("vm-1"); h != nil && b.table.AcceptsTasks(h) && k.State == taskstate.StateWaiting && !k.Job.Cancelled {
						b.table.Place(k, h)
						k.PlacementDurable = true
						b.table.PlacementDurable(k)
					}
				}
				b.table.AfterBatch()
			case 5, 6:
				late = b.settleOrder(t, late)
			case 7:
				if len(late) > 0 {
					b.deliver(late[0])
					late = late[1:]
				}
			case 8:
				b.table.Tick()
			case 9: // the user cancels, at any node
				if b.off == 0 && len(b.worker.tasks)+len(late)+len(b.calls) > 0 {
					b.off = b.now
				}
			case 10: // the owner has its knowledge proven; perhaps it is another one
				b.proven = b.now
				if b.off > 0 && !b.job.Cancelled {
					b.job.Cancelled = true
					b.table.CancelJob(b.job)
				}
				if !b.stuck && rapid.IntRange(0, 4).Draw(t, "another term") == 0 {
					for _, k := range b.job.Tasks {
						k.LaunchInFlight, k.LaunchInDoubt, k.GoneSession, k.GoneAfterSequence, k.Reported = false, false, 0, 0, false
					}
					b.term()
				}
			}
			check("step")
		}
	})
}

// TestOldCopyDoesNotShortenTheLease: a new owner begins while the earlier one goes on
// answering the worker for a while. A copy of an old report that reaches the new one first
// shows an earlier token: it says nothing of how long that may go on. Counted from the
// copy, the lease had run out by reckoning while the worker ran on, and its tasks were
// started elsewhere besides.
func TestOldCopyDoesNotShortenTheLease(t *testing.T) {
	b := newBench(1)
	b.earlier = b.now + 12*time.Second
	k := b.job.Tasks[0]
	k.State, k.WorkerID, k.Attempt, k.LaunchSent, k.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true, true
	b.worker.tasks[k.Name()] = 1
	b.table.BeginTerm()
	copied := b.report()
	goneAt := time.Duration(0)
	b.gone = func(*taskstate.Task) { goneAt = b.now }
	b.now += time.Second
	b.table.HandleHeartbeat(copied)
	last := b.earlier + b.table.set.WorkerLease() // the worker may run until then
	for ; b.now < last+time.Minute && goneAt == 0; b.now += 100 * time.Millisecond {
		b.table.Tick()
	}
	if goneAt < last {
		t.Errorf("called gone %v before the worker's lease may end", last-goneAt)
	}
}

// TestAnsweredHeartbeatBelowTheTokenExtendsTheLease: a worker that has not seen the
// owner's token yet renews its lease by each answer all the same. Counted from an
// earlier moment, its tasks were called gone while they ran on.
func TestAnsweredHeartbeatBelowTheTokenExtendsTheLease(t *testing.T) {
	b := newBench(1)
	b.table.HandleHeartbeat(b.report())
	b.worker.token = b.token
	k := b.job.Tasks[0]
	k.State, k.WorkerID, k.Attempt, k.LaunchSent, k.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true, true
	b.worker.tasks[k.Name()] = 1
	b.term()
	b.now += 20 * time.Second
	if status, _ := b.table.HandleHeartbeat(b.report()); status != 200 {
		t.Fatalf("answered %d", status)
	}
	last := b.now + b.table.set.WorkerLease() // the worker may run until then
	goneAt := time.Duration(0)
	b.gone = func(*taskstate.Task) { goneAt = b.now }
	for ; b.now < last+time.Minute && goneAt == 0; b.now += 100 * time.Millisecond {
		b.table.Tick()
	}
	if goneAt < last {
		t.Errorf("called gone %v before the worker's lease may end", last-goneAt)
	}
}
