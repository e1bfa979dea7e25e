package fleet

import (
	"time"

	"lemonmoor/internal/tuning"
)

// machineTable holds the machines rented from the cloud and the IDs of released ones.
type machineTable struct {
	byID map[string]*machine
	// releasedAt is the time of release by machine ID, also for earlier terms. Entries are
	// kept for tuning.ReleasedMachineMemory, because stale lists and status messages still
	// contain released machines.
	releasedAt   map[string]time.Duration
	retainedIdle map[string]bool // IDs of machines that are not released when idle
}

func newMachineTable() machineTable {
	return machineTable{byID: map[string]*machine{}, releasedAt: map[string]time.Duration{}}
}

// reset removes the machines of the previous term. Released ones stay recorded.
func (t *machineTable) reset() {
	clear(t.byID)
	t.retainedIdle = nil
}

// isReleased reports whether a machine's release is recorded.
func (t *machineTable) isReleased(id string) bool {
	_, released := t.releasedAt[id]
	return released
}

// forgetReleased removes the records of machines released more than
// tuning.ReleasedMachineMemory ago.
func (t *machineTable) forgetReleased(now time.Duration) {
	for id, at := range t.releasedAt {
		if now-at > tuning.ReleasedMachineMemory {
			delete(t.releasedAt, id)
		}
	}
}
