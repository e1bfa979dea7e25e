package agents

import (
	"encoding/json"

	"lemonmoor/internal/httpwire"
	"lemonmoor/internal/tuning"
)

// listen decides whether a machine that reports hears us too. To have been heard
// is no proof of that: seen as alive, it swallowed task after task.
func (t *Registry) listen(h *Worker) {
	if h.Deaf || (h.Unheard < tuning.DeafReports && h.Lost < tuning.DeafLaunches) {
		return
	}
	h.Deaf, h.deaf, h.probed = true, t.rt.Now(), t.rt.Now()
	t.log.Info("machine reports but does not hear", "host", h.ID, "unheard", h.Unheard, "lost", h.Lost)
}

// probe asks a deaf machine directly. No order is in the message and it renews
// no lease; its answer is the proof that the machine hears again.
func (t *Registry) probe(h *Worker) {
	now := t.rt.Now()
	if now-h.probed < tuning.ProbeEvery {
		return
	}
	h.probed = now
	token := t.lease.Token()
	body, err := json.Marshal(Orders{Token: token, Session: h.Session, Orders: t.halts(h, []Order{})})
	if err != nil {
		return
	}
	t.rt.Call(h.Addr, httpwire.Call{Method: "POST", Target: "/orders", Body: body}, tuning.OrderTimeout,
		func(ans httpwire.Answer, err error) {
			if err != nil || t.lease.Token() != token || t.hosts[h.ID] != h || !h.Deaf {
				return
			}
			r, err := ParseReport(ans.Body)
			if err != nil || r.Host != h.ID || r.Token < token {
				return
			}
			t.log.Info("machine hears again", "host", h.ID)
			h.markHearing()
			if h.Draining == deafDrain {
				h.Draining = ""
			}
		})
}

func (h *Worker) markHearing() { h.Deaf, h.Unheard, h.Lost = false, 0, 0 }

// Deaf tells how many of the machines that report do not hear, and how many
// report.
func (t *Registry) Deaf() (deaf, up int) {
	for _, h := range t.list {
		if h.Up && !h.Silent {
			up++
			if h.Deaf {
				deaf++
			}
		}
	}
	return deaf, up
}
