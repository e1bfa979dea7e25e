package workers

import (
	"testing"
	"time"

	"lemonmoor/internal/http1"
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
