package workers

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
)

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
