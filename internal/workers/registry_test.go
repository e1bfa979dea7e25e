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

// registryFixture is a registry with one machine: its runtime, lease, task store and worker. The
// worker keeps the protocol: sessions, leases, tokens, attempts.
type registryFixture struct {
	now                 time.Duration
	token               uint64
	registry            *Registry
	job                 *taskstate.Job
	calls               []sentRequest // direct orders on their way
	onTaskWaiting       func(*taskstate.Task)
	turnsHeartbeatsAway bool   // reports are turned away
	phase               string // of the tasks in reports, "" for running
	// Of cancellations: when the user was told, 0 for never, and up to when the owner
	// knows of them; knows: it rests on that.
	cancelledAt, verifiedAt   time.Duration
	needsVerification         bool
	noNewToken                bool          // there is no new token to be had
	leaseInvalid              bool          // the lease is not surely valid
	closedByDrain             bool          // operators' drains keep new tasks off the machine
	previousOwnerAnswersUntil time.Duration // until then an earlier owner may answer
	worker                    struct {
		session, sequence, token uint64
		leaseRenewedAt           time.Duration
		tasks                    map[string]uint64 // attempts of running tasks
		everLaunched             map[string]bool   // task@attempt, ever launched in this session
	}
}

type sentRequest struct {
	body []byte
	fn   func(http1.Response, error)
}

func (f *registryFixture) Now() time.Duration          { return f.now }
func (f *registryFixture) WallClock() time.Time        { return time.UnixMilli(0).Add(f.now) }
func (f *registryFixture) Rand() float64               { return 0.5 }
func (f *registryFixture) After(time.Duration, func()) {}
func (f *registryFixture) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {
}

func (f *registryFixture) CallHTTP(_ string, request http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	f.calls = append(f.calls, sentRequest{request.Body, fn})
}

func (f *registryFixture) Token() uint64    { return f.token }
func (f *registryFixture) LeaseValid() bool { return !f.leaseInvalid }
func (f *registryFixture) MayAnswer() bool {
	return !f.turnsHeartbeatsAway && (!f.needsVerification || f.now < f.verifiedAt+f.registry.settings.MaxKnowledgeAge())
}

func (f *registryFixture) RenewToken() {
	if !f.noNewToken {
		f.beginTerm()
	}
}

func (f *registryFixture) CancellationsVerifiedSince(since time.Duration) bool {
	return !f.needsVerification || (f.verifiedAt >= since && f.now-f.verifiedAt <= tuning.MaxLaunchKnowledgeAge)
}
func (f *registryFixture) PreviousOwnerAnswersUntil() time.Duration {
	return f.previousOwnerAnswersUntil
}
func (f *registryFixture) CancellationAge(string) (time.Duration, bool) {
	return f.now - f.cancelledAt, f.job.Cancelled
}
func (f *registryFixture) IsLoaded() bool                    { return true }
func (f *registryFixture) Job(string) *taskstate.Job         { return f.job }
func (f *registryFixture) EachJob(fn func(*taskstate.Job))   { fn(f.job) }
func (f *registryFixture) TaskChanged(*taskstate.Task, bool) {}
func (f *registryFixture) TaskDone(task *taskstate.Task)     { task.State = taskstate.StateDone }
func (f *registryFixture) DropTask(task *taskstate.Task)     { task.State = taskstate.StateDropped }
func (f *registryFixture) TaskWaiting(task *taskstate.Task) {
	if f.onTaskWaiting != nil {
		f.onTaskWaiting(task)
	}
}

func (f *registryFixture) MachineType(string) *jobs.MachineType {
	return &jobs.MachineType{Name: "g8", CPUs: 64, MemoryGB: 64}
}
func (f *registryFixture) IsClosedByDrain(string) bool { return f.closedByDrain }

func (f *registryFixture) beginTerm() {
	f.token++
	f.registry.EndTerm()
	f.registry.BeginTerm()
}

