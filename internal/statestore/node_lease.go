package statestore

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// nodeLease is this node's one lease at the state service. All lease keys that the process
// holds are attached to it, so that renewing it renews them all and none is put anew.
type nodeLease struct {
	runtime eventloop.Runtime
	client  *Client
	log     *slog.Logger
	// changed is called when a lease has been granted or has expired.
	changed func()

	process    leaseHolder   // this process, as holder of lease keys
	id         uint64        // 0: none
	validUntil time.Duration // end of the time for which the lease is surely valid
}

// isValid tells whether the keys attached to the lease are surely held now.
func (l *nodeLease) isValid() bool { return l.id != 0 && l.runtime.Now() < l.validUntil }

// attach returns the operation that puts a lease key, held by this process.
func (l *nodeLease) attach(key string) Operation {
	return Operation{PutKey: key, Value: l.process.encode(), LeaseID: l.id}
}

// keepAlive renews the lease, or asks for one if there is none, and goes on doing so. The
// validity counts from before the request: when the service carried it out is not known.
func (l *nodeLease) keepAlive() {
	validUntil := l.runtime.Now() + tuning.LeaseTTL - tuning.LeaseTTL*tuning.DriftPerMille/1000 - tuning.LeaseMargin
	if l.id == 0 {
		l.grant(validUntil)
	} else {
		l.renew(validUntil)
	}
}

func (l *nodeLease) keepAliveAfter(pause time.Duration) { l.runtime.After(pause, l.keepAlive) }

func (l *nodeLease) grant(validUntil time.Duration) {
	l.client.GrantLease(tuning.LeaseTTL, func(granted GrantResult) {
		if granted.Outcome != OutcomeOK {
			l.keepAliveAfter(tuning.LeaseRenewRetryDelay)
			return
		}
		l.id, l.validUntil = granted.LeaseID, validUntil
		l.changed()
		l.keepAliveAfter(tuning.LeaseRenewInterval)
	})
}

func (l *nodeLease) renew(validUntil time.Duration) {
	l.client.RenewLease(l.id, func(outcome Outcome) {
		switch outcome {
		case OutcomeOK:
			l.validUntil = max(l.validUntil, validUntil)
			l.keepAliveAfter(tuning.LeaseRenewInterval)
		case OutcomeGone:
			l.expired()
			l.keepAliveAfter(0)
		case OutcomeConflict, OutcomeRefused, OutcomeUnknown, OutcomeInvalid:
			l.keepAliveAfter(tuning.LeaseRenewRetryDelay)
		}
	})
}

func (l *nodeLease) expired() {
	l.log.Info("node lease expired")
	l.id, l.validUntil = 0, 0
	l.process.Nonce++ // keys attached to the expired lease are another holder's
	l.changed()
}
