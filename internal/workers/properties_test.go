package workers

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

// randomExchange is a registry and a worker that exchange messages, which are lost, delayed or
// repeated at random.
type randomExchange struct {
	*registryFixture
	t        *rapid.T
	delayed  []sentRequest // direct messages that may still be executed
	executed []sentRequest // direct messages that were executed, of which copies may arrive
	copies   []*Heartbeat  // heartbeats that may arrive again
}

// advance moves the clock forward by one of the given durations, drawn at random.
func (e *randomExchange) advance(milliseconds []int) {
	e.now += time.Duration(rapid.SampledFrom(milliseconds).Draw(e.t, "ms")) * time.Millisecond
}

// sendHeartbeat has the worker send a heartbeat. The answer may be lost, and if mayBeLost the
// heartbeat itself.
func (e *randomExchange) sendHeartbeat(mayBeLost bool) {
	sentAt, heartbeat := e.now, e.heartbeat()
	e.copies = append(e.copies, heartbeat)
	if mayBeLost && rapid.IntRange(0, 9).Draw(e.t, "heartbeat lost") == 0 {
		return
	}
	if !e.MayAnswer() {
		return
	}
	status, body := e.registry.HandleHeartbeat(heartbeat)
	if status == 200 && rapid.IntRange(0, 3).Draw(e.t, "answer lost") > 0 {
		e.receiveAnswer(body, heartbeat.Session, sentAt)
	}
}

// repeatHeartbeat delivers a copy of an earlier heartbeat.
func (e *randomExchange) repeatHeartbeat() {
	if len(e.copies) > 0 && e.MayAnswer() {
		e.registry.HandleHeartbeat(e.copies[rapid.IntRange(0, len(e.copies)-1).Draw(e.t, "copy")])
	}
}

// placeTasks places the waiting tasks, makes the placements durable and has the registry send
// its direct messages.
func (e *randomExchange) placeTasks() {
	for _, task := range e.job.Tasks {
		if worker := e.registry.Worker("vm-1"); worker != nil && e.registry.AcceptsTasks(worker) && task.State == taskstate.StateWaiting && !task.Job.Cancelled {
			e.registry.PlaceTask(task, worker)
			task.PlacementDurable = true
			e.registry.PlacementDurable(task)
		}
	}
	e.registry.AfterBatch()
}

// resolveDirectMessage draws the outcome of the first direct message in flight: answered,
// executed without an answer, delayed, or not sent.
func (e *randomExchange) resolveDirectMessage() {
	if len(e.calls) == 0 {
		return
	}
	direct := e.calls[0]
	e.calls = e.calls[1:]
	switch rapid.IntRange(0, 3).Draw(e.t, "fate") {
	case 0:
		direct.fn(e.deliverDirect(direct), nil)
		e.executed = append(e.executed, direct)
	case 1:
		e.deliverDirect(direct)
		e.executed = append(e.executed, direct)
		direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
	case 2:
		e.delayed = append(e.delayed, direct)
		direct.fn(http1.Response{}, eventloop.ErrNoAnswer)
	case 3:
		direct.fn(http1.Response{}, eventloop.ErrNotSent)
	}
}

// deliverDelayed delivers the first of the delayed direct messages.
func (e *randomExchange) deliverDelayed() {
	if len(e.delayed) > 0 {
		e.deliverDirect(e.delayed[0])
		e.delayed = e.delayed[1:]
	}
}

// deliverCopy delivers a copy of a direct message that was executed before.
func (e *randomExchange) deliverCopy() {
	if len(e.executed) > 0 {
		e.deliverDirect(e.executed[rapid.IntRange(0, len(e.executed)-1).Draw(e.t, "copy of a command")])
	}
}

// endRunningTask ends one of the worker's running tasks for a drawn cause.
func (e *randomExchange) endRunningTask() {
	for _, task := range e.job.Tasks {
		if name := task.Name(); e.worker.tasks[name] > 0 && rapid.Bool().Draw(e.t, "this task") {
			e.endTask(name, rapid.SampledFrom([]EndCause{CauseError, CauseHalted, CauseFull, CauseUnknown}).Draw(e.t, "cause"))
			return
		}
	}
}

// beginTermFromRecords begins a term of an owner that knows only what is in the records.
func (e *randomExchange) beginTermFromRecords() {
	for _, task := range e.job.Tasks {
		task.Observed.Reported = false
	}
	e.beginTerm()
}

