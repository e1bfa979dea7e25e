package taskstate

import "testing"

// sentLaunch returns a launch that was placed under token 7 and sent directly when message 5 of
// session 1 was the newest.
func sentLaunch() *Launch {
	launch := &Launch{}
	launch.Place(7)
	launch.SendDirectly(7, MessageNumber{1, 5})
	return launch
}

// TestLaunchUnderWayIsNotTakenForVoid guards against a proof of absence while a message can still
// start the task, or that is older than a message which listed the task.
func TestLaunchUnderWayIsNotTakenForVoid(t *testing.T) {
	for _, test := range []struct {
		name      string
		record    func(*Launch)
		heartbeat MessageNumber
		token     uint64
		want      bool
	}{
		{"not sent", func(l *Launch) { l.Place(7) }, MessageNumber{1, 9}, 7, false},
		{"in flight", func(*Launch) {}, MessageNumber{1, 9}, 7, false},
		{"in flight, listed", func(l *Launch) { l.Listed(MessageNumber{1, 6}) }, MessageNumber{1, 9}, 7, false},
		{"unanswered", (*Launch).Unanswered, MessageNumber{1, 9}, 7, false},
		{"unanswered, in a later session", (*Launch).Unanswered, MessageNumber{2, 9}, 7, false}, // see IsVoidInSession
		{"executed, newer heartbeat", func(l *Launch) { l.Executed(MessageNumber{1, 6}) }, MessageNumber{1, 7}, 7, true},
		{"executed, older heartbeat", func(l *Launch) { l.Executed(MessageNumber{1, 6}) }, MessageNumber{1, 6}, 7, false},
		{"executed, lower token", func(l *Launch) { l.Executed(MessageNumber{1, 6}) }, MessageNumber{1, 7}, 6, false},
		{"executed by an answer made before the message was sent", func(l *Launch) { l.Executed(MessageNumber{1, 5}) }, MessageNumber{1, 7}, 7, false},
		{"refused by an answer made before the message was sent", func(l *Launch) { l.Refused(MessageNumber{1, 5}) }, MessageNumber{1, 7}, 7, false},
		{"unanswered, then listed, older heartbeat", func(l *Launch) { l.Unanswered(); l.Listed(MessageNumber{1, 9}) }, MessageNumber{1, 8}, 7, false},
		{"unanswered, then listed, newer heartbeat", func(l *Launch) { l.Unanswered(); l.Listed(MessageNumber{1, 9}) }, MessageNumber{1, 10}, 7, true},
		{"listed, then unanswered, older heartbeat", func(l *Launch) { l.Listed(MessageNumber{1, 9}); l.Unanswered() }, MessageNumber{1, 8}, 7, false},
		{"listed, then refused, older heartbeat", func(l *Launch) { l.Listed(MessageNumber{1, 9}); l.Refused(MessageNumber{1, 10}) }, MessageNumber{1, 8}, 7, false},
		{"in an answer, newer heartbeat", func(l *Launch) { l.Place(7); l.SendInAnswer(MessageNumber{1, 6}) }, MessageNumber{1, 7}, 7, true},
		{"in an answer, the answered heartbeat", func(l *Launch) { l.Place(7); l.SendInAnswer(MessageNumber{1, 6}) }, MessageNumber{1, 6}, 7, false},
		{"of an earlier term, lower token", func(l *Launch) { l.Recover(8) }, MessageNumber{1, 1}, 7, false},
		{"of an earlier term, the term's token", func(l *Launch) { l.Recover(8) }, MessageNumber{1, 1}, 8, true},
		{"of an earlier term, listed, older heartbeat", func(l *Launch) { l.Recover(8); l.Listed(MessageNumber{1, 4}) }, MessageNumber{1, 3}, 8, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			launch := sentLaunch()
			test.record(launch)
			if got := launch.ProvesAbsence(test.heartbeat, test.token); got != test.want {
				t.Errorf("%+v: a heartbeat %+v with token %d proves the absence: %v, want %v", *launch, test.heartbeat, test.token, got, test.want)
			}
		})
	}
}

// TestRefusedLaunchMayBeSentAgain guards against a task that waits for ever because its launch was
// refused, and against a second launch of one that was listed.
func TestRefusedLaunchMayBeSentAgain(t *testing.T) {
	launch := sentLaunch()
	if launch.Refused(MessageNumber{1, 6}); launch.IsSent() {
		t.Errorf("refused: %+v, want not sent", *launch)
	}
	launch = sentLaunch()
	launch.Listed(MessageNumber{1, 6})
	if launch.NotSent(); !launch.IsSent() {
		t.Errorf("listed, then not sent: %+v, want sent", *launch)
	}
}

// TestLaterSessionVoidsLaunch guards against a task that is never proven gone from a worker that has
// begun a later session, and against the opposite for one that was launched in that session.
func TestLaterSessionVoidsLaunch(t *testing.T) {
	launch := sentLaunch()
	launch.Unanswered()
	if launch.IsVoidInSession(1) || !launch.IsVoidInSession(2) {
		t.Errorf("%+v: void in session 1 %v, in session 2 %v, want false, true", *launch, launch.IsVoidInSession(1), launch.IsVoidInSession(2))
	}
	launch.Recover(8)
	if launch.IsVoidInSession(2) {
		t.Errorf("%+v: void in session 2, though the session of the launch is not known", *launch)
	}
}
