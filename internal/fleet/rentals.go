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
	counter  uint64                   // number of the last generated request name
	inFlight map[string]rentalRequest // requests without an answer, by name
	byName   map[string][]string      // IDs of the rented machines, by request name
	// pausedUntil is the time until which a kind is not requested, after a request for it was
	// refused or filled only in part.
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

// rent requests a number of machines of a kind, under a new, unique name.
func (f *Fleet) rent(kind MachineKind, number int) {
	f.rentals.counter++
	name := fmt.Sprintf("r-%d-%d", f.leases.LeaderToken(), f.rentals.counter)
	f.sendRental(rentalRequest{name, kind.MachineType, kind.Zone, kind.Spot, number}, 0)
}

// RentNamed rents one machine under a name that the caller has made durable, so that a later
// leader that repeats the request gets the same machine. It returns known = false until the
// machine is known; the caller then has to call it again.
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

// sendRental sends a rental request and repeats it until its answer is known or the term ends.
// Machines of a request that is answered after the term are found in the machine list and in
// status messages.
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

// recordRented adds the machines that a request has rented. If they are fewer than requested,
// further requests for the kind are paused.
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

// pauseKind stops requests for a kind of machine for the given time.
func (f *Fleet) pauseKind(kind MachineKind, pause time.Duration) {
	f.rentals.pausedUntil[kind] = f.runtime.Now() + pause
}
