package workers

import (
	"encoding/json"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// Announce tells a machine of the present token, directly: it need not come with
// its next report first, which may be ten seconds away, before it gets tasks
// again. The machine then reports at once.
func (t *Registry) Announce(id, addr string) {
	if addr == "" || t.gone[id] {
		return
	}
	h := t.host(id)
	if h.Addr == "" {
		h.Addr = addr
	}
	if h.Token < t.lease.Token() && !h.Deaf && !h.commands.announcePends {
		h.commands.announcePends = true
		t.greets = append(t.greets, h)
	}
}

// announceNext sends the announcements that wait, a few at a time.
func (t *Registry) announceNext() {
	for t.greeting < tuning.MaxConcurrentAnnouncements && len(t.greets) > 0 {
		h := t.greets[0]
		t.greets, h.commands.announcePends = t.greets[1:], false
		token := t.lease.Token()
		if h.Token >= token || t.hosts[h.ID] != h || t.cutOff(h.Zone) {
			continue
		}
		// Of a machine that this process has not heard of, the session is a
		// guess; refused for another one, the message does no harm.
		body, err := json.Marshal(CommandMessage{Token: token, Session: max(h.Session, 1), Commands: t.halts(h, []Command{})})
		if err != nil {
			return
		}
		t.greeting++
		begun := t.begun
		t.rt.CallHTTP(h.Addr, http1.ClientRequest{Method: "POST", Target: "/orders", Body: body}, tuning.AnnounceTimeout,
			func(ans http1.Response, err error) {
				if t.begun != begun || t.lease.Token() != token {
					return // a new term greets anew
				}
				t.greeting--
				if t.hosts[h.ID] == h && err == nil {
					t.announced(h, ans.Body, token)
				}
			})
	}
}

// announced takes the answer to an announcement: the worker's report. It proves that
// the machine hears, and what it lists; like any answer to an order it proves
// nothing gone.
func (t *Registry) announced(h *Worker, body []byte, token uint64) {
	r, err := ParseHeartbeat(body)
	if err != nil || r.WorkerID != h.ID || r.Token != token || r.Session < h.Session {
		return
	}
	if !h.HasReported {
		h.HasReported, h.Addr, h.MachineTypeName, h.Zone, h.Spot = true, r.Addr, r.MachineType, r.Zone, r.Spot
		h.MachineType = t.scheduler.MachineType(r.MachineType)
	}
	if h.Session == 0 {
		h.Session = r.Session
	}
	h.LastHeartbeatAt = t.rt.Now()
	if r.Session == h.Session && r.Sequence > h.Sequence {
		t.read(h, r, false)
	}
}
