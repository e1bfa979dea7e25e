package workers

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// hears has the worker report and hear the answer, and then show the token.
func (b *bench) hears(t *testing.T) *Worker {
	t.Helper()
	for range 2 {
		b.now += time.Second
		sent, r := b.now, b.report()
		status, body := b.table.HandleHeartbeat(r)
		if status != 200 {
			t.Fatalf("answered %d", status)
		}
		b.hear(body, r.Session, sent)
	}
	return b.table.Worker("vm-1")
}

// place gives a task to the machine; the placement is durable at once.
func (b *bench) place(index int) *taskstate.Task {
	k := b.job.Tasks[index]
	b.table.Place(k, b.table.Worker("vm-1"))
	k.PlacementDurable = true
	b.table.PlacementDurable(k)
	return k
}

// order lets the next direct order leave.
func (b *bench) order(t *testing.T) call {
	t.Helper()
	b.table.AfterBatch()
	if len(b.calls) != 1 {
		t.Fatalf("%d direct orders", len(b.calls))
	}
	c := b.calls[0]
	b.calls = nil
	return c
}

// orders are those of an answer to a heartbeat.
func orders(t *testing.T, body []byte) []Command {
	t.Helper()
	var o CommandMessage
	if err := json.Unmarshal(body, &o); err != nil {
		t.Fatal(err)
	}
	return o.Commands
}

func hasVerb(list []Command, verb string) bool {
	return slices.ContainsFunc(list, func(o Command) bool { return o.Verb == verb })
}

// TestCompletedTaskIsForgottenWhenDurable: the worker keeps a completed task until its
// completion is in the records.
func TestCompletedTaskIsForgottenWhenDurable(t *testing.T) {
	b := newBench(1)
	b.placeAll(t)
	k := b.job.Tasks[0]
	for range 2 {
		if o := b.say(t, "ended", "done"); hasVerb(o, "forget") {
			t.Fatalf("told %v before the completion is durable", o)
		}
	}
	k.DoneDurable = true
	if o := b.say(t, "ended", "done"); k.State != taskstate.StateDone || !hasVerb(o, "forget") {
		t.Errorf("state %v, told %v when it is", k.State, o)
	}
}

// TestLateHeartbeatsAreDropped: one of the same session and an earlier sequence, or of an
// earlier session, is not answered and is no sign of life.
func TestLateHeartbeatsAreDropped(t *testing.T) {
	b := newBench(1)
	old := b.report()
	h := b.hears(t)
	b.worker.shift, b.worker.tick = 2, 0
	b.hears(t)
	heard := h.LastHeartbeatAt
	b.now += time.Second
	for name, r := range map[string]*Heartbeat{
		"sequence": {WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: 2, Sequence: 1, Token: b.token},
		"session":  {WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: 1, Sequence: 99, Token: b.token},
		"copy":     old,
	} {
		if status, _ := b.table.HandleHeartbeat(r); status != 503 || h.LastHeartbeatAt != heard || h.Session != 2 || h.Sequence != 2 {
			t.Errorf("%s: answered %d, heard %v later, session %d, sequence %d", name, status, h.LastHeartbeatAt-heard, h.Session, h.Sequence)
		}
	}
}

// TestHeartbeatOfANewerOwnersWorkerIsRefused: a worker that has seen a newer token has
// another owner.
func TestHeartbeatOfANewerOwnersWorkerIsRefused(t *testing.T) {
	b := newBench(1)
	h := b.hears(t)
	heard := h.LastHeartbeatAt
	b.now += time.Second
	b.worker.token = b.token + 1
	if status, _ := b.table.HandleHeartbeat(b.report()); status != 503 || h.LastHeartbeatAt != heard {
		t.Errorf("answered %d, heard %v later", status, h.LastHeartbeatAt-heard)
	}
}

// TestReturnedMachineStaysGone: a heartbeat that was under way when the cloud took the
// machine back brings it back for nobody.
func TestReturnedMachineStaysGone(t *testing.T) {
	b := newBench(1)
	b.hears(t)
	b.table.MachineReleased("vm-1")
	if status, _ := b.table.HandleHeartbeat(b.report()); status != 503 || b.table.Worker("vm-1") != nil {
		t.Errorf("answered %d, known %v", status, b.table.Worker("vm-1") != nil)
	}
}