// requireGone fails if a task that the registry considers gone is running, or if a message in
// flight can start it.
func (e *randomExchange) requireGone(task *taskstate.Task) {
	e.expireLease()
	if e.worker.tasks[task.Name()] == task.Attempt {
		e.t.Fatalf("task %s, attempt %d, is considered gone but is running", task.Name(), task.Attempt)
	}
	for _, direct := range append(e.delayed, e.calls...) {
		var message CommandMessage
		_ = json.Unmarshal(direct.body, &message)
		if message.Token < e.worker.token || message.Session != e.worker.session {
			continue
		}
		for _, command := range message.Commands {
			attempt := taskAttempt{command.TaskName, command.Attempt}
			if command.Verb == VerbLaunch && attempt == (taskAttempt{task.Name(), task.Attempt}) && !e.knows(attempt) {
				e.t.Fatalf("task %s, attempt %d, is considered gone but a message in flight can start it", task.Name(), task.Attempt)
			}
		}
	}
}

// TestTaskConsideredGoneNeitherRunsNorStarts checks that a task that the registry considers gone
// is not on the machine and that no message in flight can start it there, and that no attempt
// starts twice, whichever messages between the registry and the worker are lost, delayed or repeated.
func TestTaskConsideredGoneNeitherRunsNorStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exchange := &randomExchange{registryFixture: newRegistryFixture(4), t: t}
		exchange.onTaskWaiting = exchange.requireGone
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			exchange.advance([]int{1, 500, 5000, 20000})
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2:
				exchange.sendHeartbeat(true)
			case 3:
				exchange.repeatHeartbeat()
			case 4:
				exchange.placeTasks()
			case 5:
				exchange.resolveDirectMessage()
			case 6:
				exchange.deliverDelayed()
			case 7:
				exchange.registry.Tick()
			case 8:
				exchange.beginTermFromRecords()
			case 9:
				exchange.endRunningTask()
			case 10:
				exchange.deliverCopy()
			case 11:
				exchange.commitsFail = !exchange.commitsFail
			}
			if len(exchange.worker.startedAgain) > 0 {
				t.Fatalf("%v started again", exchange.worker.startedAgain)
			}
		}
	})
}

// cancel has the user cancel the job, through any node, once a task may be on the machine. The
// registry does not know of it before verifyCancellations.
func (e *randomExchange) cancel() {
	if e.cancelledAt == 0 && len(e.worker.tasks)+len(e.delayed)+len(e.calls) > 0 {
		e.cancelledAt = e.now
	}
}

// verifyCancellations updates the owner's knowledge of cancellations. At random, a new term
// begins, as under another owner.
func (e *randomExchange) verifyCancellations() {
	e.verifiedAt = e.now
	if e.cancelledAt > 0 && !e.job.Cancelled {
		e.job.Cancelled = true
		e.registry.CancelJob(e.job)
	}
	if !e.tokenRenewalFails && rapid.IntRange(0, 4).Draw(e.t, "another term") == 0 {
		e.beginTermFromRecords()
	}
}

// TestCancelledTasksEndWithinTheLimit checks that no task of a job is on its machine, nor
// started there by a message in flight, more than cancel_s after the user was told that the job
// is cancelled. This holds whichever messages are lost, delayed or repeated, however long the
// owner cannot verify its knowledge, and also if another owner acquires the shard.
func TestCancelledTasksEndWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exchange := &randomExchange{registryFixture: newRegistryFixture(3), t: t}
		exchange.needsVerification, exchange.verifiedAt = true, exchange.now
		exchange.tokenRenewalFails = rapid.Bool().Draw(t, "no new token")
		limit := time.Duration(exchange.registry.settings.Deployment.Workers.CancelS * float64(time.Second))
		check := func(after string) {
			exchange.expireLease()
			if exchange.cancelledAt > 0 && exchange.now > exchange.cancelledAt+limit && len(exchange.worker.tasks) > 0 {
				t.Fatalf("after %s: tasks %v are on the machine %v after the cancellation, want at most %v", after, exchange.worker.tasks, exchange.now-exchange.cancelledAt, limit)
			}
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			exchange.advance([]int{1, 300, 1500, 4000, 9000})
			check("time")
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0, 1, 2:
				exchange.sendHeartbeat(false)
			case 3:
				exchange.repeatHeartbeat()
			case 4:
				exchange.placeTasks()
			case 5, 6:
				exchange.resolveDirectMessage()
			case 7:
				exchange.deliverDelayed()
			case 8:
				exchange.registry.Tick()
			case 9:
				exchange.cancel()
			case 10:
				exchange.verifyCancellations()
			}
			check("step")
		}
	})
}
