package workers

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// maxRequestBytes is the limit of the body of a request (protocol).
const maxRequestBytes = 64 << 10

// launchDirectly places a task on the machine, has the worker execute and answer its direct launch,
// and returns that message.
func (f *registryFixture) launchDirectly(t *testing.T, index int) sentRequest {
	t.Helper()
	f.placeTask(index)
	f.commit() // the placement
	direct := f.sendDirectMessage(t)
	direct.fn(f.deliverDirect(direct), nil)
	return direct
}

// exchangeUntilForgotten has the worker exchange heartbeats with the registry until it has forgotten
// all attempts that have ended.
func (f *registryFixture) exchangeUntilForgotten(t *testing.T) {
	t.Helper()
	for range 4 {
		f.exchangeHeartbeats(t)
		for _, task := range f.job.Tasks {
			task.DoneDurable = task.State == taskstate.StateDone
		}
		f.deliverAllDirect()
	}
	if len(f.worker.ended) > 0 {
		t.Fatalf("not forgotten: %v", f.worker.ended)
	}
}

// deliverAllDirect has the registry send its due direct messages and the worker answer them.
func (f *registryFixture) deliverAllDirect() {
	f.registry.AfterBatch()
	for len(f.calls) > 0 {
		direct := f.calls[0]
		f.calls = f.calls[1:]
		direct.fn(f.deliverDirect(direct), nil)
	}
}

// expectCopyRefused delivers a copy of a direct message and requires that the worker refuses it.
func (f *registryFixture) expectCopyRefused(t *testing.T, direct sentRequest) {
	t.Helper()
	if answer := f.deliverDirect(direct); answer.Status != statusRefused {
		t.Errorf("copy of the launch: answered %d, want %d", answer.Status, statusRefused)
	}
	if len(f.worker.startedAgain) > 0 {
		t.Errorf("started again: %v", f.worker.startedAgain)
	}
	f.expectViolations(t, metrics.InvariantForgetIsSafe, 0)
}

// TestCopyOfALaunchDoesNotStartAnAttemptThatEnded guards against a task that runs on two machines:
// for each way in which an attempt ends and leaves the memory of its worker.
func TestCopyOfALaunchDoesNotStartAnAttemptThatEnded(t *testing.T) {
	for name, test := range map[string]struct {
		newFixture func(tasks int) *registryFixture
		end        func(f *registryFixture, task *taskstate.Task)
	}{
		"failed":  {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseError) }},
		"done":    {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseDone) }},
		"full":    {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseFull) }},
		"busy":    {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseBusy) }},
		"unknown": {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseUnknown) }},
		"cause of a later version": {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) {
			f.endTask(task.Name(), "moonshine")
		}},
		"halted and moved": {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) { f.registry.HaltTask(task) }},
		"cancelled": {newRegistryFixture, func(f *registryFixture, _ *taskstate.Task) {
			f.job.Cancelled, f.cancelledAt = true, f.now
			f.registry.CancelJob(f.job)
		}},
		"replica of a service": {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) {
			f.job.Spec.Shape = "daemon"
			f.endTask(task.Name(), CauseDone)
		}},
		"alone":            {newGangFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseAlone) }},
		"mates gone":       {newGangFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseMatesGone) }},
		"done gang":        {newGangFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseDone) }},
		"gang member full": {newGangFixture, func(f *registryFixture, task *taskstate.Task) { f.endTask(task.Name(), CauseFull) }},
		"on no record":     {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) { f.registry.DiscardTask(task); f.job.Tasks = nil }},
		"of an earlier term": {newRegistryFixture, func(f *registryFixture, task *taskstate.Task) {
			f.endTask(task.Name(), CauseError)
			f.beginTerm()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := test.newFixture(1)
			fixture.exchangeHeartbeats(t)
			direct := fixture.launchDirectly(t, 0)
			test.end(fixture, fixture.job.Tasks[0])
			fixture.deliverAllDirect()
			fixture.exchangeUntilForgotten(t)
			fixture.expectCopyRefused(t, direct)
		})
	}
}