// TestUnansweredLaunchStaysInDoubt: a launch without an answer may be carried out at any
// time until the worker has seen a higher token. A heartbeat that does not list the task
// proves nothing before.
func TestUnansweredLaunchStaysInDoubt(t *testing.T) {
	b := newBench(1)
	b.stuck = true // no new token yet
	b.hears(t)
	k := b.place(0)
	c := b.order(t)
	c.fn(http1.Response{}, eventloop.ErrNoAnswer)
	b.now += time.Second
	b.table.HandleHeartbeat(b.report())
	if k.State != taskstate.StatePlaced || !k.LaunchInDoubt {
		t.Fatalf("state %v, in doubt %v", k.State, k.LaunchInDoubt)
	}
	b.deliver(c) // late
	b.now += time.Second
	b.table.HandleHeartbeat(b.report())
	if k.State != taskstate.StatePlaced || !k.Reported {
		t.Errorf("state %v, seen %v when it runs", k.State, k.Reported)
	}
}

// TestHeartbeatOlderThanTheLaunchProvesNothing: one that left before the launch was
// carried out, and arrives after the answer, does not list the task.
func TestHeartbeatOlderThanTheLaunchProvesNothing(t *testing.T) {
	b := newBench(1)
	b.hears(t)
	k := b.place(0)
	c := b.order(t)
	early := b.report()
	c.fn(b.deliver(c), nil)
	if status, _ := b.table.HandleHeartbeat(early); status != 200 || k.State != taskstate.StatePlaced {
		t.Errorf("answered %d, state %v", status, k.State)
	}
}

// TestOrderAnswerProvesNothingGone: the answer to an order may be newer than a heartbeat and
// yet older than the worker's reading of our reply to it, which carried a launch.
func TestOrderAnswerProvesNothingGone(t *testing.T) {
	b := newBench(2)
	b.hears(t)
	first := b.job.Tasks[0]
	b.table.Place(first, b.table.Worker("vm-1"))
	first.PlacementDurable = true
	b.now += time.Second
	sent, r := b.now, b.report()
	status, body := b.table.HandleHeartbeat(r)
	if status != 200 || !hasVerb(orders(t, body), "launch") {
		t.Fatalf("answered %d: %s", status, body)
	}
	b.place(1)
	c := b.order(t)
	c.fn(b.deliver(c), nil) // does not list the first
	if first.State != taskstate.StatePlaced {
		t.Fatalf("state %v", first.State)
	}
	b.hear(body, r.Session, sent)
	if len(b.worker.tasks) != 2 {
		t.Errorf("%d tasks run", len(b.worker.tasks))
	}
}

// TestOrderAnswersOfAnEarlierTokenAreDropped: the records have been read anew since; what an
// earlier order came to closes no machine and opens none for a second order at a time.
func TestOrderAnswersOfAnEarlierTokenAreDropped(t *testing.T) {
	b := newBench(2)
	b.hears(t)
	b.place(0)
	late := b.order(t)
	b.job.Tasks[0].State, b.job.Tasks[0].WorkerID = taskstate.StateWaiting, ""
	b.term()
	b.calls = nil // the announcement
	h := b.hears(t)
	b.place(1)
	b.order(t)
	late.fn(http1.Response{}, eventloop.ErrNoAnswer)
	if !b.table.AcceptsTasks(h) || !h.orderInFlight {
		t.Errorf("open %v, an order is under way: %v", b.table.AcceptsTasks(h), h.orderInFlight)
	}
}

