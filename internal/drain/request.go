package drain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// RequestPath is the HTTP path at which controllers accept operators' requests on drains.
const RequestPath = "/operator/drain"

// Verb is the action that an operator requests.
type Verb string

// The verbs. VerbPlan and VerbStatus change nothing.
const (
	VerbPlan   Verb = "plan"
	VerbStart  Verb = "start"
	VerbStatus Verb = "status"
	VerbPause  Verb = "pause"
	VerbResume Verb = "resume"
	VerbCancel Verb = "cancel"
)

// Request is an operator's request on drains.
type Request struct {
	Verb      Verb      `json:"verb"`
	ID        string    `json:"id,omitempty"`
	Selection Selection `json:"selection"`
	Replace   bool      `json:"replace,omitempty"`
	// Forwarded is set if another controller forwarded the request in the belief that this one
	// leads.
	Forwarded bool `json:"forwarded,omitempty"`
}

// Digest returns a hash of what the request asks for: two requests to start a drain have the
// same digest if, and only if, they select the same machines in the same terms and agree
// on Replace.
func (r *Request) Digest() string {
	// Digests are stored and compared across versions, so these field names must not change.
	content := struct {
		Selection Selection `json:"Selection"`
		Replace   bool      `json:"Replace"`
	}{r.Selection.normalized(), r.Replace}
	raw, err := json.Marshal(content)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// RequestError is the reason for refusing a request permanently: a retry would be refused too.
type RequestError struct {
	Field  string // field of the request, or part of the cluster, that causes the refusal, as operators read it
	Reason string
}

// The fields that a RequestError names.
const (
	fieldVerb      = "verb"
	fieldID        = "id"
	fieldSelection = "selection"
	fieldMachine   = "machine"
	fieldKind      = "kind"
	fieldPrefix    = "prefix"
	fieldBudget    = "budget"
)

// Error returns the field and the reason in one line.
func (e *RequestError) Error() string { return e.Field + ": " + e.Reason }

// ResponseStatus is the outcome of a request.
type ResponseStatus string

// The outcomes of a request.
const (
	StatusOK          ResponseStatus = "ok"
	StatusRefused     ResponseStatus = "refused"     // permanently
	StatusUnavailable ResponseStatus = "unavailable" // may be retried
)

// Response answers a request.
type Response struct {
	Status ResponseStatus `json:"status"`
	Node   string         `json:"node"` // the controller that answers
	Field  string         `json:"field,omitempty"`
	Reason string         `json:"reason,omitempty"`
	// RetryMS is the delay before a retry in milliseconds, set with StatusUnavailable.
	RetryMS int64                `json:"retryMs,omitempty"`
	Drains  []View               `json:"drains,omitempty"`
	Teams   map[string]TeamState `json:"teams,omitempty"`
	Plan    *Plan                `json:"plan,omitempty"`
}

// View is a drain as operators see it.
type View struct {
	ID       string         `json:"id"`
	Phase    Phase          `json:"phase"`
	Replace  bool           `json:"replace"`
	Machines int            `json:"machines"`
	States   map[string]int `json:"states"`
	// DisturbedTasks is the number of tasks that the drain disturbs now.
	DisturbedTasks int `json:"disturbed"`
	// WaitReasons lists what the drain waits for, one line for each reason.
	WaitReasons []string `json:"waits,omitempty"`
}

// TeamState is a team's budget and its usage.
type TeamState struct {
	TeamUsage
	// Budget is a text, since JSON has no infinite numbers for limits that are not set.
	Budget string `json:"budget"`
}

// Plan is the work that a drain would disturb.
type Plan struct {
	Machines int                 `json:"machines"`
	Teams    map[string]TeamPlan `json:"teams"`
	Jobs     int                 `json:"jobs"`
}

// TeamPlan is the part of a plan that concerns one team.
type TeamPlan struct {
	Amount
	// Rounds is the least number of times that the team's budget has to be used up.
	Rounds int    `json:"rounds"`
	Budget string `json:"budget"`
}

// Validate checks a request without regard to the cluster. It returns nil if the request is
// valid.
func (r *Request) Validate() *RequestError {
	if r.Verb == VerbPlan || r.Verb == VerbStart {
		if _, refusal := newMatcher(r.Selection); refusal != nil {
			return refusal
		}
	}
	switch r.Verb {
	case VerbPlan:
		return nil
	case VerbStatus:
		if r.ID == "" {
			return nil
		}
	case VerbStart, VerbPause, VerbResume, VerbCancel:
	default:
		return &RequestError{fieldVerb, fmt.Sprintf("%q is not one of plan, start, status, pause, resume and cancel", r.Verb)}
	}
	if !ValidID(r.ID) {
		return &RequestError{fieldID, fmt.Sprintf("%q is not 1 to 40 characters of a-z, 0-9 and -, of which the first is a letter or digit", r.ID)}
	}
	return nil
}
