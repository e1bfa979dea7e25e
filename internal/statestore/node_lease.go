package statestore

import (
	"log/slog"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// nodeLease is this node's lease at the state service. All lease keys that the process holds
// are attached to it, so that one renewal extends all of them and no key has to be put
// again.
type nodeLease struct {
	runtime eventloop.Runtime
	client  *Client
	log     *slog.Logger
	// onChange is called when a lease has been granted or has expired.
	onChange func()

	process    leaseHolder   // this process, as holder of lease keys
	id         uint64        // 0: no lease
	validUntil time.Duration // until when the lease is certain to be valid
}

// isValid reports whether the lease, and so every key attached to it, is certain to be valid
// now.
func (l *nodeLease) isValid() bool { return l.id != 0 && l.runtime.Now() < l.validUntil }

// attach returns the operation that puts a lease key with this process as its holder,
// attached to the lease.
func (l *nodeLease) attach(key string) Operation {
	return Operation{PutKey: key, Value: l.process.encode(), LeaseID: l.id}
}

// keepAlive renews the lease, or requests one if there is none, and schedules its next call.
// The validity counts from the time at which the request is sent, since the time at which
// the service carries it out is unknown.
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
		l.onChange()
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
			l.handleExpiry()
			l.keepAliveAfter(0)
		case OutcomeConflict, OutcomeRefused, OutcomeUnknown, OutcomeInvalid:
			l.keepAliveAfter(tuning.LeaseRenewRetryDelay)
		}
	})
}

func (l *nodeLease) handleExpiry() {
	l.log.Info("node lease expired")
	l.id, l.validUntil = 0, 0
	l.process.Nonce++ // keys attached to the expired lease now count as another holder's
	l.onChange()
}