// TestOrderAnswersAreOfTheirMachineAndTime: an answer of another machine leaves the launch
// in doubt; one that a newer heartbeat has overtaken, or of another session, is not read.
func TestOrderAnswersAreOfTheirMachineAndTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(*bench, *Heartbeat)
		doubt bool
	}{
		{"another machine", func(_ *bench, r *Heartbeat) { r.WorkerID = "vm-2" }, true},
		{"another session", func(_ *bench, r *Heartbeat) { r.Session = 2 }, false},
		{"overtaken", func(b *bench, _ *Heartbeat) { b.table.HandleHeartbeat(b.report()) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(1)
			h := b.hears(t)
			k := b.place(0)
			order := b.order(t)
			b.deliver(order)
			answer := b.report()
			answer.Tasks = append(answer.Tasks, ReportedTask{Name: "wk-1/7", Attempt: 1, Phase: "running"})
			c.do(b, answer)
			raw, err := json.Marshal(answer)
			if err != nil {
				t.Fatal(err)
			}
			order.fn(http1.Response{Status: 200, Body: raw}, nil)
			if h.UnknownTasks > 0 || k.LaunchInDoubt != c.doubt {
				t.Errorf("tasks not on record: %d, in doubt: %v", h.UnknownTasks, k.LaunchInDoubt)
			}
		})
	}
}

// TestOneDirectOrderAtATime: what is placed while an order is under way to the machine leaves
// when that is answered.
func TestOneDirectOrderAtATime(t *testing.T) {
	b := newBench(2)
	b.hears(t)
	b.place(0)
	first := b.order(t)
	b.place(1)
	if b.table.AfterBatch(); len(b.calls) > 0 {
		t.Fatal("a second order has left")
	}
	first.fn(b.deliver(first), nil)
	b.order(t)
}

// TestReportedTaskCountsWithItsAttempt: another attempt than the one on record is ended, and
// keeps the machine from other work until it is.
func TestReportedTaskCountsWithItsAttempt(t *testing.T) {
	b := newBench(1)
	h := b.hears(t)
	k := b.job.Tasks[0]
	k.State, k.WorkerID, k.Attempt, k.LaunchSent, k.PlacementDurable = taskstate.StatePlaced, "vm-1", 2, true, true
	b.table.occupy(h, k)
	b.worker.tasks[k.Name()] = 1
	b.now += time.Second
	_, body := b.table.HandleHeartbeat(b.report())
	want := halt(k.Name(), 1, 0)
	o := orders(t, body)
	if k.Reported || len(o) != 1 || o[0].Verb != want.Verb || o[0].Attempt != 1 {
		t.Errorf("seen %v, told %+v", k.Reported, o)
	}
	if b.table.AcceptsTasks(h) {
		t.Error("gets tasks beside one that is not on record")
	}
}

// TestSilentMachinesTasksWaitOutItsLease: also its drift and a margin.
func TestSilentMachinesTasksWaitOutItsLease(t *testing.T) {
	b := newBench(1)
	b.placeAll(t)
	k := b.job.Tasks[0]
	lease := b.table.set.WorkerLease()
	b.now = b.table.Worker("vm-1").LeaseFrom + lease + lease*tuning.DriftPerMille/1000
	b.table.Tick()
	if k.State != taskstate.StatePlaced {
		t.Fatal("called gone while its worker's clock may not have ended the lease")
	}
	b.now += tuning.WorkerLeaseMargin + time.Millisecond
	b.table.Tick()
	if k.State != taskstate.StateWaiting {
		t.Error("never called gone")
	}
}

// TestNewOwnerCountsFromTheLastAnswer: also for a machine that this process has known for
// long, an earlier owner may answer for a while after the block has changed hands.
func TestNewOwnerCountsFromTheLastAnswer(t *testing.T) {
	b := newBench(1)
	h := b.hears(t)
	b.earlier = b.now + 12*time.Second
	b.term()
	if want := b.earlier + b.table.set.WorkerLease(); b.table.leaseEnd(h) < want {
		t.Errorf("its lease is taken to end %v early", want-b.table.leaseEnd(h))
	}
}

// TestNewOwnerTakesPlacementsAsLaunched: what the records place under an earlier token may be
// on its machine.
func TestNewOwnerTakesPlacementsAsLaunched(t *testing.T) {
	b := newBench(1)
	b.hears(t)
	k := b.job.Tasks[0]
	k.State, k.WorkerID, k.Attempt, k.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true
	b.term()
	h := b.table.Worker("vm-1")
	if !h.Tasks[k] || k.Launchable() {
		t.Errorf("on its machine %v, may be launched once more: %v", h.Tasks[k], k.Launchable())
	}
}