func newRegistryFixture(tasks int) *registryFixture {
	fixture := &registryFixture{token: 1, now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Workers.ReportS, set.Deployment.Workers.LeaseS, set.Deployment.Workers.CancelS = 5, 36, 66
	fixture.registry = NewRegistry(Dependencies{Runtime: fixture, Lease: fixture, Tasks: fixture, Scheduler: fixture, Settings: set, Log: slog.New(slog.DiscardHandler)})
	index := make([]int, tasks)
	for i := range index {
		index[i] = i
	}
	fixture.job = &taskstate.Job{Spec: &jobs.Spec{ID: "wk-1", CPUs: 1, Shape: "array"}, Tasks: map[int]*taskstate.Task{}, Groups: map[string]*taskstate.TaskGroup{}}
	taskstate.LoadRecord(fixture.job, taskstate.NewRecord(0, "wk-1", 0, index, nil, nil))
	fixture.worker.session, fixture.worker.leaseRenewedAt = 1, fixture.now
	fixture.worker.tasks, fixture.worker.everLaunched = map[string]uint64{}, map[string]bool{}
	fixture.registry.BeginTerm()
	return fixture
}

// expireLease ends the worker's session when its lease has run out.
func (f *registryFixture) expireLease() {
	if worker := &f.worker; f.now-worker.leaseRenewedAt > f.registry.settings.WorkerLease() {
		worker.session++
		worker.leaseRenewedAt = f.now
		clear(worker.tasks)
		clear(worker.everLaunched)
	}
}

func (f *registryFixture) heartbeat() *Heartbeat {
	f.expireLease()
	worker := &f.worker
	worker.sequence++
	heartbeat := &Heartbeat{WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: worker.session, Sequence: worker.sequence, Token: worker.token}
	for ref, attempt := range worker.tasks {
		phase := f.phase
		if phase == "" {
			phase = "running"
		}
		heartbeat.Tasks = append(heartbeat.Tasks, ReportedTask{Name: ref, Attempt: attempt, Phase: phase})
	}
	return heartbeat
}

// executeCommands carries orders out.
func (f *registryFixture) executeCommands(token uint64, orders []Command) {
	worker := &f.worker
	worker.token = token
	for _, command := range orders {
		switch command.Verb {
		case "launch":
			if key := fmt.Sprint(command.TaskName, "@", command.Attempt); !worker.everLaunched[key] {
				worker.everLaunched[key] = true
				worker.tasks[command.TaskName] = command.Attempt
			}
		case "halt":
			if worker.tasks[command.TaskName] == command.Attempt {
				delete(worker.tasks, command.TaskName)
			}
		}
	}
}

// receiveAnswer takes the answer to a report that was sent at a time.
func (f *registryFixture) receiveAnswer(body []byte, shift uint64, sent time.Duration) {
	f.expireLease()
	var message CommandMessage
	if json.Unmarshal(body, &message) != nil || message.Token < f.worker.token || shift != f.worker.session {
		return
	}
	f.worker.leaseRenewedAt = max(f.worker.leaseRenewedAt, sent)
	f.executeCommands(message.Token, message.Commands)
}

// deliverDirect carries a direct order out, perhaps late.
func (f *registryFixture) deliverDirect(direct sentRequest) http1.Response {
	f.expireLease()
	var message CommandMessage
	if json.Unmarshal(direct.body, &message) != nil || message.Token < f.worker.token || message.Session != f.worker.session {
		raw, _ := json.Marshal(f.heartbeat())
		return http1.Response{Status: 409, Body: raw}
	}
	f.executeCommands(message.Token, message.Commands)
	raw, _ := json.Marshal(f.heartbeat())
	return http1.Response{Status: 200, Body: raw}
}

// settleDirectMessage lets the first direct order go: it is carried out or not, answered or
// not, now or later; those that are carried out later are returned with the rest.
func (f *registryFixture) settleDirectMessage(t *rapid.T, late []sentRequest) []sentRequest {
	if len(f.calls) == 0 {
		return late
	}
	direct := f.calls[0]
	f.calls = f.calls[1:]
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0:
		direct.fn(f.deliverDirect(direct), nil)
	case 1:
		f.deliverDirect(direct)
		direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
	case 2:
		late = append(late, direct)
		direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
	case 3:
		direct.fn(http1.Response{}, eventloop.ErrNotSent)
	}
	return late
}

