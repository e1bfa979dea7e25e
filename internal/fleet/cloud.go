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

// Messages of the cloud's interface (PROTOCOL). Its own words for machine types, zones, spot
// machines and rentals appear here only.
type (
	// machineTypesReply is the cloud's list of machine types.
	machineTypesReply struct {
		MachineTypes []jobs.MachineType `json:"builds"`
	}

	// machineListPage is a page of the cloud's machine list.
	machineListPage struct {
		Machines []listedMachine `json:"hosts"`
		HasNext  bool            `json:"hasNext"`
	}

	// listedMachine is a machine as the list has it.
	listedMachine struct {
		ID          string  `json:"id"`
		Address     string  `json:"addr"`
		MachineType string  `json:"build"`
		Zone        string  `json:"yard"`
		Spot        bool    `json:"loaners"`
		Phase       string  `json:"phase"` // phaseBooting, phaseFailed or another
		AgeSeconds  float64 `json:"ageS"`
	}

	// rentalRequest asks for machines. Its name is used for this request alone: repeated,
	// the request rents nothing more.
	rentalRequest struct {
		Name        string `json:"hire"`
		MachineType string `json:"build"`
		Zone        string `json:"yard"`
		Spot        bool   `json:"loaners"`
		Number      int    `json:"number"`
	}

	// rentalReply names the machines rented, or says why there are none.
	rentalReply struct {
		MachineIDs []string `json:"hosts"`
		Error      string   `json:"error"`
	}

	// releaseRequest names machines to release.
	releaseRequest struct {
		MachineIDs []string `json:"hosts"`
	}
)

// Phases of a machine in the list; in all others it is running or about to go.
const (
	phaseBooting = "booting"
	phaseFailed  = "failed"
)

// noCapacity is the error of a rentalReply when no machine of the kind can be had.
const noCapacity = "no capacity"

// errNoCapacity says that the cloud has no machine of the kind.
var errNoCapacity = errors.New("no capacity")

// errNoMachineTypes says that the cloud's list of machine types is empty.
var errNoMachineTypes = errors.New("no machine types")

// statusError is an answer of the cloud with another status than 200.
type statusError struct {
	Status int
	Body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("cloud answered with status %d", e.Status) }

func (l *listedMachine) kind() MachineKind { return MachineKind{l.MachineType, l.Zone, l.Spot} }

func (r *rentalRequest) kind() MachineKind { return MachineKind{r.MachineType, r.Zone, r.Spot} }

// cloudClient calls the cloud, within a budget of calls a second that its users ask for.
// Reading the machine types is not part of the budget.
type cloudClient struct {
	runtime  eventloop.Runtime
	address  string
	settings *settings.Settings
	budget   tokenbucket.Bucket
}

// spendCall takes one call off the budget, if there is one.
func (c *cloudClient) spendCall() bool {
	rate := c.settings.Deployment.Cloud.RPS * tuning.CloudRequestShare
	c.budget.Refill(c.runtime.Now(), rate, max(1, rate*tuning.CloudRequestBurst.Seconds()))
	if c.budget.Tokens() < 1 {
		return false
	}
	c.budget.Spend(1)
	return true
}

// retryDelay is the pause after so many failed attempts of a call: it doubles up to a limit,
// with jitter.
func (c *cloudClient) retryDelay(attempt int, limit time.Duration) time.Duration {
	const maxDoublings = 4
	pause := min(time.Second<<min(attempt, maxDoublings), limit)
	return time.Duration(float64(pause) * (0.5 + c.runtime.Rand()))
}

// readMachineTypes reads the machine types with their prices, at least one.
func (c *cloudClient) readMachineTypes(done func([]jobs.MachineType, error)) {
	c.call(http.MethodGet, "/machine_types", nil, func(body []byte, err error) {
		var reply machineTypesReply
		if err == nil {
			err = json.Unmarshal(body, &reply)
		}
		if err == nil && len(reply.MachineTypes) == 0 {
			err = errNoMachineTypes
		}
		done(reply.MachineTypes, err)
	})
}

// readListPage reads the page of the machine list that begins after a machine, "" for the
// first.
func (c *cloudClient) readListPage(after string, done func(machineListPage, error)) {
	target := "/rentals?limit=" + strconv.Itoa(tuning.MachineListPageSize)
	if after != "" {
		target += "&since=" + url.QueryEscape(after)
	}
	c.call(http.MethodGet, target, nil, func(body []byte, err error) {
		var page machineListPage
		if err == nil {
			err = json.Unmarshal(body, &page)
		}
		done(page, err)
	})
}

// rent asks for machines. done gets the IDs of those rented, of which there may be fewer, or
// errNoCapacity, a *statusError, or an error without an answer: then the request may have
// been carried out.
func (c *cloudClient) rent(request rentalRequest, done func(machineIDs []string, err error)) {
	c.call(http.MethodPost, "/rentals", request, func(body []byte, err error) {
		var reply rentalReply
		var refused *statusError
		switch {
		case err == nil:
			// Of an answer that does not parse no machine is known; the list has them.
			_ = json.Unmarshal(body, &reply)
		case errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable:
			if _ = json.Unmarshal([]byte(refused.Body), &reply); reply.Error == noCapacity {
				err = errNoCapacity
			}
		}
		done(reply.MachineIDs, err)
	})
}

// release returns machines to the cloud. Without an error they are gone, with all on them.
func (c *cloudClient) release(machineIDs []string, done func(error)) {
	c.call(http.MethodPost, "/rentals/release", releaseRequest{machineIDs}, func(_ []byte, err error) { done(err) })
}

// call sends a request with a JSON message, if any, and gives the body of an answer with
// status 200, or a *statusError, or an error without an answer.
func (c *cloudClient) call(method, target string, message any, done func(body []byte, err error)) {
	request := http1.ClientRequest{Method: method, Target: target}
	if message != nil {
		body, err := json.Marshal(message)
		if err != nil {
			done(nil, err)
			return
		}
		request.Body = body
	}
	c.runtime.CallHTTP(c.address, request, tuning.CloudRequestTimeout, func(response http1.Response, err error) {
		if err == nil && response.Status != http.StatusOK {
			err = &statusError{response.Status, string(response.Body)}
		}
		done(response.Body, err)
	})
}
