package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/wiretest"
)

// addressed is a bench that keeps where calls go to.
type addressed struct {
	*bench
	sent []string
}

func (a *addressed) CallHTTP(addr string, c http1.ClientRequest, timeout time.Duration, fn func(http1.Response, error)) {
	a.sent = append(a.sent, addr+" "+c.Method+" "+c.Target+" "+string(c.Body))
	a.bench.CallHTTP(addr, c, timeout, fn)
}

// TestWireAnnouncement: how a machine is told directly who its owner is.
func TestWireAnnouncement(t *testing.T) {
	b := newBench(1)
	b.token = 9
	a := &addressed{bench: b}
	b.table.rt = a
	b.table.Announce("vm-7", "10.0.0.7:7")
	b.table.AfterBatch()
	if len(a.sent) != 1 || a.sent[0] != `10.0.0.7:7 POST /orders {"baton":9,"shift":1,"orders":[]}` {
		t.Errorf("sent %q", a.sent)
	}
}

// TestWireReport: what a worker says of its machine.
func TestWireReport(t *testing.T) {
	const report = `{"host":"vm-1","addr":"10.0.0.1:7","build":"g8","yard":"yard-a","loaners":true,"shift":3,"tick":4,"baton":5,"warningS":6.5,` +
		`"pieces":[{"piece":"wk-000001/2","try":7,"phase":"ended","cause":"done","stored":true},{"piece":"wk-000001/3","try":8,"phase":"running"}]}`
	wiretest.Same(t, report, &Heartbeat{})
	parsed, err := ParseHeartbeat([]byte(report))
	if err != nil {
		t.Fatal(err)
	}
	wiretest.Written(t, parsed, report)
	for _, text := range []string{`{"shift":3}`, `{"host":"vm-1"}`, `{"host":"vm-1","shift":0}`} {
		if _, err := ParseHeartbeat([]byte(text)); err == nil || err.Error() != `report: "host" or "shift" missing` {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// TestWireOrders: what a worker is answered and ordered.
func TestWireOrders(t *testing.T) {
	wiretest.Same(t, `{"baton":1,"shift":2,"orders":[{"verb":"halt","piece":"wk-000001/2","try":3,"windDownS":4.5},`+
		`{"verb":"launch","piece":"wk-000001/3","try":5},{"verb":"forget","piece":"wk-000001/4","try":6}]}`, &CommandMessage{})
	wiretest.Written(t, CommandMessage{Token: 1, Commands: []Command{}}, `{"baton":1,"orders":[]}`)
	wiretest.Written(t, halt("wk-000001/2", 3, 0), `{"verb":"halt","piece":"wk-000001/2","try":3,"windDownS":0}`)
	wiretest.Written(t, halt("wk-000001/2", 3, 4.5), `{"verb":"halt","piece":"wk-000001/2","try":3,"windDownS":4.5}`)
	wiretest.Written(t, forget(&ReportedTask{Name: "wk-000001/2", Attempt: 3}), `{"verb":"forget","piece":"wk-000001/2","try":3}`)
	if string(NotOwnerBody) != `{"error":"not the owner of this machine"}` {
		t.Errorf("%s", NotOwnerBody)
	}
}

// TestWireTaskNames: the form of tasks' names.
func TestWireTaskNames(t *testing.T) {
	job, index, ok := splitRef("wk-000412/7")
	if !ok || job != "wk-000412" || index != 7 {
		t.Error(job, index, ok)
	}
	for _, name := range []string{"wk-000412", "wk-000412/", "wk-000412/-1", "wk-000412/100000", "job-1/2", "wk-1/2/3"} {
		if _, _, ok := splitRef(name); ok {
			t.Errorf("%s is taken for a task", name)
		}
	}
}

// TestWireDirectLaunch: launches in a direct message, and in the answer to a report.
func TestWireDirectLaunch(t *testing.T) {
	b := newBench(1)
	a := &addressed{bench: b}
	b.table.rt = a
	b.table.HandleHeartbeat(b.report())
	b.worker.token = 1
	b.table.HandleHeartbeat(b.report())
	task := b.job.Tasks[0]
	b.table.PlaceTask(task, b.table.Worker("vm-1"))
	task.PlacementDurable = true
	b.table.PlacementDurable(task)
	b.table.AfterBatch()
	if want := `w:1 POST /orders {"baton":1,"shift":1,"orders":[{"verb":"launch","piece":"wk-1/0","try":1}]}`; len(a.sent) != 1 || a.sent[0] != want {
		t.Errorf("sent %q", a.sent)
	}

	b = newBench(1)
	b.table.HandleHeartbeat(b.report())
	b.worker.token = 1
	b.table.HandleHeartbeat(b.report())
	task = b.job.Tasks[0]
	b.table.PlaceTask(task, b.table.Worker("vm-1"))
	task.PlacementDurable = true
	b.table.PlacementDurable(task)
	if status, body := b.table.HandleHeartbeat(b.report()); status != 200 || string(body) != `{"baton":1,"orders":[{"verb":"launch","piece":"wk-1/0","try":1}]}` {
		t.Errorf("%d %s", status, body)
	}
}

// TestWireProbe: how a machine that does not hear is asked whether it hears again.
func TestWireProbe(t *testing.T) {
	b := newBench(1)
	a := &addressed{bench: b}
	b.table.rt = a
	b.table.HandleHeartbeat(b.report())
	b.now += time.Hour
	b.table.probe(b.table.Worker("vm-1"))
	if len(a.sent) != 1 || a.sent[0] != `w:1 POST /orders {"baton":1,"shift":1,"orders":[]}` {
		t.Errorf("sent %q", a.sent)
	}
}

// TestWirePhases: the words for the phases of tasks on their machines.
func TestWirePhases(t *testing.T) {
	for phase, want := range map[string]struct{ runs, hasImage bool }{
		"running": {true, true}, "saving": {false, true}, "waiting": {false, true}, "fetching": {false, false}, "novel": {false, false},
	} {
		b := newBench(1)
		b.phase = "fetching"
		b.placeAll(t)
		if orders := b.say(t, phase, ""); len(orders) > 0 {
			t.Errorf("%s: answered by %+v", phase, orders)
		}
		if task := b.job.Tasks[0]; task.Running != want.runs || task.HasImage != want.hasImage {
			t.Errorf("%s: running %v, image there %v", phase, task.Running, task.HasImage)
		}
	}
}

// TestWireGangPhases: which phases of a task show that its gang has started, and which
// that it waits for others.
func TestWireGangPhases(t *testing.T) {
	for phase, want := range map[string]struct{ started, waits bool }{
		"running": {started: true}, "saving": {started: true}, "waiting": {waits: true}, "fetching": {waits: true}, "novel": {},
	} {
		b := newGangBench(2)
		b.phase = "novel"
		b.placeAll(t)
		b.job.Gang.StartInDoubtSince = b.now // something is lost, before the next report
		b.say(t, phase, "")
		if started, waits := b.job.Gang.Started, b.job.Gang.StartInDoubtSince == 0 && !b.job.Gang.AttemptOver; started != want.started || waits != want.waits {
			t.Errorf("%s: started %v, waits %v", phase, started, waits)
		}
	}
	for cause, started := range map[string]bool{"mates_gone": true, "alone": false} {
		b := newGangBench(2)
		b.phase = "fetching"
		b.placeAll(t)
		b.now += time.Second
		r := b.report() // the other task has not noticed yet
		r.Tasks[0].Phase, r.Tasks[0].Cause = "ended", cause
		b.table.HandleHeartbeat(r)
		if b.job.Gang.Started != started {
			t.Errorf("%s: started %v", cause, !started)
		}
	}
}

// TestWireCauses: the words for the causes of tasks' ends, by what follows from each.
func TestWireCauses(t *testing.T) {
	const forgotten = `[{"verb":"forget","piece":"wk-1/0","try":1}]`
	for cause, want := range map[string]struct {
		orders                          string
		gone, done, failed, full, delay bool
	}{
		"done":       {orders: `[]`, done: true},
		"error":      {orders: forgotten, gone: true, failed: true},
		"full":       {orders: forgotten, gone: true, full: true, delay: true},
		"busy":       {orders: forgotten, gone: true, delay: true},
		"unknown":    {orders: forgotten, gone: true, delay: true},
		"halted":     {orders: forgotten, gone: true},
		"alone":      {orders: forgotten, gone: true},
		"mates_gone": {orders: forgotten, gone: true},
		"novel":      {orders: forgotten},
	} {
		b := newBench(1)
		machine := b.placeAll(t)
		gone := false
		b.gone = func(*taskstate.Task) { gone = true }
		orders := b.say(t, "ended", cause)
		wiretest.Written(t, orders, want.orders)
		task := b.job.Tasks[0]
		if done := task.State == taskstate.StateDone; gone != want.gone || done != want.done || (machine.ConsecutiveFailures > 0) != want.failed ||
			(machine.RefusesUntil > 0) != want.full || (task.NotBefore > 0) != want.delay {
			t.Errorf("%s: gone %v, done %v, failed %d, refused %v, not before %v", cause, gone, done, machine.ConsecutiveFailures, machine.RefusesUntil, task.NotBefore)
		}
	}
}

// TestWireUnrecorded: tasks that are not in the records are halted while they run and
// forgotten when they have ended; of a gang, one that is done makes all done.
func TestWireUnrecorded(t *testing.T) {
	for phase, want := range map[string]string{
		"ended":   `{"baton":1,"orders":[{"verb":"forget","piece":"wk-1/0","try":9}]}`,
		"running": `{"baton":1,"orders":[{"verb":"halt","piece":"wk-1/0","try":9,"windDownS":0}]}`,
		"novel":   `{"baton":1,"orders":[{"verb":"halt","piece":"wk-1/0","try":9,"windDownS":0}]}`,
	} {
		b := newBench(1)
		b.worker.token = 1
		r := b.report()
		r.Tasks = []ReportedTask{{Name: "wk-1/0", Attempt: 9, Phase: phase, Cause: "halted"}}
		if status, body := b.table.HandleHeartbeat(r); status != 200 || string(body) != want {
			t.Errorf("%s: %d %s", phase, status, body)
		}
	}
	for cause, done := range map[string]bool{"done": true, "error": false} {
		b := newGangBench(2)
		b.worker.token = 1
		r := b.report()
		r.Tasks = []ReportedTask{{Name: "wk-1/0", Attempt: 9, Phase: "ended", Cause: cause}}
		b.table.HandleHeartbeat(r)
		if b.job.Gang.Done != done {
			t.Errorf("%s: done %v", cause, !done)
		}
	}
}

// TestWireCancelledUnacknowledged: a worker that has not seen the token yet is told to
// halt what is cancelled, but not what has ended.
func TestWireCancelledUnacknowledged(t *testing.T) {
	for phase, want := range map[string]string{
		"running": `{"baton":2,"orders":[{"verb":"halt","piece":"wk-1/0","try":1,"windDownS":0}]}`,
		"ended":   `{"baton":2,"orders":[]}`,
	} {
		b := newBench(1)
		b.placeAll(t)
		b.term()
		b.job.Cancelled, b.off = true, b.now
		r := b.report()
		r.Tasks[0].Phase, r.Tasks[0].Cause = phase, "novel"
		if status, body := b.table.HandleHeartbeat(r); status != 200 || string(body) != want {
			t.Errorf("%s: %d %s", phase, status, body)
		}
	}
}

// TestWireCancelledLongAgo: a machine that runs a task of a job cancelled long ago is not
// answered; one where it has ended is.
func TestWireCancelledLongAgo(t *testing.T) {
	for phase, want := range map[string]int{"running": 503, "ended": 200} {
		b := newBench(1)
		b.worker.token = 1
		b.job.Cancelled, b.off = true, 0
		r := b.report()
		r.Tasks = []ReportedTask{{Name: "wk-1/0", Attempt: 9, Phase: phase, Cause: "halted"}}
		if status, body := b.table.HandleHeartbeat(r); status != want {
			t.Errorf("%s: %d %s", phase, status, body)
		}
	}
}