// TestGoneIsGone: whatever is lost, late or repeated between a table and its
// worker, a task that the table calls gone is not on the machine and no order on
// its way can start it there.
func TestGoneIsGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newRegistryFixture(4)
		var late []sentRequest  // direct orders that may still be carried out
		var copies []*Heartbeat // reports that may come once more
		fixture.onTaskWaiting = func(task *taskstate.Task) {
			fixture.expireLease()
			if fixture.worker.tasks[task.Name()] == task.Attempt {
				t.Fatalf("%s, attempt %d, is called gone and runs", task.Name(), task.Attempt)
			}
			for _, direct := range append(late, fixture.calls...) {
				var message CommandMessage
				_ = json.Unmarshal(direct.body, &message)
				if message.Token < fixture.worker.token || message.Session != fixture.worker.session {
					continue
				}
				for _, order := range message.Commands {
					key := fmt.Sprint(order.TaskName, "@", order.Attempt)
					if order.Verb == "launch" && order.TaskName == task.Name() && order.Attempt == task.Attempt && !fixture.worker.everLaunched[key] {
						t.Fatalf("%s, attempt %d, is called gone and may start", task.Name(), task.Attempt)
					}
				}
			}
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			fixture.now += time.Duration(rapid.SampledFrom([]int{1, 500, 5000, 20000}).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1, 2: // a report; its answer may be lost
				sent := fixture.now
				heartbeat := fixture.heartbeat()
				copies = append(copies, heartbeat)
				if rapid.IntRange(0, 9).Draw(t, "report lost") == 0 {
					continue
				}
				status, body := fixture.registry.HandleHeartbeat(heartbeat)
				if status == 200 && rapid.IntRange(0, 3).Draw(t, "answer lost") > 0 {
					fixture.receiveAnswer(body, heartbeat.Session, sent)
				}
			case 3: // a copy of an earlier report
				if len(copies) > 0 {
					fixture.registry.HandleHeartbeat(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				}
			case 4: // placements
				for _, task := range fixture.job.Tasks {
					if worker := fixture.registry.Worker("vm-1"); worker != nil && fixture.registry.AcceptsTasks(worker) && task.State == taskstate.StateWaiting {
						fixture.registry.PlaceTask(task, worker)
						task.PlacementDurable = true
						fixture.registry.PlacementDurable(task)
					}
				}
				fixture.registry.AfterBatch()
			case 5: // a direct order: carried out or not, answered or not, now or later
				late = fixture.settleDirectMessage(t, late)
			case 6: // a late one
				if len(late) > 0 {
					fixture.deliverDirect(late[0])
					late = late[1:]
				}
			case 7:
				fixture.registry.Tick()
			case 8: // another term: the records say what is placed
				for _, task := range fixture.job.Tasks {
					task.LaunchInFlight, task.LaunchInDoubt, task.GoneSession, task.GoneAfterSequence, task.Reported = false, false, 0, 0, false
				}
				fixture.beginTerm()
			}
		}
	})
}

