package fleet

import "time"

// JobBackoff tells that a shard owner places no tasks of a job for a while, because some have failed.
type JobBackoff struct {
	Job string `json:"job"`
	// MachineID is the machine on which none is placed, "" for all machines of the shard.
	MachineID string `json:"host,omitempty"`
	ForMS     int64  `json:"forMs,omitempty"` // remaining time in milliseconds
	// MayFailEverywhere is set, in an entry without a machine, if the job may have been submitted
	// with a mistake, so that more machines would not help it.
	MayFailEverywhere bool `json:"fails,omitempty"`
}

// Backoff is what is known of a job that a shard's owner keeps off machines, by the leader's clock.
// A nil Backoff is that of a job that is not kept off any.
type Backoff struct {
	pausedUntil       time.Duration
	avoidedUntil      map[string]time.Duration // by machine ID
	mayFailEverywhere bool
}

// IsPaused reports whether no task of the job is placed in the shard at a time.
func (b *Backoff) IsPaused(now time.Duration) bool { return b != nil && now < b.pausedUntil }

// Avoids reports whether no task of the job is placed on a machine at a time.
func (b *Backoff) Avoids(machineID string, now time.Duration) bool {
	return b != nil && now < b.avoidedUntil[machineID]
}

// NewBackoff returns the backoff that entries on one job describe at a time.
func NewBackoff(entries []JobBackoff, now time.Duration) *Backoff {
	backoff := &Backoff{avoidedUntil: map[string]time.Duration{}}
	for _, entry := range entries {
		backoff.add(entry, now)
	}
	return backoff
}

// add adds an entry that was received now.
func (b *Backoff) add(entry JobBackoff, now time.Duration) {
	until := now + time.Duration(entry.ForMS)*time.Millisecond
	if entry.MachineID != "" {
		b.avoidedUntil[entry.MachineID] = until
		return
	}
	b.pausedUntil, b.mayFailEverywhere = until, entry.MayFailEverywhere
}

// backoffTable holds the backoffs of a shard by job ID.
type backoffTable map[string]*Backoff

// newBackoffTable returns the backoffs of a status message received now.
func newBackoffTable(list []JobBackoff, now time.Duration) backoffTable {
	table := make(backoffTable, len(list))
	for _, entry := range list {
		if table[entry.Job] == nil {
			table[entry.Job] = NewBackoff(nil, now)
		}
		table[entry.Job].add(entry, now)
	}
	return table
}

// Backoff returns what is known of a job that the owner of a shard keeps off machines, nil if it
// keeps the job off none.
func (f *Fleet) Backoff(jobID string, shard int) *Backoff { return f.shards[shard].backoffs[jobID] }

// IsPaused reports whether the owner of any shard places no tasks of a job now.
func (f *Fleet) IsPaused(jobID string) bool {
	now := f.runtime.Now()
	for shard := range f.shards {
		if f.Backoff(jobID, shard).IsPaused(now) {
			return true
		}
	}
	return false
}

// MayFailEverywhere reports whether the owner of any shard suspects that the tasks of a job fail on
// every machine.
func (f *Fleet) MayFailEverywhere(jobID string) bool {
	for shard := range f.shards {
		if backoff := f.Backoff(jobID, shard); backoff != nil && backoff.mayFailEverywhere {
			return true
		}
	}
	return false
}
