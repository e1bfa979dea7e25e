package userapi

import (
	"encoding/json"
	"strings"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// TaskProgress counts the tasks of jobs, for display.
type TaskProgress interface {
	// Progress returns how many tasks of a job are done and how many are on machines.
	Progress(jobID string) (done, placed int)
	// RunningGangTasks returns how many tasks of a job have started. Tasks of a gang may be on
	// machines and wait for each other.
	RunningGangTasks(jobID string) int
}

// MachineTypes lists the machine types of the deployment.
type MachineTypes interface {
	// MachineTypes returns the machine types, nil while they are not known.
	MachineTypes() []jobs.MachineType
}

// Config is what the user API works with.
type Config struct {
	Runtime  eventloop.Runtime
	Client   *statestore.Client
	Catalog  *Catalog
	Settings *settings.Settings
	Progress TaskProgress
	Machines MachineTypes
}

// API answers users. Every request is answered exactly once.
type API struct {
	submissions   *submissions
	polls         *polls
	cancellations *cancellations
}

// NewAPI returns the user API.
func NewAPI(config Config) *API {
	polls := &polls{config.Catalog, config.Progress}
	return &API{
		submissions:   newSubmissions(config, polls),
		polls:         polls,
		cancellations: &cancellations{config.Runtime, config.Client, config.Catalog, polls},
	}
}

// Submit serves POST /work.
func (a *API) Submit(body []byte, respond http1.ResponseWriter) { a.submissions.submit(body, respond) }

// Poll serves GET /work/{id}.
func (a *API) Poll(id string, respond http1.ResponseWriter) { a.polls.poll(id, respond) }

// Cancel serves POST /work/{id}/cancel.
func (a *API) Cancel(id string, respond http1.ResponseWriter) { a.cancellations.cancel(id, respond, 0) }

// Route serves a user's request; it reports false, and does not answer, for paths that are
// not the users'.
func (a *API) Route(request *http1.Request, respond http1.ResponseWriter) bool {
	if request.Path == "/work" {
		if request.Method != "POST" {
			respondError(respond, 405, "method not allowed")
			return true
		}
		a.Submit(request.Body, respond)
		return true
	}
	rest, isJobPath := strings.CutPrefix(request.Path, "/work/")
	if !isJobPath {
		return false
	}
	id, verb, hasVerb := strings.Cut(rest, "/")
	isPoll := !hasVerb && request.Method == "GET"
	isCancel := hasVerb && verb == "cancel" && request.Method == "POST"
	switch {
	case (isPoll || isCancel) && !jobs.ValidID(id):
		respondError(respond, 404, "no such job")
	case isPoll:
		a.Poll(id, respond)
	case isCancel:
		a.Cancel(id, respond)
	case !hasVerb || verb == "cancel":
		respondError(respond, 405, "method not allowed")
	default:
		respondError(respond, 404, "no such path")
	}
	return true
}

// respondError answers with a status that is final for this request.
func respondError(respond http1.ResponseWriter, status int, reason string) {
	respond(status, http1.ErrorBody(reason), 0)
}

// respondUnavailable answers that the request cannot be served now and may be repeated.
func respondUnavailable(respond http1.ResponseWriter, reason string) {
	respond(503, http1.ErrorBody(reason), tuning.RetryAfterSeconds)
}

// The reasons why a request cannot be served now.
const (
	reasonStateNotReached = "state service not reached"
	reasonStateNoAnswer   = "state service did not answer"
	reasonJobsNotRead     = "starting: jobs not read yet"
	reasonTypesNotKnown   = "starting: machine types not known yet"
	reasonRecordRefused   = "state service refused the record"
)

// jobStatus is a job as its user sees it.
type jobStatus struct {
	ID      string `json:"id"`
	Phase   Phase  `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// acceptedJob is the answer to a submission that has been stored.
type acceptedJob struct {
	ID    string `json:"id"`
	Phase Phase  `json:"phase"`
}

// encodeAccepted returns the body of the answer to a submission that has been stored.
func encodeAccepted(id string) []byte {
	body, err := json.Marshal(acceptedJob{id, phasePending})
	if err != nil {
		return []byte("{}")
	}
	return body
}