// TestDeafMachineGetsNothing: a machine that reports and does not hear is left
// alone after a few reports, and not answered; when it answers a question it is
// back.
func TestDeafMachineGetsNothing(t *testing.T) {
	fixture := newRegistryFixture(1)
	sent := fixture.now
	_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.receiveAnswer(body, 1, sent)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	worker := fixture.registry.Worker("vm-1")
	if !fixture.registry.AcceptsTasks(worker) {
		t.Fatal("a machine that hears is closed")
	}
	fixture.beginTerm()
	fixture.calls = nil
	for range tuning.DeafHeartbeats + 1 {
		fixture.now += 5 * time.Second
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
	}
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); !worker.Deaf || fixture.registry.AcceptsTasks(worker) || status != 503 {
		t.Fatalf("deaf %v, open %v, answered %d", worker.Deaf, fixture.registry.AcceptsTasks(worker), status)
	}
	fixture.now += tuning.DeafProbeInterval
	fixture.registry.Tick()
	if len(fixture.calls) != 1 {
		t.Fatalf("%d questions", len(fixture.calls))
	}
	fixture.calls[0].fn(fixture.deliverDirect(fixture.calls[0]), nil)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if worker.Deaf || !fixture.registry.AcceptsTasks(worker) {
		t.Errorf("deaf %v, open %v after an answer", worker.Deaf, fixture.registry.AcceptsTasks(worker))
	}
}

// TestDrainedMachineMovesWork: replicas leave a machine that is drained, and
// tasks that can save are told to in time before the cloud takes theirs; others
// run on.
func TestDrainedMachineMovesWork(t *testing.T) {
	for name, test := range map[string]struct {
		shape     string
		saveEvery float64
		notice    float64
		moves     bool
	}{
		"a replica":                {"daemon", 0, 60, true},
		"a task without saves":     {"array", 0, 6, false},
		"a task that saves":        {"array", 30, 6, true},
		"a task that saves, early": {"array", 30, 60, false},
	} {
		fixture := newRegistryFixture(1)
		fixture.job.Spec.Shape, fixture.job.Spec.CheckpointIntervalSeconds, fixture.job.Spec.CheckpointSeconds = test.shape, test.saveEvery, 4
		fixture.worker.token = fixture.token
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
		task := fixture.job.Tasks[0]
		fixture.registry.PlaceTask(task, fixture.registry.Worker("vm-1"))
		task.PlacementDurable = true
		sent := fixture.now
		_, body := fixture.registry.HandleHeartbeat(fixture.heartbeat())
		fixture.receiveAnswer(body, 1, sent)
		fixture.now += time.Second
		heartbeat := fixture.heartbeat()
		heartbeat.SpotNoticeSeconds = &test.notice
		fixture.registry.HandleHeartbeat(heartbeat)
		fixture.registry.Tick()
		fixture.calls = nil
		fixture.registry.AfterBatch()
		if task.HaltDecided != test.moves || len(fixture.calls) > 0 != test.moves {
			t.Errorf("%s: stopping %v, %d orders", name, task.HaltDecided, len(fixture.calls))
			continue
		}
		if test.moves {
			fixture.calls[0].fn(fixture.deliverDirect(fixture.calls[0]), nil)
			fixture.registry.HandleHeartbeat(fixture.heartbeat())
			if task.State != taskstate.StateWaiting {
				t.Errorf("%s is not free for another machine", name)
			}
		}
	}
}

// TestCopyOpensNothing: a late copy of a report opens no machine for a new
// owner, shows no task gone, and never moves the lease's end to earlier.
func TestCopyOpensNothing(t *testing.T) {
	fixture := newRegistryFixture(1)
	old := fixture.heartbeat()
	fixture.worker.token = fixture.token
	for range 3 {
		fixture.registry.HandleHeartbeat(fixture.heartbeat())
	}
	task := fixture.job.Tasks[0]
	fixture.registry.PlaceTask(task, fixture.registry.Worker("vm-1"))
	task.PlacementDurable, task.LaunchSent = true, true
	fixture.beginTerm()
	worker := fixture.registry.Worker("vm-1")
	end := fixture.registry.leaseExpiresAt(worker)
	fixture.now += time.Minute / 2
	fixture.registry.HandleHeartbeat(old)
	if task.State != taskstate.StatePlaced || fixture.registry.AcceptsTasks(worker) || fixture.registry.leaseExpiresAt(worker) < end {
		t.Errorf("task %v, open %v, lease ends %v, before %v", task.State, fixture.registry.AcceptsTasks(worker), fixture.registry.leaseExpiresAt(worker), end)
	}
}