// TestAttemptIsRetainedWhileNoHigherTokenIsKnown guards against a forget under the token of the
// launch itself, which leaves the copies of the launch valid.
func TestAttemptIsRetainedWhileNoHigherTokenIsKnown(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.commitsFail = true
	direct := fixture.launchDirectly(t, 0)
	fixture.endTask(fixture.job.Tasks[0].Name(), CauseError)
	fixture.exchangeHeartbeats(t)
	if len(fixture.worker.ended) != 1 || worker.ended.waiting != 1 {
		t.Fatalf("without a higher token: worker retains %v, %d waiting, want one attempt", fixture.worker.ended, worker.ended.waiting)
	}
	if fixture.deliverDirect(direct); len(fixture.worker.startedAgain) > 0 {
		t.Errorf("started again: %v", fixture.worker.startedAgain)
	}
	fixture.commitsFail = false
	fixture.commit()
	fixture.exchangeUntilForgotten(t)
	fixture.expectCopyRefused(t, direct)
	if worker.ended.waiting != 0 || len(worker.ended.directLaunches) != 0 {
		t.Errorf("after it was forgotten: %d attempts wait, launches %v, want none", worker.ended.waiting, worker.ended.directLaunches)
	}
}

// TestAttemptLaunchedByAnAnswerIsForgottenAtOnce guards against reports that grow although no
// direct message has launched their attempts.
func TestAttemptLaunchedByAnAnswerIsForgottenAtOnce(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.commitsFail = true
	fixture.placeTask(0)
	fixture.exchangeHeartbeats(t) // the answer carries the launch
	fixture.endTask(fixture.job.Tasks[0].Name(), CauseError)
	fixture.exchangeHeartbeats(t)
	if len(fixture.worker.ended) > 0 || worker.delivery.token > fixture.token {
		t.Errorf("worker retains %v under token %d, want nothing under %d", fixture.worker.ended, worker.delivery.token, fixture.token)
	}
}

// TestHigherTokenWaitsForTheDirectMessageInFlight guards against launches that a worker refuses
// since an answer with a higher token has overtaken them.
func TestHigherTokenWaitsForTheDirectMessageInFlight(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	fixture.launchDirectly(t, 0)
	fixture.endTask(fixture.job.Tasks[0].Name(), CauseError)
	fixture.placeTask(1)
	inFlight := fixture.sendDirectMessage(t)
	fixture.exchangeHeartbeats(t)
	if answer := fixture.deliverDirect(inFlight); answer.Status != statusExecuted {
		t.Fatalf("launch that was in flight: answered %d, want %d", answer.Status, statusExecuted)
	} else {
		inFlight.fn(answer, nil)
	}
	fixture.exchangeUntilForgotten(t)
}

// TestLaterMessagesCarryTheRaisedToken guards against messages with a lower token than an answer on
// its way, which the worker would drop.
func TestLaterMessagesCarryTheRaisedToken(t *testing.T) {
	fixture := newRegistryFixture(2)
	worker := fixture.exchangeHeartbeats(t)
	fixture.launchDirectly(t, 0)
	fixture.endTask(fixture.job.Tasks[0].Name(), CauseError)
	fixture.now += time.Second
	sentAt, heartbeat := fixture.now, fixture.heartbeat()
	_, answer := fixture.registry.HandleHeartbeat(heartbeat) // raises the token
	fixture.placeTask(1)
	direct := fixture.sendDirectMessage(t)
	direct.fn(fixture.deliverDirect(direct), nil)
	fixture.receiveAnswer(answer, heartbeat.Session, sentAt)
	if len(fixture.worker.ended) > 0 || len(fixture.worker.tasks) != 1 {
		t.Errorf("worker retains %v and runs %v, want nothing and one task", fixture.worker.ended, fixture.worker.tasks)
	}
	if !fixture.registry.AcceptsTasks(worker) {
		t.Error("after the raise: the worker accepts no tasks")
	}
	fixture.exchangeHeartbeats(t)
	if task := fixture.job.Tasks[1]; task.State != taskstate.StatePlaced || !task.Observed.Reported {
		t.Errorf("task launched after the raise: state %v, reported %v, want %v, true", task.State, task.Observed.Reported, taskstate.StatePlaced)
	}
}