// TestNoTasksBeforeTheTokenIsShown: under a new token a machine gets tasks when it has shown
// that it knows the token.
func TestNoTasksBeforeTheTokenIsShown(t *testing.T) {
	b := newBench(1)
	h := b.hears(t)
	b.term()
	b.now += time.Second
	b.table.HandleHeartbeat(b.report())
	if b.table.AcceptsTasks(h) {
		t.Error("gets tasks under a token that it has not seen")
	}
	if b.hears(t); !b.table.AcceptsTasks(h) {
		t.Error("gets none when it has")
	}
}

// TestNoOrdersWithoutAValidLease: an owner whose lease is not surely valid launches nothing,
// neither directly nor with an answer.
func TestNoOrdersWithoutAValidLease(t *testing.T) {
	b := newBench(1)
	b.hears(t)
	b.place(0)
	b.expired = true
	if b.table.AfterBatch(); len(b.calls) > 0 {
		t.Error("a direct order has left")
	}
	b.now += time.Second
	if _, body := b.table.HandleHeartbeat(b.report()); len(orders(t, body)) > 0 {
		t.Errorf("told %s", body)
	}
}

// TestLaunchNeedsANewerProof: a launch leaves only when it is proven, of a moment after the
// placement, that the job is not cancelled; neither directly nor with an answer.
func TestLaunchNeedsANewerProof(t *testing.T) {
	b := newBench(1)
	b.hears(t)
	b.knows, b.proven = true, b.now
	b.now += time.Millisecond
	b.place(0)
	if b.table.AfterBatch(); len(b.calls) > 0 {
		t.Error("a direct order has left")
	}
	b.now += time.Second
	if _, body := b.table.HandleHeartbeat(b.report()); len(orders(t, body)) > 0 {
		t.Errorf("told %s", body)
	}
	b.proven = b.now
	b.order(t)
}

// TestMachineWithALongCancelledTaskIsNotAnswered: its lease would run on from the answer past
// the users' limit, whether the records have the task or only the worker's list.
func TestMachineWithALongCancelledTaskIsNotAnswered(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		b := newBench(1)
		b.placeAll(t)
		k := b.job.Tasks[0]
		b.off, b.job.Cancelled = b.now, true
		if !recorded {
			b.table.vacate(b.table.Worker("vm-1"), k)
			k.State, k.WorkerID = taskstate.StateDropped, ""
		}
		b.now += b.table.set.MaxKnowledgeAge() - time.Second
		if status, _ := b.table.HandleHeartbeat(b.report()); status != 200 {
			t.Errorf("answered %d in time", status)
		}
		b.now += time.Second
		if status, _ := b.table.HandleHeartbeat(b.report()); status != 503 {
			t.Errorf("on record %v: answered %d though its lease would run past the limit", recorded, status)
		}
	}
}

// TestOnlyTheTokenShowsThatADeafMachineHears: an answer under an earlier token is none to us.
func TestOnlyTheTokenShowsThatADeafMachineHears(t *testing.T) {
	b := newBench(1)
	h := b.hears(t)
	h.Deaf = true
	b.now += tuning.DeafProbeInterval
	b.table.Tick()
	if len(b.calls) != 1 {
		t.Fatalf("%d questions", len(b.calls))
	}
	r := b.report()
	r.Token = b.token - 1
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if b.calls[0].fn(http1.Response{Status: 409, Body: raw}, nil); !h.Deaf {
		t.Error("counts as hearing")
	}
}

