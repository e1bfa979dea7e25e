package workers

import (
	"encoding/json"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/tuning"
)

// listen decides whether a machine that reports hears us too. To have been heard
// is no proof of that: seen as alive, it swallowed task after task.
func (t *Registry) listen(h *Worker) {
	if h.Deaf || (h.UnacknowledgedHeartbeats < tuning.DeafHeartbeats && h.LostLaunches < tuning.DeafLaunches) {
		return
	}
	h.Deaf, h.deafSince, h.probedAt = true, t.rt.Now(), t.rt.Now()
	t.log.Info("machine reports but does not hear", "host", h.ID, "unheard", h.UnacknowledgedHeartbeats, "lost", h.LostLaunches)
}

// probe asks a deaf machine directly. No order is in the message and it renews
// no lease; its answer is the proof that the machine hears again.
func (t *Registry) probe(h *Worker) {
	now := t.rt.Now()
	if now-h.probedAt < tuning.DeafProbeInterval {
		return
	}
	h.probedAt = now
	token := t.lease.Token()
	body, err := json.Marshal(CommandMessage{Token: token, Session: h.Session, Commands: t.halts(h, []Command{})})
	if err != nil {
		return
	}
	t.rt.CallHTTP(h.Addr, http1.ClientRequest{Method: "POST", Target: "/orders", Body: body}, tuning.CommandTimeout,
		func(ans http1.Response, err error) {
			if err != nil || t.lease.Token() != token || t.hosts[h.ID] != h || !h.Deaf {
				return
			}
			r, err := ParseHeartbeat(ans.Body)
			if err != nil || r.WorkerID != h.ID || r.Token < token {
				return
			}
			t.log.Info("machine hears again", "host", h.ID)
			h.markHearing()
			if h.DrainReason == deafDrain {
				h.DrainReason = ""
			}
		})
}

func (h *Worker) markHearing() { h.Deaf, h.UnacknowledgedHeartbeats, h.LostLaunches = false, 0, 0 }

// CountDeaf tells how many of the machines that report do not hear, and how many
// report.
func (t *Registry) CountDeaf() (deaf, up int) {
	for _, h := range t.list {
		if h.HasReported && !h.LeaseExpired {
			up++
			if h.Deaf {
				deaf++
			}
		}
	}
	return deaf, up
}
