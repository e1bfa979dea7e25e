package workers

import (
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
)

// maxForgottenAttempts bounds the memory of a worker's endedAttempts.forgotten.
const maxForgottenAttempts = 64

// endedAttempts describes the attempts whose placements have ended on a worker, in its present
// session and in this term.
type endedAttempts struct {
	// directLaunches are the direct messages that launched those attempts. An attempt that is
	// missing was launched by no direct message of this term.
	directLaunches map[taskAttempt]directLaunch
	// waiting is the number of listed attempts that the worker may not forget yet.
	waiting int
	// forgotten are the latest attempts that the worker was told to forget, a ring buffer.
	forgotten     []forgottenAttempt
	nextForgotten int // index in forgotten once that is full
}

// directLaunch is the launch of an attempt by a direct message.
type directLaunch struct {
	token uint64 // of the message
	// forgetSequence is the sequence number of the last heartbeat that was answered with a
	// forget of the attempt, 0 if none was.
	forgetSequence uint64
}

// forgottenAttempt is an attempt that a worker was told to forget, in the answer to the heartbeat
// with the given sequence number.
type forgottenAttempt struct {
	taskAttempt
	sequence uint64
}

// retain records the launch of a task whose placement ends. It is needed until the worker has
// forgotten the attempt.
func (e *endedAttempts) retain(task *taskstate.Task) {
	if task.Launch.DirectToken() == 0 {
		return
	}
	if e.directLaunches == nil {
		e.directLaunches = map[taskAttempt]directLaunch{}
	}
	e.directLaunches[taskAttempt{task.Name(), task.WireAttempt()}] = directLaunch{token: task.Launch.DirectToken()}
}

// addForgotten records that the answer to the heartbeat with the given sequence number tells the
// worker to forget an attempt.
func (e *endedAttempts) addForgotten(attempt taskAttempt, sequence uint64) {
	if launch, known := e.directLaunches[attempt]; known {
		launch.forgetSequence = sequence
		e.directLaunches[attempt] = launch
	}
	entry := forgottenAttempt{attempt, sequence}
	if len(e.forgotten) < maxForgottenAttempts {
		e.forgotten = append(e.forgotten, entry)
		return
	}
	e.forgotten[e.nextForgotten] = entry
	e.nextForgotten = (e.nextForgotten + 1) % maxForgottenAttempts
}

// wasForgottenBefore reports whether the worker was told to forget an attempt in the answer to a
// heartbeat with a lower sequence number.
func (e *endedAttempts) wasForgottenBefore(attempt taskAttempt, sequence uint64) bool {
	for i := range e.forgotten {
		if e.forgotten[i].taskAttempt == attempt && e.forgotten[i].sequence < sequence {
			return true
		}
	}
	return false
}

// dropForgotten drops the launches of the attempts that the worker has forgotten: it was told to,
// and its next heartbeat does not list them.
func (e *endedAttempts) dropForgotten(heartbeat *Heartbeat) {
	var listed map[taskAttempt]bool
	for attempt, launch := range e.directLaunches {
		if launch.forgetSequence == 0 || launch.forgetSequence >= heartbeat.Sequence {
			continue
		}
		if listed == nil {
			listed = heartbeat.listedAttempts()
		}
		if !listed[attempt] {
			delete(e.directLaunches, attempt)
		}
	}
}

// checkStaysEnded asserts that an attempt that has ended, and that the worker was told to forget,
// is not started again. A worker that lists it is commanded to halt it at once.
func (c *reconciliation) checkStaysEnded(reported *ReportedTask) {
	if !c.worker.ended.wasForgottenBefore(reported.taskAttempt(), c.heartbeat.Sequence) {
		return
	}
	c.registry.metrics.ReportViolation(c.registry.log, metrics.InvariantEndedStaysEnded, "worker", c.worker.ID,
		"task", reported.Name, "attempt", reported.Attempt, "phase", string(reported.Phase), "session", c.heartbeat.Session,
		"seq", c.heartbeat.Sequence, "token_shown", c.heartbeat.Token, "token", c.registry.commandToken(c.worker),
		"history", c.registry.history(reported.Name))
	c.worker.delivery.pendingHalts = append(c.worker.delivery.pendingHalts, haltCommand(reported.Name, reported.Attempt, 0))
	c.registry.commandsDue[c.worker] = true
}