// TestWorkerThatRetainsTooManyAttemptsGetsNoTasks guards against a report that outgrows a request
// while no higher token is to be had.
func TestWorkerThatRetainsTooManyAttemptsGetsNoTasks(t *testing.T) {
	const batch = 100 // tasks on the machine at a time
	fixture := newRegistryFixture(2 * tuning.MaxListedAttempts)
	worker := fixture.exchangeHeartbeats(t)
	fixture.commitsFail = true
	for range 2 * tuning.MaxListedAttempts / batch {
		for index, task := range fixture.job.Tasks {
			if task.State == taskstate.StateWaiting && task.Attempt == 0 && len(worker.Tasks) < batch && fixture.registry.AcceptsTasks(worker) {
				fixture.placeTask(index)
			}
		}
		fixture.deliverAllDirect()
		for name := range fixture.worker.tasks {
			fixture.endTask(name, CauseHalted)
		}
		fixture.exchangeHeartbeats(t)
	}
	if retained := len(fixture.worker.ended); retained != tuning.MaxListedAttempts || fixture.registry.AcceptsTasks(worker) {
		t.Errorf("worker retains %d attempts and accepts tasks: %v, want %d, false", retained, fixture.registry.AcceptsTasks(worker), tuning.MaxListedAttempts)
	}
	longest, err := json.Marshal(ReportedTask{Name: "wk-000412/99999", Attempt: math.MaxUint64, Phase: PhaseEnded, Cause: CauseMatesGone, CheckpointSaved: true})
	if size := tuning.MaxListedAttempts * (len(longest) + 1); err != nil || size > maxRequestBytes*9/10 {
		t.Errorf("%d bytes for the attempts of a full report, error %v, want nine tenths of %d at most", size, err, maxRequestBytes)
	}
	fixture.commitsFail = false
	fixture.registry.Tick() // requests a higher token at once
	fixture.exchangeUntilForgotten(t)
	if fixture.newerTokenRequests != 1 || !fixture.registry.AcceptsTasks(worker) {
		t.Errorf("%d requests for a higher token, accepts tasks afterwards: %v, want 1, true", fixture.newerTokenRequests, fixture.registry.AcceptsTasks(worker))
	}
}

// TestHigherTokenIsRequestedOncePerHalfLease guards against a write for each attempt that ends.
func TestHigherTokenIsRequestedOncePerHalfLease(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.exchangeHeartbeats(t)
	fixture.commitsFail = true
	fixture.launchDirectly(t, 0)
	fixture.endTask(fixture.job.Tasks[0].Name(), CauseError)
	lease := fixture.registry.settings.WorkerLease()
	beganAt := fixture.registry.termBeganAt
	for fixture.now-beganAt < 2*lease {
		fixture.exchangeHeartbeats(t)
		fixture.registry.Tick()
	}
	if fixture.newerTokenRequests < 3 || fixture.newerTokenRequests > 4 {
		t.Errorf("%d requests for a higher token within two leases, want 3 or 4", fixture.newerTokenRequests)
	}
}

// TestUnsafeForgetDoesNotLeave guards against a change that bypasses the decision on forgets.
func TestUnsafeForgetDoesNotLeave(t *testing.T) {
	fixture := newRegistryFixture(1)
	worker := fixture.exchangeHeartbeats(t)
	fixture.launchDirectly(t, 0)
	attempt := taskAttempt{fixture.job.Tasks[0].Name(), 1}
	commands := []Command{{Verb: VerbForget, TaskName: attempt.name, Attempt: attempt.attempt}, haltCommand(attempt.name, 1, 0)}
	status, body := fixture.registry.encodeAnswer(worker, commands)
	if left := commandsOf(t, body); status != statusAnswered || len(left) != 1 || left[0].Verb != VerbHalt {
		t.Errorf("answered %d, commands that leave: %v, want %d and the halt alone", status, left, statusAnswered)
	}
	fixture.expectViolations(t, metrics.InvariantForgetIsSafe, 1)
}

// TestForgottenAttemptThatRunsAgainIsHaltedAtOnce guards against a second start that nobody notices.
func TestForgottenAttemptThatRunsAgainIsHaltedAtOnce(t *testing.T) {
	fixture := newRegistryFixture(2)
	fixture.exchangeHeartbeats(t)
	fixture.launchDirectly(t, 0)
	name := fixture.job.Tasks[0].Name()
	fixture.endTask(name, CauseError)
	fixture.exchangeUntilForgotten(t)
	fixture.worker.tasks[name] = 1
	fixture.launchDirectly(t, 1) // its answer lists the attempt
	fixture.expectViolations(t, metrics.InvariantEndedStaysEnded, 1)
	fixture.deliverAllDirect()
	if len(fixture.worker.tasks) != 1 || fixture.worker.tasks[name] != 0 {
		t.Errorf("after a direct message: running %v, want the other task alone", fixture.worker.tasks)
	}
}

// TestLaunchThatWasNotAnsweredCountsAsDirect guards against a copy of a launch whose answer was lost.
func TestLaunchThatWasNotAnsweredCountsAsDirect(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.tokenRenewalFails = true
	fixture.exchangeHeartbeats(t)
	fixture.placeTask(0)
	direct := fixture.sendDirectMessage(t)
	fixture.deliverDirect(direct)
	direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
	fixture.endTask(fixture.job.Tasks[0].Name(), CauseError)
	fixture.exchangeUntilForgotten(t)
	fixture.expectCopyRefused(t, direct)
}