// BenchmarkReport shows the cost of a report by the tasks on the machine.
func BenchmarkReport(b *testing.B) {
	for _, tasks := range []int{2, 8, 64} {
		b.Run(fmt.Sprint(tasks, "tasks"), func(b *testing.B) {
			fixture := newRegistryFixture(tasks)
			fixture.worker.token = fixture.token
			for i := range tasks {
				fixture.worker.tasks[fmt.Sprint("wk-1/", i)] = 1
			}
			raw, err := json.Marshal(fixture.heartbeat())
			if err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				heartbeat, err := ParseHeartbeat(raw)
				if err != nil {
					b.Fatal(err)
				}
				heartbeat.Sequence += uint64(i)
				fixture.registry.HandleHeartbeat(heartbeat)
			}
		})
	}
}

// BenchmarkTick shows the cost of the look at all machines, by their number.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n, "machines"), func(b *testing.B) {
			fixture := newRegistryFixture(1)
			for i := range n {
				fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%06d", i), Addr: "w:1", MachineType: "g8", Zone: "a", Session: 1, Sequence: 1, Token: 1})
			}
			for b.Loop() {
				fixture.registry.Tick()
			}
		})
	}
}

// TestGreetsLiveMachinesFirst guards against a takeover that waits: of hundreds
// of machines, those heard of late are told of the new token before any that
// have been silent, each of which is waited for in vain.
func TestGreetsLiveMachinesFirst(t *testing.T) {
	fixture := newRegistryFixture(1)
	const all = 900
	for i := range all {
		if i%3 == 0 {
			fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%d", i), Addr: fmt.Sprint("w:", i), MachineType: "g8", Zone: "a", Session: 1, Sequence: 1, Token: 1})
		}
	}
	fixture.now += time.Minute
	for i := range all {
		if i%3 != 0 {
			fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%d", i), Addr: fmt.Sprint("w:", i), MachineType: "g8", Zone: "b", Session: 1, Sequence: 1, Token: 1})
		}
	}
	fixture.beginTerm()
	for told := 0; told < all; {
		fixture.registry.AfterBatch()
		if len(fixture.calls) == 0 || len(fixture.calls) > tuning.MaxConcurrentAnnouncements {
			t.Fatalf("%d machines are told at a time after %d", len(fixture.calls), told)
		}
		told += len(fixture.calls)
		for i, worker := range fixture.registry.announceQueue {
			if worker.Zone == "b" && told >= all*2/3 {
				t.Fatalf("%s, heard of late, is number %d in line after %d", worker.ID, i, told)
			}
		}
		calls := fixture.calls
		fixture.calls = nil
		for _, direct := range calls {
			direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
		}
	}
}

