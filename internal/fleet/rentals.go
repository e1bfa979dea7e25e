package fleet

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"lemonmoor/internal/term"
	"lemonmoor/internal/tuning"
)

// rentals holds the rental requests of a term.
type rentals struct {
	counter  uint64                   // of the names of requests
	inFlight map[string]rentalRequest // by name; the answer is not known yet
	byName   map[string][]string      // IDs of the machines rented, by the request's name
	// pausedUntil is when kinds may be asked for again of which none could be had.
	pausedUntil map[MachineKind]time.Duration
}

func newRentals() rentals {
	return rentals{
		inFlight: map[string]rentalRequest{}, byName: map[string][]string{},
		pausedUntil: map[MachineKind]time.Duration{},
	}
}

func (r *rentals) reset() {
	r.counter = 0
	clear(r.inFlight)
	clear(r.byName)
	clear(r.pausedUntil)
}

// rent asks for machines of a kind, under a name that no other request has.
func (f *Fleet) rent(kind MachineKind, number int) {
	f.rentals.counter++
	name := fmt.Sprintf("r-%d-%d", f.leases.LeaderToken(), f.rentals.counter)
	f.sendRental(rentalRequest{name, kind.MachineType, kind.Zone, kind.Spot, number}, 0)
}

// RentNamed rents one machine under a name that the caller has made durable, so that a later
// leader that asks again gets the same one. Until the answer is known, known is false; the
// caller asks again then.
func (f *Fleet) RentNamed(name string, kind MachineKind) (machineID string, known bool) {
	if ids := f.rentals.byName[name]; len(ids) > 0 {
		return ids[0], true
	}
	if _, inFlight := f.rentals.inFlight[name]; inFlight {
		return "", false
	}
	if f.runtime.Now() < f.rentals.pausedUntil[kind] || f.isPartitioned(kind.Zone) || !f.cloud.spendCall() {
		return "", false
	}
	f.sendRental(rentalRequest{name, kind.MachineType, kind.Zone, kind.Spot, 1}, 0)
	return "", false
}

// sendRental sends a rental request until its answer is known. Machines that it brings in a
// later term turn up in status messages and in the list.
func (f *Fleet) sendRental(request rentalRequest, attempt int) {
	f.rentals.inFlight[request.Name] = request
	f.cloud.rent(request, term.GuardResult(&f.term.counter, func(machineIDs []string, err error) {
		delete(f.rentals.inFlight, request.Name)
		var refused *statusError
		switch {
		case err == nil:
			f.recordRented(request, machineIDs)
		case errors.Is(err, errNoCapacity):
			f.pauseKind(request.kind(), tuning.NoCapacityPause)
			f.log.Debug("no capacity for rental", "machine_type", request.MachineType, "zone", request.Zone, "spot", request.Spot)
		case errors.As(err, &refused) && refused.Status == http.StatusBadRequest:
			f.pauseKind(request.kind(), tuning.MalformedRentalPause)
			f.log.Warn("rental request refused as malformed", "machine_type", request.MachineType, "zone", request.Zone,
				"spot", request.Spot, "body", refused.Body)
		default:
			f.rentals.inFlight[request.Name] = request
			f.runtime.After(f.cloud.retryDelay(attempt, tuning.MaxRentalRetryDelay), f.term.counter.Guard(func() {
				f.sendRental(request, attempt+1)
			}))
		}
	}))
}

// takeRented takes the machines in that a request has brought, of which there may be fewer
// than it asked for.
func (f *Fleet) recordRented(request rentalRequest, machineIDs []string) {
	f.rentals.byName[request.Name] = machineIDs
	for _, id := range machineIDs {
		if f.machines.byID[id] == nil {
			f.machines.byID[id] = newMachine(id, f.shardIndex(id), request.kind(), f.runtime.Now())
		}
	}
	if len(machineIDs) < request.Number {
		f.pauseKind(request.kind(), tuning.NoCapacityPause)
	}
	f.log.Info("machines rented", "machine_type", request.MachineType, "zone", request.Zone, "spot", request.Spot,
		"requested", request.Number, "count", len(machineIDs))
}

// pauseKind has no machines of a kind asked for during a pause.
func (f *Fleet) pauseKind(kind MachineKind, pause time.Duration) {
	f.rentals.pausedUntil[kind] = f.runtime.Now() + pause
}
