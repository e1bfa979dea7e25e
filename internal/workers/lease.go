package workers

import (
	"time"

	"lemonmoor/internal/tuning"
)

// A worker ends all its tasks when the last of its heartbeats that was answered was sent
// longer ago than the lease (protocol, "Leases"). The registry counts from later, from when
// such a heartbeat was received, and adds what the clocks may drift apart and a margin.

// mayRunFrom notes that the lease may have been renewed as late as at.
func (s *SessionState) mayRunFrom(at time.Duration) { s.LeaseRenewedAt = max(s.LeaseRenewedAt, at) }

// renewLease notes that a heartbeat is answered, so that the worker's lease may run from
// now. Until the worker shows our token an earlier owner may renew it as well, as late as
// that one answers at all: a copy of an old heartbeat, kept back until this owner began,
// moved the time back to now, and tasks were taken for gone that ran on for seconds.
func (r *Registry) renewLease(worker *Worker, heartbeat *Heartbeat) {
	worker.LeaseExpired = false
	now := r.runtime.Now()
	if heartbeat.Token >= r.lease.Token() {
		worker.LeaseRenewedAt = now
	} else {
		worker.mayRunFrom(now)
	}
}

// leaseExpiresAt is when all tasks of a worker that stays silent are surely gone.
func (r *Registry) leaseExpiresAt(worker *Worker) time.Duration {
	lease := r.settings.WorkerLease()
	return worker.LeaseRenewedAt + lease + lease*tuning.DriftPerMille/1000 + tuning.WorkerLeaseMargin
}
