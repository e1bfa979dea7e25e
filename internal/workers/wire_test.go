package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/wiretest"
)

// recordingFixture is a registryFixture that records the direct messages and their addresses.
type recordingFixture struct {
	*registryFixture
	sent []string
}

func (f *recordingFixture) CallHTTP(addr string, request http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error)) {
	f.sent = append(f.sent, addr+" "+request.Method+" "+request.Target+" "+string(request.Body))
	f.registryFixture.CallHTTP(addr, request, timeout, fn)
}

// TestWireAnnouncement pins the direct message that announces the token of a new owner.
func TestWireAnnouncement(t *testing.T) {
	fixture := newRegistryFixture(1)
	fixture.token = 9
	recorder := &recordingFixture{registryFixture: fixture}
	fixture.registry.runtime = recorder
	fixture.registry.Announce("vm-7", "10.0.0.7:7")
	fixture.registry.AfterBatch()
	if len(recorder.sent) != 1 || recorder.sent[0] != `10.0.0.7:7 POST /orders {"baton":9,"shift":1,"orders":[]}` {
		t.Errorf("announcement: sent %q, want one POST /orders to 10.0.0.7:7 with token 9, session 1 and no commands", recorder.sent)
	}
}

// TestWireHeartbeat pins the encoding of a heartbeat and the refusal of incomplete ones.
func TestWireHeartbeat(t *testing.T) {
	const text = `{"host":"vm-1","addr":"10.0.0.1:7","build":"g8","yard":"yard-a","loaners":true,"shift":3,"tick":4,"baton":5,"warningS":6.5,` +
		`"pieces":[{"piece":"wk-000001/2","try":7,"phase":"ended","cause":"done","stored":true},{"piece":"wk-000001/3","try":8,"phase":"running"}]}`
	wiretest.CheckRoundTrip(t, text, &Heartbeat{})
	parsed, err := ParseHeartbeat([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	wiretest.CheckEncoding(t, parsed, text)
	for _, incomplete := range []string{`{"shift":3}`, `{"host":"vm-1"}`, `{"host":"vm-1","shift":0}`} {
		if _, err := ParseHeartbeat([]byte(incomplete)); err == nil || err.Error() != `report: "host" or "shift" missing` {
			t.Errorf("ParseHeartbeat(%s): error %v, want %v", incomplete, err, ErrIncompleteHeartbeat)
		}
	}
}

// TestWireCommands pins the encoding of commands and of the answer of a node that is not the
// owner.
func TestWireCommands(t *testing.T) {
	wiretest.CheckRoundTrip(t, `{"baton":1,"shift":2,"orders":[{"verb":"halt","piece":"wk-000001/2","try":3,"windDownS":4.5},`+
		`{"verb":"launch","piece":"wk-000001/3","try":5},{"verb":"forget","piece":"wk-000001/4","try":6}]}`, &CommandMessage{})
	wiretest.CheckEncoding(t, CommandMessage{Token: 1, Commands: []Command{}}, `{"baton":1,"orders":[]}`)
	wiretest.CheckEncoding(t, haltCommand("wk-000001/2", 3, 0), `{"verb":"halt","piece":"wk-000001/2","try":3,"windDownS":0}`)
	wiretest.CheckEncoding(t, haltCommand("wk-000001/2", 3, 4.5), `{"verb":"halt","piece":"wk-000001/2","try":3,"windDownS":4.5}`)
	wiretest.CheckEncoding(t, forgetCommand(&ReportedTask{Name: "wk-000001/2", Attempt: 3}), `{"verb":"forget","piece":"wk-000001/2","try":3}`)
	if string(NotOwnerBody) != `{"error":"not the owner of this machine"}` {
		t.Errorf("NotOwnerBody is %s, want the error \"not the owner of this machine\"", NotOwnerBody)
	}
}

// TestWireTaskNames pins the format of task names.
func TestWireTaskNames(t *testing.T) {
	job, index, ok := parseTaskName("wk-000412/7")
	if !ok || job != "wk-000412" || index != 7 {
		t.Errorf("parseTaskName(wk-000412/7): got %q, %d, %v, want wk-000412, 7, true", job, index, ok)
	}
	for _, name := range []string{"wk-000412", "wk-000412/", "wk-000412/-1", "wk-000412/100000", "job-1/2", "wk-1/2/3"} {
		if _, _, ok := parseTaskName(name); ok {
			t.Errorf("parseTaskName(%q) succeeded, want a refusal", name)
		}
	}
}

// TestWireDirectLaunch pins launches in a direct message and in the answer to a heartbeat.
func TestWireDirectLaunch(t *testing.T) {
	fixture := newRegistryFixture(1)
	recorder := &recordingFixture{registryFixture: fixture}
	fixture.registry.runtime = recorder
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.worker.token = 1
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	task := fixture.job.Tasks[0]
	fixture.registry.PlaceTask(task, fixture.registry.Worker("vm-1"))
	task.PlacementDurable = true
	fixture.registry.PlacementDurable(task)
	fixture.registry.AfterBatch()
	if want := `w:1 POST /orders {"baton":1,"shift":1,"orders":[{"verb":"launch","piece":"wk-1/0","try":1}]}`; len(recorder.sent) != 1 || recorder.sent[0] != want {
		t.Errorf("direct launch: sent %q, want %q", recorder.sent, want)
	}

	fixture = newRegistryFixture(1)
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.worker.token = 1
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	task = fixture.job.Tasks[0]
	fixture.registry.PlaceTask(task, fixture.registry.Worker("vm-1"))
	task.PlacementDurable = true
	fixture.registry.PlacementDurable(task)
	if status, body := fixture.registry.HandleHeartbeat(fixture.heartbeat()); status != 200 || string(body) != `{"baton":1,"orders":[{"verb":"launch","piece":"wk-1/0","try":1}]}` {
		t.Errorf("launch in an answer: got %d %s, want status 200 and a launch of wk-1/0, attempt 1, under token 1", status, body)
	}
}

// TestWireProbe pins the direct message that probes an unreachable worker.
func TestWireProbe(t *testing.T) {
	fixture := newRegistryFixture(1)
	recorder := &recordingFixture{registryFixture: fixture}
	fixture.registry.runtime = recorder
	fixture.registry.HandleHeartbeat(fixture.heartbeat())
	fixture.now += time.Hour
	fixture.registry.probeUnreachableWorker(fixture.registry.Worker("vm-1"), fixture.now)
	if len(recorder.sent) != 1 || recorder.sent[0] != `w:1 POST /orders {"baton":1,"shift":1,"orders":[]}` {
		t.Errorf("probe: sent %q, want one POST /orders to w:1 with token 1, session 1 and no commands", recorder.sent)
	}
}

// TestWirePhases pins the names of task phases and what each of them shows.
func TestWirePhases(t *testing.T) {
	for phase, want := range map[TaskPhase]struct{ runs, hasImage bool }{
		"running": {true, true}, "saving": {false, true}, "waiting": {false, true}, "fetching": {false, false}, "novel": {false, false},
	} {
		t.Run(string(phase), func(t *testing.T) {
			fixture := newRegistryFixture(1)
			fixture.phase = "fetching"
			fixture.placeAndLaunchAll(t)
			if commands := fixture.reportAll(t, phase, ""); len(commands) > 0 {
				t.Errorf("phase %s: answered with commands %+v, want none", phase, commands)
			}
			if task := fixture.job.Tasks[0]; task.Observed.Running != want.runs || task.Observed.HasImage != want.hasImage {
				t.Errorf("phase %s: running %v, has image %v, want %v, %v", phase, task.Observed.Running, task.Observed.HasImage, want.runs, want.hasImage)
			}
		})
	}
}

// TestWireGangPhases pins which phases of a task show that its gang has started, and which show
// that the task waits for the others. It also pins which causes of a task's end show that the
// gang had started.
func TestWireGangPhases(t *testing.T) {
	for phase, want := range map[TaskPhase]struct{ started, waits bool }{
		"running": {started: true}, "saving": {started: true}, "waiting": {waits: true}, "fetching": {waits: true}, "novel": {},
	} {
		t.Run(string(phase), func(t *testing.T) {
			fixture := newGangFixture(2)
			fixture.phase = "novel"
			fixture.placeAndLaunchAll(t)
			// As if a task had been lost before the next heartbeat.
			fixture.job.Gang.StartInDoubtSince = fixture.now
			fixture.reportAll(t, phase, "")
			if started, waits := fixture.job.Gang.Started, fixture.job.Gang.StartInDoubtSince == 0 && !fixture.job.Gang.AttemptOver; started != want.started || waits != want.waits {
				t.Errorf("phase %s: started %v, waits %v, want %v, %v", phase, started, waits, want.started, want.waits)
			}
		})
	}
	for cause, started := range map[EndCause]bool{"mates_gone": true, "alone": false} {
		t.Run(string(cause), func(t *testing.T) {
			fixture := newGangFixture(2)
			fixture.phase = "fetching"
			fixture.placeAndLaunchAll(t)
			fixture.now += time.Second
			heartbeat := fixture.heartbeat() // the other task has not noticed yet
			heartbeat.Tasks[0].Phase, heartbeat.Tasks[0].Cause = "ended", cause
			fixture.registry.HandleHeartbeat(heartbeat)
			if fixture.job.Gang.Started != started {
				t.Errorf("cause %s: started %v, want %v", cause, !started, started)
			}
		})
	}
}

// TestWireCauses pins the names of the causes of a task's end and the effects of each.
func TestWireCauses(t *testing.T) {
	const forgotten = `[{"verb":"forget","piece":"wk-1/0","try":1}]`
	for cause, want := range map[EndCause]struct {
		commands                        string
		gone, done, failed, full, delay bool
	}{
		"done":       {commands: `[]`, done: true},
		"error":      {commands: forgotten, gone: true, failed: true},
		"full":       {commands: forgotten, gone: true, full: true, delay: true},
		"busy":       {commands: forgotten, gone: true, delay: true},
		"unknown":    {commands: forgotten, gone: true, delay: true},
		"halted":     {commands: forgotten, gone: true},
		"alone":      {commands: forgotten, gone: true},
		"mates_gone": {commands: forgotten, gone: true},
		"novel":      {commands: forgotten},
	} {
		t.Run(string(cause), func(t *testing.T) {
			fixture := newRegistryFixture(1)
			machine := fixture.placeAndLaunchAll(t)
			gone := false
			fixture.onTaskWaiting = func(*taskstate.Task) { gone = true }
			commands := fixture.reportAll(t, "ended", cause)
			wiretest.CheckEncoding(t, commands, want.commands)
			task := fixture.job.Tasks[0]
			if done := task.State == taskstate.StateDone; gone != want.gone || done != want.done || (machine.ConsecutiveFailures > 0) != want.failed ||
				(machine.RefusesUntil > 0) != want.full || (task.Queue.NotBefore > 0) != want.delay {
				t.Errorf("cause %s: gone %v, done %v, failures %d, refuses until %v, not before %v, want %+v", cause, gone, done, machine.ConsecutiveFailures, machine.RefusesUntil, task.Queue.NotBefore, want)
			}
		})
	}
}

// TestWireUnrecorded pins the commands for tasks that are not in the records: they are halted
// while they run and forgotten once they have ended. An unrecorded attempt that is done
// completes its gang.
func TestWireUnrecorded(t *testing.T) {
	for phase, want := range map[TaskPhase]string{
		"ended":   `{"baton":1,"orders":[{"verb":"forget","piece":"wk-1/0","try":9}]}`,
		"running": `{"baton":1,"orders":[{"verb":"halt","piece":"wk-1/0","try":9,"windDownS":0}]}`,
		"novel":   `{"baton":1,"orders":[{"verb":"halt","piece":"wk-1/0","try":9,"windDownS":0}]}`,
	} {
		t.Run(string(phase), func(t *testing.T) {
			fixture := newRegistryFixture(1)
			fixture.worker.token = 1
			heartbeat := fixture.heartbeat()
			heartbeat.Tasks = []ReportedTask{{Name: "wk-1/0", Attempt: 9, Phase: phase, Cause: "halted"}}
			if status, body := fixture.registry.HandleHeartbeat(heartbeat); status != 200 || string(body) != want {
				t.Errorf("phase %s: answered %d %s, want 200 %s", phase, status, body, want)
			}
		})
	}
	for cause, done := range map[EndCause]bool{"done": true, "error": false} {
		t.Run(string(cause), func(t *testing.T) {
			fixture := newGangFixture(2)
			fixture.worker.token = 1
			heartbeat := fixture.heartbeat()
			heartbeat.Tasks = []ReportedTask{{Name: "wk-1/0", Attempt: 9, Phase: "ended", Cause: cause}}
			fixture.registry.HandleHeartbeat(heartbeat)
			if fixture.job.Gang.Done != done {
				t.Errorf("cause %s: gang done %v, want %v", cause, !done, done)
			}
		})
	}
}

// TestWireCancelledUnacknowledged pins the answer to a worker that has not seen the token yet:
// it halts cancelled tasks that run, but not those that have ended.
func TestWireCancelledUnacknowledged(t *testing.T) {
	for phase, want := range map[TaskPhase]string{
		"running": `{"baton":2,"orders":[{"verb":"halt","piece":"wk-1/0","try":1,"windDownS":0}]}`,
		"ended":   `{"baton":2,"orders":[]}`,
	} {
		t.Run(string(phase), func(t *testing.T) {
			fixture := newRegistryFixture(1)
			fixture.commitsFail = true // so that the tokens are 1 and 2
			fixture.placeAndLaunchAll(t)
			fixture.beginTerm()
			fixture.job.Cancelled, fixture.cancelledAt = true, fixture.now
			heartbeat := fixture.heartbeat()
			heartbeat.Tasks[0].Phase, heartbeat.Tasks[0].Cause = phase, "novel"
			if status, body := fixture.registry.HandleHeartbeat(heartbeat); status != 200 || string(body) != want {
				t.Errorf("phase %s: answered %d %s, want 200 %s", phase, status, body, want)
			}
		})
	}
}

// TestWireCancelledLongAgo pins the status for a worker that lists a task of a job cancelled
// longer ago than MaxKnowledgeAge: 503 while the task runs, 200 once it has ended.
func TestWireCancelledLongAgo(t *testing.T) {
	for phase, want := range map[TaskPhase]int{"running": 503, "ended": 200} {
		t.Run(string(phase), func(t *testing.T) {
			fixture := newRegistryFixture(1)
			fixture.worker.token = 1
			fixture.job.Cancelled, fixture.cancelledAt = true, 0
			heartbeat := fixture.heartbeat()
			heartbeat.Tasks = []ReportedTask{{Name: "wk-1/0", Attempt: 9, Phase: phase, Cause: "halted"}}
			if status, body := fixture.registry.HandleHeartbeat(heartbeat); status != want {
				t.Errorf("phase %s: answered %d %s, want status %d", phase, status, body, want)
			}
		})
	}
}
