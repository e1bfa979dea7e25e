package workers

import (
	"time"

	"lemonmoor/internal/tuning"
)

// renewLease notes that a report is answered, so that the worker's lease may run from now.
// Until the worker shows our token an earlier owner may renew it as well, as late as that
// one answers at all: a copy of an old report, kept back until this owner began, moved
// the time back to now, and tasks were taken for gone that ran on for seconds.
func (r *Registry) renewLease(worker *Worker, heartbeat *Heartbeat) {
	worker.LeaseExpired = false
	if now := r.runtime.Now(); heartbeat.Token >= r.lease.Token() {
		worker.LeaseRenewedAt = now
	} else {
		worker.LeaseRenewedAt = max(worker.LeaseRenewedAt, now)
	}
}

// leaseExpiresAt is when all tasks of a machine that stays silent are surely gone.
func (r *Registry) leaseExpiresAt(worker *Worker) time.Duration {
	lease := r.settings.WorkerLease()
	return worker.LeaseRenewedAt + lease + lease*tuning.DriftPerMille/1000 + tuning.WorkerLeaseMargin
}
