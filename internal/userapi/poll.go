package userapi

import (
	"encoding/json"

	"lemonmoor/internal/http1"
)

// polls tells users how their jobs stand.
type polls struct {
	catalog  *Catalog
	progress TaskProgress
}

// poll answers with a job's status once the catalog is verified. It never goes back behind
// what another node has answered before.
func (p *polls) poll(id string, respond http1.ResponseWriter) {
	p.catalog.Verify(func(err error) {
		if err != nil {
			respondUnavailable(respond, reasonStateNotReached)
			return
		}
		entry := p.catalog.Get(id)
		if entry == nil {
			// The catalog holds every job record and has just been verified.
			respondError(respond, 404, "no such job")
			return
		}
		p.respondStatus(respond, entry)
	})
}

// respondStatus answers with the status of a job, which the caller has verified.
func (p *polls) respondStatus(respond http1.ResponseWriter, entry *Entry) {
	body, err := json.Marshal(p.status(entry))
	if err != nil {
		respondError(respond, 500, "answer does not encode")
		return
	}
	respond(200, body, 0)
}

func (p *polls) status(entry *Entry) jobStatus {
	status := jobStatus{ID: entry.ID, Phase: entry.Phase}
	if entry.Phase == PhaseDone {
		status.Done = entry.TaskCount
	}
	if entry.Phase == PhaseDone || entry.Phase == PhaseCancelled {
		return status
	}
	status.Done, status.Running = p.progress.Progress(entry.ID)
	if entry.Spec != nil && entry.Spec.IsGang() {
		status.Running = p.progress.RunningGangTasks(entry.ID)
	}
	status.Phase = phasePending
	if status.Running > 0 {
		status.Phase = phaseRunning
	}
	return status
}
