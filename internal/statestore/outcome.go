package statestore

import "strconv"

// Outcome is what is known about the effect of a request to the state service.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeOK means that the request was carried out.
	OutcomeOK Outcome = iota
	// OutcomeConflict means that a condition did not hold and nothing was changed.
	OutcomeConflict
	// OutcomeRefused means that the request was not carried out and may be retried after a
	// pause.
	OutcomeRefused
	// OutcomeUnknown means that no valid answer arrived: the request may have been carried
	// out or may still be.
	OutcomeUnknown
	// OutcomeGone means that the lease or the watched history no longer exists.
	OutcomeGone
	// OutcomeInvalid means that the service rejected the request as malformed, as too large
	// or as made under a lease that has ended. It was not carried out.
	OutcomeInvalid
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeOK:
		return "ok"
	case OutcomeConflict:
		return "conflict"
	case OutcomeRefused:
		return "refused"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeGone:
		return "gone"
	case OutcomeInvalid:
		return "invalid"
	}
	return "outcome " + strconv.Itoa(int(o))
}

// outcomeOfStatus returns the outcome for the HTTP status of an answer. A status that the
// protocol does not define proves nothing, so the outcome is OutcomeUnknown.
func outcomeOfStatus(status int) Outcome {
	switch status {
	case 200, 201, 204:
		return OutcomeOK
	case 409:
		return OutcomeConflict
	case 429, 503:
		return OutcomeRefused
	case 404, 410:
		return OutcomeGone
	case 400:
		return OutcomeInvalid
	default:
		return OutcomeUnknown
	}
}
