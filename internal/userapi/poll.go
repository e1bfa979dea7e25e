package userapi

import (
	"encoding/json"

	"lemonmoor/internal/http1"
)

// polls answers users' requests for the status of their jobs.
type polls struct {
	catalog  *Catalog
	progress TaskProgress
}

// poll responds with the job's status once the catalog is verified, so that the answer is never
// older than one that another node has given before.
func (p *polls) poll(id string, respond http1.ResponseWriter) {
	p.catalog.Verify(func(err error) {
		if err != nil {
			respondUnavailable(respond, reasonStateNotReached)
			return
		}
		entry := p.catalog.Get(id)
		if entry == nil {
			// The job does not exist: the catalog contains every job record and has just been
			// verified.
			respondError(respond, 404, "no such job")
			return
		}
		p.respondStatus(respond, entry)
	})
}

// respondStatus responds with the job's status. The caller has verified the entry.
func (p *polls) respondStatus(respond http1.ResponseWriter, entry *Entry) {
	body, err := json.Marshal(p.status(entry))
	if err != nil {
		respondError(respond, 500, "answer does not encode")
		return
	}
	respond(200, body, 0)
}

// status returns the job's status for its user. Of a job without a final phase, the phase is
// running if any task runs, else pending.
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
