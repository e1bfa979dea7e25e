package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tokenbucket"
	"lemonmoor/internal/tuning"
)

// Messages of the cloud's interface (PROTOCOL). The cloud's own terms for machine types, zones,
// spot machines and rentals appear only in these field tags.
type (
	// machineTypesReply is the cloud's list of machine types.
	machineTypesReply struct {
		MachineTypes []jobs.MachineType `json:"builds"`
	}

	// machineListPage is one page of the cloud's machine list.
	machineListPage struct {
		Machines []listedMachine `json:"hosts"`
		HasNext  bool            `json:"hasNext"`
	}

	// listedMachine is an entry of the machine list.
	listedMachine struct {
		ID          string  `json:"id"`
		Address     string  `json:"addr"`
		MachineType string  `json:"build"`
		Zone        string  `json:"yard"`
		Spot        bool    `json:"loaners"`
		Phase       string  `json:"phase"` // phaseBooting, phaseFailed or another
		AgeSeconds  float64 `json:"ageS"`
	}

	// rentalRequest requests the rental of machines. Name is an idempotency key, unique to
	// the request: repeating the request with the same name rents no further machines.
	rentalRequest struct {
		Name        string `json:"hire"`
		MachineType string `json:"build"`
		Zone        string `json:"yard"`
		Spot        bool   `json:"loaners"`
		Number      int    `json:"number"`
	}

	// rentalReply holds the IDs of the rented machines, or the reason for a refusal.
	rentalReply struct {
		MachineIDs []string `json:"hosts"`
		Error      string   `json:"error"`
	}

	// releaseRequest holds the IDs of the machines to release.
	releaseRequest struct {
		MachineIDs []string `json:"hosts"`
	}
)

// Phases of a listed machine. In every other phase it is running or about to be reclaimed.
const (
	phaseBooting = "booting"
	phaseFailed  = "failed"
)

// noCapacity is the error of a rentalReply when no machine of the kind is available.
const noCapacity = "no capacity"

// errNoCapacity reports that the cloud has no machine of the requested kind.
var errNoCapacity = errors.New("no capacity")

// errNoMachineTypes reports that the cloud's list of machine types is empty.
var errNoMachineTypes = errors.New("no machine types")

// statusError is an answer of the cloud with a status other than 200.
type statusError struct {
	Status int
	Body   string
}

// Error returns the status that the cloud has answered with.
func (e *statusError) Error() string {
	return fmt.Sprintf("cloud answered with status %d, want 200", e.Status)
}

func (l *listedMachine) kind() MachineKind { return MachineKind{l.MachineType, l.Zone, l.Spot} }

func (r *rentalRequest) kind() MachineKind { return MachineKind{r.MachineType, r.Zone, r.Spot} }

// cloudClient calls the cloud. Before each call, except those that read the machine types, its
// users take a token from the request budget with spendCall.
type cloudClient struct {
	runtime  eventloop.Runtime
	address  string
	settings *settings.Settings
	budget   tokenbucket.Bucket
}

// spendCall takes one call from the request budget and reports whether there was one.
func (c *cloudClient) spendCall() bool {
	rate := c.settings.Deployment.Cloud.RPS * tuning.CloudRequestShare
	c.budget.Refill(c.runtime.Now(), rate, max(1, rate*tuning.CloudRequestBurst.Seconds()))
	if c.budget.Tokens() < 1 {
		return false
	}
	c.budget.Spend(1)
	return true
}

// retryDelay returns the pause before a call is retried, where attempt is the number of earlier
// retries. It starts at one second and doubles with each retry, up to limit and to 16 seconds at
// most, with a jitter of half its length either way.
func (c *cloudClient) retryDelay(attempt int, limit time.Duration) time.Duration {
	const maxDoublings = 4
	pause := min(time.Second<<min(attempt, maxDoublings), limit)
	return time.Duration(float64(pause) * (0.5 + c.runtime.Rand()))
}

// readMachineTypes reads the machine types with their prices. An empty list is reported as
// errNoMachineTypes.
func (c *cloudClient) readMachineTypes(done func([]jobs.MachineType, error)) {
	c.call(http.MethodGet, "/machine_types", nil, func(body []byte, err error) {
		var reply machineTypesReply
		if err == nil {
			if err = json.Unmarshal(body, &reply); err != nil {
				err = fmt.Errorf("parse machine types: %w", err)
			}
		}
		if err == nil && len(reply.MachineTypes) == 0 {
			err = errNoMachineTypes
		}
		done(reply.MachineTypes, err)
	})
}

// readListPage reads the page of the machine list that begins after a machine ID, "" for the
// first page.
func (c *cloudClient) readListPage(afterID string, done func(machineListPage, error)) {
	target := "/rentals?limit=" + strconv.Itoa(tuning.MachineListPageSize)
	if afterID != "" {
		target += "&since=" + url.QueryEscape(afterID)
	}
	c.call(http.MethodGet, target, nil, func(body []byte, err error) {
		var page machineListPage
		if err == nil {
			if err = json.Unmarshal(body, &page); err != nil {
				err = fmt.Errorf("parse machine list after %q: %w", afterID, err)
			}
		}
		done(page, err)
	})
}

// rent requests machines. done receives the IDs of the rented machines, which may be fewer than
// requested, or an error: errNoCapacity, one that wraps a *statusError, or, if there was no
// answer, another one; in the last case the request may have been carried out.
func (c *cloudClient) rent(request rentalRequest, done func(machineIDs []string, err error)) {
	c.call(http.MethodPost, "/rentals", request, func(body []byte, err error) {
		var reply rentalReply
		var refused *statusError
		switch {
		case err == nil:
			// An answer that does not parse yields no IDs. The machines rented by it will
			// be found in the machine list.
			_ = json.Unmarshal(body, &reply)
		case errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable:
			if _ = json.Unmarshal([]byte(refused.Body), &reply); reply.Error == noCapacity {
				err = errNoCapacity
			}
		}
		done(reply.MachineIDs, err)
	})
}

// release returns machines to the cloud. If done receives no error, the machines and all tasks
// on them are gone.
func (c *cloudClient) release(machineIDs []string, done func(error)) {
	c.call(http.MethodPost, "/rentals/release", releaseRequest{machineIDs}, func(_ []byte, err error) { done(err) })
}

// call sends a request, with message as its JSON body unless it is nil. done receives the body
// of an answer with status 200, or an error; the error wraps a *statusError if there was an
// answer.
func (c *cloudClient) call(method, target string, message any, done func(body []byte, err error)) {
	request := http1.ClientRequest{Method: method, Target: target}
	if message != nil {
		body, err := json.Marshal(message)
		if err != nil {
			done(nil, fmt.Errorf("%s %s: %w", method, target, err))
			return
		}
		request.Body = body
	}
	c.runtime.CallHTTP(c.address, request, tuning.CloudRequestTimeout, func(response http1.Response, err error) {
		if err == nil && response.Status != http.StatusOK {
			err = &statusError{response.Status, string(response.Body)}
		}
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, target, err)
		}
		done(response.Body, err)
	})
}
