package workers

import (
	"strconv"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
)

// maxGoneTasks bounds the memory of a worker's goneTasks. Only tasks that did not exit are in it.
const maxGoneTasks = 1000

// taskAttempt names an attempt of a task as workers know it.
type taskAttempt struct {
	name    string
	attempt uint64
}

// String returns the attempt's name in logs: JOB/INDEX@ATTEMPT.
func (a taskAttempt) String() string { return a.name + "@" + strconv.FormatUint(a.attempt, 10) }

// goneProof is the message that proved a task gone.
type goneProof struct {
	evidence          Evidence
	session, sequence uint64
	directToken       uint64 // token of the direct message that launched the task, 0 if none did
}

// goneTasks are the attempts that were considered gone from a worker in this term although the
// worker did not report their end. None of them may come to be listed as alive.
type goneTasks map[taskAttempt]goneProof

// record adds a task whose placement ends. A task that has exited may be listed until the worker
// forgets it, and is not added.
func (g *goneTasks) record(task *taskstate.Task, evidence Evidence, worker *Worker) {
	switch evidence {
	case EvidenceNeverLaunched, EvidenceNotListed, EvidenceLaterSession, EvidenceLeaseExpired:
	case EvidenceExited, EvidenceMachineReleased, EvidenceRecordRemoved:
		return
	}
	if *g == nil || len(*g) >= maxGoneTasks {
		*g = goneTasks{}
	}
	(*g)[taskAttempt{task.Name(), task.WireAttempt()}] = goneProof{evidence, worker.Session, worker.Sequence, task.Launch.DirectToken()}
}

// contradicts reports whether a message that lists the task as alive shows that the proof was
// wrong. A message from before the proof does not; nor does one of the session whose lease
// expired, since it may have been sent before. If this process had not heard the worker, that may
// be any session.
func (p goneProof) contradicts(message *Heartbeat) bool {
	switch p.evidence {
	case EvidenceNeverLaunched:
		return true
	case EvidenceLeaseExpired:
		return p.session > 0 && message.Session > p.session
	case EvidenceNotListed, EvidenceLaterSession:
		return message.Session > p.session || (message.Session == p.session && message.Sequence > p.sequence)
	case EvidenceExited, EvidenceMachineReleased, EvidenceRecordRemoved:
	}
	return false
}

// checkGone asserts that a task that a worker lists as alive was not considered gone before. The
// task is halted, like any that the records do not place there.
func (c *reconciliation) checkGone(reported *ReportedTask) {
	attempt := reported.taskAttempt()
	proof, wasGone := c.worker.gone[attempt]
	if !wasGone || !proof.contradicts(c.heartbeat) {
		return
	}
	delete(c.worker.gone, attempt) // reported once
	var launch taskstate.Launch
	launch.Recover(c.registry.lease.Token())
	launch.Listed(c.heartbeat.number())
	c.registry.addStray(c.worker, attempt, launch)
	c.registry.metrics.ReportViolation(c.registry.log, metrics.InvariantGoneTaskNotListed, "worker", c.worker.ID,
		"task", reported.Name, "attempt", reported.Attempt, "evidence", proof.evidence.String(),
		"proof_session", proof.session, "proof_seq", proof.sequence, "session", c.heartbeat.Session, "seq", c.heartbeat.Sequence,
		"history", c.registry.history(reported.Name))
}
