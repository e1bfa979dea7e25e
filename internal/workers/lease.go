package workers

import (
	"time"

	"lemonmoor/internal/tuning"
)

// A worker ends all its tasks when its last answered heartbeat was sent longer ago than the
// lease (protocol, "Leases"). The registry measures the lease from when it received that
// heartbeat, which is later, and adds the allowed clock drift and a margin.

// extendLease records that the lease may have been renewed as late as at.
func (s *SessionState) extendLease(at time.Duration) { s.LeaseRenewedAt = max(s.LeaseRenewedAt, at) }

// observeSession records the session that a message of a worker shows. The lease of a session that
// was not known runs from its beginning, even if none of its heartbeats is answered.
func (r *Registry) observeSession(worker *Worker, session uint64) {
	if session <= worker.Session {
		return
	}
	now := r.runtime.Now()
	r.log.Info("worker session seen", "worker", worker.ID, "session", session, "earlier", worker.Session,
		"lease_age_ms", (now - worker.LeaseRenewedAt).Milliseconds())
	worker.Session, worker.SessionSeenAt = session, now
	worker.ended = endedAttempts{} // the attempts of the earlier session, and every message that names it, are void
	worker.extendLease(now)
}

// renewLease records that a heartbeat is answered, so that the worker's lease may run from
// now. A heartbeat below the current token never moves the renewal time to earlier: until the
// worker acknowledges our token, an earlier owner may renew the lease too, until it stops
// answering. With a time moved back to now by a delayed copy of an old heartbeat, tasks would
// be considered gone while they run on for seconds.
func (r *Registry) renewLease(worker *Worker, heartbeat *Heartbeat) {
	worker.LeaseExpired = false
	now := r.runtime.Now()
	if heartbeat.Token >= r.lease.Token() {
		worker.LeaseRenewedAt = now
	} else {
		worker.extendLease(now)
	}
}

// leaseExpiresAt returns the time after which all tasks of a worker are certain to be gone if
// the worker sends no further heartbeat.
func (r *Registry) leaseExpiresAt(worker *Worker) time.Duration {
	lease := r.settings.WorkerLease()
	return worker.LeaseRenewedAt + lease + lease*tuning.DriftPerMille/1000 + tuning.WorkerLeaseMargin
}