// TestDarkZoneGetsNoTasks: a zone from which nothing is heard while others
// report is taken for cut off before its machines are late one by one. What was
// placed there meanwhile waited for the end of their leases.
func TestDarkZoneGetsNoTasks(t *testing.T) {
	fixture := newRegistryFixture(1)
	report := func(zone string, tick int) {
		for i := range 40 {
			fixture.registry.HandleHeartbeat(&Heartbeat{WorkerID: fmt.Sprintf("vm-%s%d", zone, i), Addr: "w:1", MachineType: "g8", Zone: zone, Session: 1, Sequence: uint64(tick), Token: 1})
		}
		fixture.registry.Tick()
	}
	open := func(zone string) bool {
		return fixture.registry.AcceptsTasks(fixture.registry.Worker("vm-" + zone + "7"))
	}
	report("a", 1)
	report("b", 1)
	if !open("a") || !open("b") {
		t.Fatal("machines that have just reported are not open")
	}
	fixture.now += 6 * time.Second
	if !open("a") {
		t.Error("with no zone heard it is not the zone that is cut off")
	}
	report("b", 2)
	if open("a") || !open("b") {
		t.Errorf("cut off zone open: %v, the other: %v", open("a"), open("b"))
	}
	if lit := fixture.registry.ReachableZones(); len(lit) != 1 || lit[0] != "b" {
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
	fixture := newRegistryFixture(2)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.worker.token = 1
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	worker := fixture.registry.Worker("vm-1")
	task := fixture.job.Tasks[0]
	fixture.registry.PlaceTask(task, worker)
	task.PlacementDurable = true
	fixture.registry.PlacementDurable(task)
	fixture.registry.AfterBatch()
	if len(fixture.calls) != 1 || !fixture.registry.AcceptsTasks(worker) {
		t.Fatalf("%d orders, open %v", len(fixture.calls), fixture.registry.AcceptsTasks(worker))
	}
	fixture.now += 2 * time.Second
	fixture.calls[0].fn(http1.Response{}, eventloop.ErrNoAnswer)
	if fixture.registry.AcceptsTasks(worker) {
		t.Error("it is given more")
	}
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(fixture.heartbeat()) // which makes the table take a new token
	task.LaunchInDoubt = false                            // which settles it: tasks are read anew
	fixture.worker.token = fixture.token
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	if !fixture.registry.AcceptsTasks(worker) {
		t.Error("it has reported and gets nothing")
	}
}

// TestOutageIsNoSilence guards against a fault of a day with an outage of the
// state service that outlasted the hold: reports were turned away, and at its
// end the machines counted as silent and were returned with their tasks.
func TestOutageIsNoSilence(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	worker := fixture.registry.Worker("vm-1")
	for range 30 {
		fixture.now += time.Second
		fixture.turnsHeartbeatsAway = true
		fixture.registry.Tick()
	}
	fixture.turnsHeartbeatsAway = false
	fixture.now += 3 * time.Second
	fixture.registry.Tick()
	if fixture.registry.IsSuspect(worker) {
		t.Error("a machine counts as silent that nobody listened to")
	}
	fixture.now += fixture.registry.settings.WorkerDeadAfter()
	if !fixture.registry.IsSuspect(worker) {
		t.Error("it has not reported since, and does not count as silent")
	}
}

// TestCancelledIsGoneInTime: whatever is lost, late or repeated, and however long the
// owner goes without a proof or another one takes over, no task of a job is on its
// machine, nor can an order on its way start it, longer than cancel_s after its user
// was told that it is cancelled.
func TestCancelledIsGoneInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newRegistryFixture(3)
		fixture.needsVerification, fixture.verifiedAt = true, fixture.now
		fixture.noNewToken = rapid.Bool().Draw(t, "no new token")
		limit := time.Duration(fixture.registry.settings.Deployment.Workers.CancelS * float64(time.Second))
		var late []sentRequest
		var copies []*Heartbeat
		check := func(what string) {
			fixture.expireLease()
			if fixture.cancelledAt > 0 && fixture.now > fixture.cancelledAt+limit && len(fixture.worker.tasks) > 0 {
				t.Fatalf("%s: %v is on the machine %v after", what, fixture.worker.tasks, fixture.now-fixture.cancelledAt)
			}
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			fixture.now += time.Duration(rapid.SampledFrom([]int{1, 300, 1500, 4000, 9000}).Draw(t, "ms")) * time.Millisecond
			check("time")
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0, 1, 2:
				sent, heartbeat := fixture.now, fixture.heartbeat()
				copies = append(copies, heartbeat)
				if !fixture.MayAnswer() {
					continue
				}
				status, body := fixture.registry.HandleHeartbeat(heartbeat)
				if status == 200 && rapid.IntRange(0, 3).Draw(t, "answer lost") > 0 {
					fixture.receiveAnswer(body, heartbeat.Session, sent)
				}
			case 3:
				if len(copies) > 0 && fixture.MayAnswer() {
					fixture.registry.HandleHeartbeat(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				}
			case 4:
				for _, task := range fixture.job.Tasks {
					if worker := fixture.registry.Worker("vm-1"); worker != nil && fixture.registry.AcceptsTasks(worker) && task.State == taskstate.StateWaiting && !task.Job.Cancelled {
						fixture.registry.PlaceTask(task, worker)
						task.PlacementDurable = true
						fixture.registry.PlacementDurable(task)
					}
				}
				fixture.registry.AfterBatch()
			case 5, 6:
				late = fixture.settleDirectMessage(t, late)
			case 7:
				if len(late) > 0 {
					fixture.deliverDirect(late[0])
					late = late[1:]
				}
			case 8:
				fixture.registry.Tick()
			case 9: // the user cancels, at any node
				if fixture.cancelledAt == 0 && len(fixture.worker.tasks)+len(late)+len(fixture.calls) > 0 {
					fixture.cancelledAt = fixture.now
				}
			case 10: // the owner has its knowledge proven; perhaps it is another one
				fixture.verifiedAt = fixture.now
				if fixture.cancelledAt > 0 && !fixture.job.Cancelled {
					fixture.job.Cancelled = true
					fixture.registry.CancelJob(fixture.job)
				}
				if !fixture.noNewToken && rapid.IntRange(0, 4).Draw(t, "another term") == 0 {
					for _, task := range fixture.job.Tasks {
						task.LaunchInFlight, task.LaunchInDoubt, task.GoneSession, task.GoneAfterSequence, task.Reported = false, false, 0, 0, false
					}
					fixture.beginTerm()
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
	fixture := newRegistryFixture(1)
	fixture.previousOwnerAnswersUntil = fixture.now + 12*time.Second
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.LaunchSent, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true, true
	fixture.worker.tasks[task.Name()] = 1
	fixture.registry.BeginTerm()
	copied := fixture.heartbeat()
	goneAt := time.Duration(0)
	fixture.onTaskWaiting = func(*taskstate.Task) { goneAt = fixture.now }
	fixture.now += time.Second
	fixture.registry.HandleHeartbeat(copied)
	last := fixture.previousOwnerAnswersUntil + fixture.registry.settings.WorkerLease() // the worker may run until then
	for ; fixture.now < last+time.Minute && goneAt == 0; fixture.now += 100 * time.Millisecond {
		fixture.registry.Tick()
	}
	if goneAt < last {
		t.Errorf("called gone %v before the worker's lease may end", last-goneAt)
	}
}

// TestAnsweredHeartbeatBelowTheTokenExtendsTheLease: a worker that has not seen the
// owner's token yet renews its lease by each answer all the same. Counted from an
// earlier moment, its tasks were called gone while they ran on.
func TestAnsweredHeartbeatBelowTheTokenExtendsTheLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.worker.token = fixture.token
	task := fixture.job.Tasks[0]
	task.State, task.WorkerID, task.Attempt, task.LaunchSent, task.PlacementDurable = taskstate.StatePlaced, "vm-1", 1, true, true
	fixture.worker.tasks[task.Name()] = 1
	fixture.beginTerm()
	fixture.now += 20 * time.Second
	if status, _ := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 200 {
		t.Fatalf("answered %d", status)
	}
	last := fixture.now + fixture.registry.settings.WorkerLease() // the worker may run until then
	goneAt := time.Duration(0)
	fixture.onTaskWaiting = func(*taskstate.Task) { goneAt = fixture.now }
	for ; fixture.now < last+time.Minute && goneAt == 0; fixture.now += 100 * time.Millisecond {
		fixture.registry.Tick()
	}
	if goneAt < last {
		t.Errorf("called gone %v before the worker's lease may end", last-goneAt)
	}
}