// TestAnnouncementsAnswer: it counts only if it is the machine's own, of its newest session
// and under the token announced.
func TestAnnouncementsAnswer(t *testing.T) {
	for name, change := range map[string]func(*Heartbeat){
		"":                   func(*Heartbeat) {},
		"of another machine": func(r *Heartbeat) { r.WorkerID = "vm-2" },
		"of another token":   func(r *Heartbeat) { r.Token-- },
		"of a session over":  func(r *Heartbeat) { r.Session-- },
	} {
		b := newBench(1)
		b.worker.shift = 2
		h := b.hears(t)
		heard := h.LastHeartbeatAt
		b.term()
		b.now += time.Second
		c := b.order(t)
		b.deliver(c)
		r := b.report()
		change(r)
		raw, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		c.fn(http1.Response{Status: 200, Body: raw}, nil)
		if counts := h.LastHeartbeatAt > heard; counts != (name == "") {
			t.Errorf("answer %s counts: %v", name, counts)
		}
	}
}

// TestGiveBackLosesNothing: a machine is given back only when nothing is, or may be, on it,
// or when what is on it is lost already.
func TestGiveBackLosesNothing(t *testing.T) {
	notice := 60.0
	drained := func(b *bench, h *Worker) { b.table.StopPlacements(h.ID, "idle") }
	closed := func(b *bench, _ *Worker) { b.table.ClosedByDrain = func(string) bool { return true } }
	noticed := func(b *bench, h *Worker) { h.SpotNoticeAt = b.now + time.Duration(notice)*time.Second }
	for _, c := range []struct {
		name       string
		do         func(*bench, *Worker)
		tasks      bool // on record
		unknown    bool // on the worker's list only
		silent, up int
		want       string
	}{
		{"in use", func(*bench, *Worker) {}, false, false, 0, 1, ""},
		{"drained", drained, false, false, 0, 1, "idle"},
		{"drained, with a task", drained, true, false, 0, 1, ""},
		{"drained, with a task not on record", drained, false, true, 0, 1, ""},
		{"closed", closed, false, false, 0, 1, OperatorDrain},
		{"closed, with a task", closed, true, false, 0, 1, ""},
		{"closed, with a task not on record", closed, false, true, 0, 1, ""},
		{"closed, under a token not shown", func(b *bench, h *Worker) { closed(b, h); b.term() }, false, false, 0, 1, ""},
		{"noticed", noticed, false, false, 0, 1, "taken by the cloud"},
		{"noticed, with a task", noticed, true, false, 0, 1, ""},
		{"noticed, with a task not on record", noticed, false, true, 0, 1, ""},
		{"noticed, about to go", func(b *bench, h *Worker) {
			noticed(b, h)
			b.now = h.SpotNoticeAt
		}, true, false, 0, 1, "taken by the cloud"},
		{"silent, with a task", func(b *bench, _ *Worker) { b.now += time.Hour }, true, false, 1, 9, ReleaseSilent},
		{"silent as most are", func(b *bench, _ *Worker) { b.now += time.Hour }, true, false, 5, 9, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(1)
			h := b.hears(t)
			if c.tasks {
				b.place(0)
			}
			if c.unknown {
				h.UnknownTasks = 1
			}
			c.do(b, h)
			if got := b.table.ReleaseReason(h, c.silent, c.up); got != c.want {
				t.Errorf("given back for %q, want %q", got, c.want)
			}
		})
	}
}

// TestHaltOfACancelledTaskIsRepeated: a direct order to end it may be lost, so it is sent again
// until the task is proven gone.
func TestHaltOfACancelledTaskIsRepeated(t *testing.T) {
	b := newBench(1)
	b.placeAll(t)
	k := b.job.Tasks[0]
	b.off, b.job.Cancelled = b.now, true
	b.table.CancelJob(b.job)
	for try := range 3 {
		c := b.order(t)
		var o CommandMessage
		if err := json.Unmarshal(c.body, &o); err != nil || !hasVerb(o.Commands, "halt") {
			t.Fatalf("try %d: told %s", try, c.body)
		}
		c.fn(http1.Response{}, eventloop.ErrNoAnswer)
		b.now += tuning.HaltRetryInterval
		b.table.Tick()
	}
	c := b.order(t)
	c.fn(b.deliver(c), nil)
	b.now += time.Second
	b.table.HandleHeartbeat(b.report())
	if k.State != taskstate.StateDropped {
		t.Errorf("state %v when it has ended", k.State)
	}
}
