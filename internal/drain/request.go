package drain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// RequestPath is where controllers take operators' requests on drains.
const RequestPath = "/operator/drain"

// Verb is what an operator asks for.
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

// Request is an operator's request.
type Request struct {
	Verb      Verb      `json:"verb"`
	ID        string    `json:"id,omitempty"`
	Selection Selection `json:"selection"`
	Replace   bool      `json:"replace,omitempty"`
	// Forwarded says that another controller has sent it on, which took this one to lead.
	Forwarded bool `json:"forwarded,omitempty"`
}

// Digest returns a text that is the same for two requests of a drain if, and only if, they
// ask for the same.
func (r *Request) Digest() string {
	// Digests are stored and compared across versions: the names of these fields must stay.
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

// RequestError is why a request is refused for good: sent again, it would be refused again.
type RequestError struct {
	Field  string // of the request, or what of the cluster forbids it, as operators read it
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

// Error names the field and the reason in one line.
func (e *RequestError) Error() string { return e.Field + ": " + e.Reason }

// ResponseStatus is how a request ended.
type ResponseStatus string

// The ways in which a request ends.
const (
	StatusOK          ResponseStatus = "ok"
	StatusRefused     ResponseStatus = "refused"     // for good
	StatusUnavailable ResponseStatus = "unavailable" // may be sent again
)

// Response answers a request.
type Response struct {
	Status ResponseStatus `json:"status"`
	Node   string         `json:"node"` // the controller that answers
	Field  string         `json:"field,omitempty"`
	Reason string         `json:"reason,omitempty"`
	// RetryMS is the milliseconds after which to ask again, with StatusUnavailable.
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
	// DisturbedTasks are the tasks that are disturbed now.
	DisturbedTasks int `json:"disturbed"`
	// WaitReasons is what it waits for, one line for each reason.
	WaitReasons []string `json:"waits,omitempty"`
}

// TeamState is a team's budget and how it stands.
type TeamState struct {
	TeamUsage
	// Budget as text, since limits may be infinite.
	Budget string `json:"budget"`
}

// Plan is what a drain would disturb.
type Plan struct {
	Machines int                 `json:"machines"`
	Teams    map[string]TeamPlan `json:"teams"`
	Jobs     int                 `json:"jobs"`
}

// TeamPlan is the part of a plan that concerns one team.
type TeamPlan struct {
	Amount
	// Rounds is the least number of times that the budget has to be used up.
	Rounds int    `json:"rounds"`
	Budget string `json:"budget"`
}

// Validate finds what is wrong with a request by itself, without regard to the cluster;
// nil if nothing is.
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
		return &RequestError{fieldVerb, fmt.Sprintf("%q is not known", r.Verb)}
	}
	if !ValidID(r.ID) {
		return &RequestError{fieldID, fmt.Sprintf("%q is not 1 to 40 of a-z, 0-9 and -, the first a letter or digit", r.ID)}
	}
	return nil
}
