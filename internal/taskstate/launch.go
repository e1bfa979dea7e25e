package taskstate

// MessageNumber is the position of a message in the sequence of all messages of its worker: its
// heartbeats and its answers to direct messages.
type MessageNumber struct {
	Session  uint64 // 0: no message
	Sequence uint64 // within all sessions
}

// IsAfter reports whether the worker made the message after another one.
func (n MessageNumber) IsAfter(other MessageNumber) bool {
	return n.Session > other.Session || (n.Session == other.Session && n.Sequence > other.Sequence)
}

// launchPhase is the state of the message with a launch command.
type launchPhase uint8

const (
	launchPending  launchPhase = iota // no message has carried it
	launchInFlight                    // a direct message has, and is not answered yet
	launchInDoubt                     // a direct message has that was not answered: it may be executed at any time
	launchSettled                     // the message was executed, or will not be after the number in Launch.notBefore
)

// Launch is what the owner of a placed task knows of the task's launch command, and so which
// messages of its worker prove that the task is not on the machine. The command is sent in exactly
// one message. Its zero value is that of a task that is not placed.
//
// Only the methods change it: the name of each says which event it records.
type Launch struct {
	phase launchPhase
	// listed is set once a message of the worker has listed the attempt.
	listed bool
	// minToken is the lowest token that a message which proves the absence shows.
	minToken uint64
	// directToken is the token of the direct message with the command, 0 if no direct message of
	// this term has carried it.
	directToken uint64
	// notBefore is the newest message of the worker that the worker made before the launch was
	// executed, or that lists the attempt. Messages up to this one say nothing about the absence.
	// It has no session if the command was sent in an earlier term: then the token alone decides.
	notBefore MessageNumber
}

// Place records that the task is placed, under a token.
func (l *Launch) Place(token uint64) { *l = Launch{minToken: token} }

// Recover records that the placement was read from the records, under a token: an earlier message
// may have carried the command. It is void for a worker that shows the token.
func (l *Launch) Recover(token uint64) { *l = Launch{phase: launchSettled, minToken: token} }

// SendDirectly records that a direct message carries the command, under a token. newest is the
// newest message of the worker that is known.
func (l *Launch) SendDirectly(token uint64, newest MessageNumber) {
	l.phase, l.directToken, l.notBefore = launchInFlight, token, newest
}

// SendInAnswer records that the answer to a heartbeat carries the command. The worker reads the
// answer before it sends its next heartbeat, or never.
func (l *Launch) SendInAnswer(heartbeat MessageNumber) {
	l.phase, l.notBefore = launchSettled, heartbeat
}

// Executed records that the direct message was executed, as an answer says. An answer that the worker
// made before the message was sent is not the message's own, so the message stays in doubt.
func (l *Launch) Executed(answer MessageNumber) {
	if !answer.IsAfter(l.notBefore) {
		l.Unanswered()
		return
	}
	l.phase, l.notBefore = launchSettled, answer
}

// Refused records that the worker has refused the direct message, as an answer says. See Executed
// for answers that are too old.
func (l *Launch) Refused(answer MessageNumber) {
	if !answer.IsAfter(l.notBefore) {
		l.Unanswered()
		return
	}
	l.NotSent()
}

// NotSent records that the direct message was not executed and will not be.
func (l *Launch) NotSent() {
	if l.listed {
		l.phase = launchSettled
		return
	}
	l.phase, l.notBefore = launchPending, MessageNumber{}
}

// Unanswered records that the direct message got no answer. Unless the worker has listed the
// attempt, the message may be executed until the worker has seen a higher token.
func (l *Launch) Unanswered() {
	l.phase = launchInDoubt
	if l.listed {
		l.phase = launchSettled
	}
}

// Listed records that a message of the worker lists the attempt. An earlier message, which may
// arrive later, does not prove the absence.
func (l *Launch) Listed(message MessageNumber) {
	l.listed = true
	if l.phase != launchInFlight {
		l.phase = launchSettled
	}
	l.raise(message)
}

// raise records that messages up to the given one say nothing about the absence.
func (l *Launch) raise(message MessageNumber) {
	if message.IsAfter(l.notBefore) {
		l.notBefore = message
	}
}

// IsSent reports whether a message has carried the command, or may have in an earlier term.
func (l *Launch) IsSent() bool { return l.phase != launchPending }

// IsInFlight reports whether the command is in a direct message that is not answered yet.
func (l *Launch) IsInFlight() bool { return l.phase == launchInFlight }

// IsInDoubt reports whether the direct message with the command was not answered and may still be
// executed.
func (l *Launch) IsInDoubt() bool { return l.phase == launchInDoubt }

// IsUnseen reports whether the command was sent in this term and no message has listed the attempt.
func (l *Launch) IsUnseen() bool { return l.IsSent() && l.notBefore.Session > 0 && !l.listed }

// DirectToken returns the token of the direct message with the command, 0 if no direct message of
// this term has carried it.
func (l *Launch) DirectToken() uint64 { return l.directToken }

// NotBefore returns the newest message that says nothing about the absence.
func (l *Launch) NotBefore() MessageNumber { return l.notBefore }

// ProvesAbsence reports whether a heartbeat that does not list the attempt, and that shows a token,
// proves that the task is not on the machine and cannot come to be there.
func (l *Launch) ProvesAbsence(heartbeat MessageNumber, token uint64) bool {
	return l.phase == launchSettled && token >= l.minToken &&
		(l.notBefore.Session == 0 || (heartbeat.Session == l.notBefore.Session && heartbeat.Sequence > l.notBefore.Sequence))
}

// IsVoidInSession reports whether a worker that shows a session has killed the task, and refuses
// the command if it is still under way.
func (l *Launch) IsVoidInSession(session uint64) bool {
	return l.IsSent() && l.notBefore.Session > 0 && session > l.notBefore.Session
}
