package agents

import (
	"encoding/json"

	"lemonmoor/internal/httpwire"
	"lemonmoor/internal/tuning"
)

// Greet tells a machine of the present token, directly: it need not come with
// its next report first, which may be ten seconds away, before it gets tasks
// again. The machine then reports at once.
func (t *Table) Greet(id, addr string) {
	if addr == "" || t.gone[id] {
		return
	}
	h := t.host(id)
	if h.Addr == "" {
		h.Addr = addr
	}
	if h.Token < t.office.Token() && !h.Deaf && !h.inLine {
		h.inLine = true
		t.greets = append(t.greets, h)
	}
}

// greet sends what Greet has put in line, a few at a time.
func (t *Table) greet() {
	for t.greeting < tuning.GreetAhead && len(t.greets) > 0 {
		h := t.greets[0]
		t.greets, h.inLine = t.greets[1:], false
		token := t.office.Token()
		if h.Token >= token || t.hosts[h.ID] != h || t.dark(h.Zone) {
			continue
		}
		// Of a machine that this process has not heard of, the session is a
		// guess; refused for another one, the message does no harm.
		body, err := json.Marshal(Orders{Token: token, Shift: max(h.Shift, 1), Orders: t.halts(h, []Order{})})
		if err != nil {
			return
		}
		t.greeting++
		begun := t.begun
		t.rt.Call(h.Addr, httpwire.Call{Method: "POST", Target: "/orders", Body: body}, tuning.GreetTimeout,
			func(ans httpwire.Answer, err error) {
				if t.begun != begun || t.office.Token() != token {
					return // a new term greets anew
				}
				t.greeting--
				if t.hosts[h.ID] == h && err == nil {
					t.greeted(h, ans.Body, token)
				}
			})
	}
}

// greeted takes the answer to a greeting: the worker's report. It proves that
// the machine hears, and what it lists; like any answer to an order it proves
// nothing gone.
func (t *Table) greeted(h *Host, body []byte, token uint64) {
	r, err := ParseReport(body)
	if err != nil || r.Host != h.ID || r.Token != token || r.Shift < h.Shift {
		return
	}
	if !h.Up {
		h.Up, h.Addr, h.Build, h.Zone, h.Spot = true, r.Addr, r.Build, r.Zone, r.Spot
		h.Type = t.Type(r.Build)
	}
	if h.Shift == 0 {
		h.Shift = r.Shift
	}
	h.Heard = t.rt.Now()
	if r.Shift == h.Shift && r.Tick > h.Tick {
		t.read(h, r, false)
	}
}
