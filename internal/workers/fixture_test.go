package workers

import (
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// registryFixture is a registry with one machine. It implements the registry's dependencies
// and simulates a worker that follows the protocol: sessions, leases, tokens and attempts.
type registryFixture struct {
	now               time.Duration
	token             uint64
	newestToken       uint64 // revision of the newest commit under the token
	registry          *Registry
	job               *taskstate.Job
	calls             []sentRequest // direct messages in flight
	onTaskWaiting     func(*taskstate.Task)
	rejectsHeartbeats bool      // heartbeats are not answered
	phase             TaskPhase // of the tasks in heartbeats, "" for running
	// cancelledAt is when the user was told that the job is cancelled, 0 for never;
	// verifiedAt is the time up to which the owner knows all cancellations, used if
	// needsVerification is set.
	cancelledAt, verifiedAt time.Duration
	needsVerification       bool
	tokenRenewalFails       bool // RenewToken has no effect
	commitsFail             bool // nothing is committed, so NewestToken does not grow
	newerTokenRequests      int
	// onCall and onRenewToken replace the fixture's own handling of direct messages and of renewals
	// if they are set.
	onCall                    func(direct sentRequest, timeout time.Duration)
	onRenewToken              func()
	leaseInvalid              bool          // the lease may have expired
	closedByDrain             bool          // operators' drains keep new tasks off the machine
	previousOwnerAnswersUntil time.Duration // latest time at which an earlier owner may answer
	worker                    struct {
		session, sequence, token uint64
		leaseRenewedAt           time.Duration
		tasks                    map[string]uint64        // attempts of running tasks
		ended                    map[taskAttempt]EndCause // until they are forgotten
		executed                 map[taskAttempt]bool     // launches executed in this session
		startedAgain             []taskAttempt            // launches executed once more
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

func (f *registryFixture) CallHTTP(_ string, request http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error)) {
	if f.onCall != nil {
		f.onCall(sentRequest{request.Body, fn}, timeout)
		return
	}
	f.calls = append(f.calls, sentRequest{request.Body, fn})
}

func (f *registryFixture) Token() uint64       { return f.token }
func (f *registryFixture) NewestToken() uint64 { return max(f.token, f.newestToken) }

func (f *registryFixture) RequestNewerToken() {
	f.newerTokenRequests++
	f.commit()
}

// commit commits a change under the token.
func (f *registryFixture) commit() {
	if !f.commitsFail {
		f.newestToken = f.NewestToken() + 1
	}
}
func (f *registryFixture) LeaseValid() bool { return !f.leaseInvalid }
func (f *registryFixture) MayAnswer() bool {
	return !f.rejectsHeartbeats && (!f.needsVerification || f.now < f.verifiedAt+f.registry.settings.MaxKnowledgeAge())
}

func (f *registryFixture) RenewToken() {
	if f.onRenewToken != nil {
		f.onRenewToken()
		return
	}
	if !f.tokenRenewalFails {
		f.beginTerm()
	}
}

func (f *registryFixture) CancellationsVerifiedSince(since time.Duration) bool {
	return !f.needsVerification || (f.verifiedAt >= since && f.now-f.verifiedAt <= tuning.MaxLaunchKnowledgeAge)
}

func (f *registryFixture) KnowledgeAge() time.Duration { return f.now - f.verifiedAt }

func (f *registryFixture) PreviousOwnerAnswersUntil() time.Duration {
	return f.previousOwnerAnswersUntil
}

func (f *registryFixture) CancellationAge(string) (time.Duration, bool) {
	return f.now - f.cancelledAt, f.job.Cancelled
}
func (f *registryFixture) IsLoaded() bool                    { return true }
func (f *registryFixture) Job(string) *taskstate.Job         { return f.job }
func (f *registryFixture) EachJob(fn func(*taskstate.Job))   { fn(f.job) }
func (f *registryFixture) TaskChanged(*taskstate.Task, bool) { f.commit() }
func (f *registryFixture) TaskDone(task *taskstate.Task) {
	task.State = taskstate.StateDone
	f.commit()
}

func (f *registryFixture) DropTask(task *taskstate.Task) {
	task.State = taskstate.StateDropped
	f.commit()
}

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
	f.token = f.NewestToken() + 1
	f.registry.EndTerm()
	f.registry.BeginTerm()
}

func newRegistryFixture(tasks int) *registryFixture {
	fixture := &registryFixture{token: 1, now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Workers.ReportS, config.Deployment.Workers.LeaseS, config.Deployment.Workers.CancelS = 5, 36, 66
	fixture.registry = NewRegistry(Dependencies{Runtime: fixture, Lease: fixture, Tasks: fixture, Scheduler: fixture, Settings: config, Metrics: metrics.New(), Log: slog.New(slog.DiscardHandler)})
	index := make([]int, tasks)
	for i := range index {
		index[i] = i
	}
	fixture.job = &taskstate.Job{Spec: &jobs.Spec{ID: "wk-1", CPUs: 1, Shape: "array"}, Tasks: map[int]*taskstate.Task{}, Groups: map[string]*taskstate.TaskGroup{}}
	taskstate.LoadRecord(fixture.job, taskstate.NewRecord(0, "wk-1", 0, index, nil, nil))
	fixture.worker.session, fixture.worker.leaseRenewedAt = 1, fixture.now
	fixture.worker.tasks, fixture.worker.ended, fixture.worker.executed = map[string]uint64{}, map[taskAttempt]EndCause{}, map[taskAttempt]bool{}
	fixture.registry.BeginTerm()
	return fixture
}

func newGangFixture(tasks int) *registryFixture {
	fixture := newRegistryFixture(tasks)
	fixture.job.Spec.Shape, fixture.job.Spec.Tasks, fixture.job.Gang = "gang", tasks, &taskstate.Gang{}
	return fixture
}

// expireLease ends the worker's session if its lease has expired.
func (f *registryFixture) expireLease() {
	if worker := &f.worker; f.now-worker.leaseRenewedAt > f.registry.settings.WorkerLease() {
		worker.session++
		worker.leaseRenewedAt = f.now
		clear(worker.tasks)
		clear(worker.ended)
		clear(worker.executed)
	}
}

func (f *registryFixture) heartbeat() *Heartbeat {
	f.expireLease()
	worker := &f.worker
	worker.sequence++
	heartbeat := &Heartbeat{WorkerID: "vm-1", Addr: "w:1", MachineType: "g8", Session: worker.session, Sequence: worker.sequence, Token: worker.token}
	for name, attempt := range worker.tasks {
		phase := f.phase
		if phase == "" {
			phase = PhaseRunning
		}
		heartbeat.Tasks = append(heartbeat.Tasks, ReportedTask{Name: name, Attempt: attempt, Phase: phase})
	}
	for attempt, cause := range worker.ended {
		heartbeat.Tasks = append(heartbeat.Tasks, ReportedTask{Name: attempt.name, Attempt: attempt.attempt, Phase: PhaseEnded, Cause: cause})
	}
	return heartbeat
}

// endTask ends a running task on the worker. It is listed until the worker forgets it.
func (f *registryFixture) endTask(name string, cause EndCause) {
	attempt := taskAttempt{name, f.worker.tasks[name]}
	delete(f.worker.tasks, name)
	f.worker.ended[attempt] = cause
}

// knows reports whether the worker has an attempt in any state, so that a launch has no effect.
func (f *registryFixture) knows(attempt taskAttempt) bool {
	_, hasEnded := f.worker.ended[attempt]
	return hasEnded || f.worker.tasks[attempt.name] == attempt.attempt
}

// executeCommands executes commands on the worker.
func (f *registryFixture) executeCommands(token uint64, commands []Command) {
	worker := &f.worker
	worker.token = token
	for _, command := range commands {
		attempt := taskAttempt{command.TaskName, command.Attempt}
		switch command.Verb {
		case VerbLaunch:
			if f.knows(attempt) {
				continue
			}
			if worker.executed[attempt] {
				worker.startedAgain = append(worker.startedAgain, attempt)
			}
			worker.executed[attempt] = true
			worker.tasks[command.TaskName] = command.Attempt
		case VerbForget:
			delete(worker.ended, attempt)
		case VerbHalt:
			if worker.tasks[command.TaskName] == command.Attempt {
				f.endTask(command.TaskName, CauseHalted)
			}
		}
	}
}

// receiveAnswer delivers to the worker the answer to a heartbeat that was sent at sentAt.
func (f *registryFixture) receiveAnswer(body []byte, session uint64, sentAt time.Duration) {
	f.expireLease()
	var message CommandMessage
	if json.Unmarshal(body, &message) != nil || message.Token < f.worker.token || session != f.worker.session {
		return
	}
	f.worker.leaseRenewedAt = max(f.worker.leaseRenewedAt, sentAt)
	f.executeCommands(message.Token, message.Commands)
}

// deliverDirect delivers a direct message, possibly late, to the worker and returns the answer.
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

// placeAndLaunchAll places all tasks of the job on the machine and delivers the launches to the
// worker.
func (f *registryFixture) placeAndLaunchAll(t *testing.T) *Worker {
	t.Helper()
	status, body := f.registry.HandleHeartbeat(f.heartbeat())
	if status != 200 {
		t.Fatalf("first heartbeat: answered %d, want 200", status)
	}
	f.receiveAnswer(body, f.worker.session, f.now)
	f.now += time.Second
	f.registry.HandleHeartbeat(f.heartbeat())
	worker := f.registry.Worker("vm-1")
	for _, task := range f.job.Tasks {
		f.registry.PlaceTask(task, worker)
	}
	n := 0
	for _, task := range f.job.Tasks {
		task.PlacementDurable = true
		f.registry.PlacementDurable(task)
		if n++; f.job.Gang != nil && n < len(f.job.Tasks) {
			if f.registry.AfterBatch(); len(f.calls) > 0 {
				t.Fatalf("with %d of %d placements durable: %d direct messages sent, want 0", n, len(f.job.Tasks), len(f.calls))
			}
		}
	}
	f.registry.AfterBatch()
	for len(f.calls) > 0 {
		direct := f.calls[0]
		f.calls = f.calls[1:]
		direct.fn(f.deliverDirect(direct), nil)
	}
	return worker
}

// reportAll sends a heartbeat that lists all tasks in the given phase, and returns the commands
// of the answer.
func (f *registryFixture) reportAll(t *testing.T, phase TaskPhase, cause EndCause) []Command {
	t.Helper()
	f.now += time.Second
	heartbeat := f.heartbeat()
	for i := range heartbeat.Tasks {
		heartbeat.Tasks[i].Phase, heartbeat.Tasks[i].Cause = phase, cause
	}
	status, body := f.registry.HandleHeartbeat(heartbeat)
	var message CommandMessage
	if status != 200 || json.Unmarshal(body, &message) != nil {
		t.Fatalf("heartbeat with phase %q: answered %d %s, want 200 and commands", phase, status, body)
	}
	return message.Commands
}

// exchangeHeartbeats has the worker send two heartbeats and receive the answers. The second one
// shows the token of the first answer.
func (f *registryFixture) exchangeHeartbeats(t *testing.T) *Worker {
	t.Helper()
	for range 2 {
		f.now += time.Second
		sentAt, heartbeat := f.now, f.heartbeat()
		status, body := f.registry.HandleHeartbeat(heartbeat)
		if status != 200 {
			t.Fatalf("heartbeat: answered %d, want 200", status)
		}
		f.receiveAnswer(body, heartbeat.Session, sentAt)
	}
	return f.registry.Worker("vm-1")
}

// placeTask places a task on the machine and makes the placement durable at once.
func (f *registryFixture) placeTask(index int) *taskstate.Task {
	task := f.job.Tasks[index]
	f.registry.PlaceTask(task, f.registry.Worker("vm-1"))
	task.PlacementDurable = true
	f.registry.PlacementDurable(task)
	return task
}

// sendDirectMessage has the registry send its due direct messages, requires that there is
// exactly one, and returns it.
func (f *registryFixture) sendDirectMessage(t *testing.T) sentRequest {
	t.Helper()
	f.registry.AfterBatch()
	if len(f.calls) != 1 {
		t.Fatalf("%d direct messages sent, want 1", len(f.calls))
	}
	direct := f.calls[0]
	f.calls = nil
	return direct
}

// commandsOf decodes the commands of an answer to a heartbeat.
func commandsOf(t *testing.T, body []byte) []Command {
	t.Helper()
	var message CommandMessage
	if err := json.Unmarshal(body, &message); err != nil {
		t.Fatal(err)
	}
	return message.Commands
}

func hasVerb(list []Command, verb Verb) bool {
	return slices.ContainsFunc(list, func(command Command) bool { return command.Verb == verb })
}
