package fleet

import (
	"time"

	"lemonmoor/internal/tuning"
)

// machineTable holds the machines rented from the cloud, and which have been released.
type machineTable struct {
	byID map[string]*machine
	// releasedAt remembers released machines for a while, also those of earlier terms: old
	// lists and status messages still have them.
	releasedAt map[string]time.Duration
	keptIdle   map[string]bool // machines that are kept although they are idle
}

func newMachineTable() machineTable {
	return machineTable{byID: map[string]*machine{}, releasedAt: map[string]time.Duration{}}
}

// reset forgets the machines of the term before.
func (t *machineTable) reset() {
	clear(t.byID)
	t.keptIdle = nil
}

// isReleased reports whether a machine is known to be gone.
func (t *machineTable) isReleased(id string) bool {
	_, released := t.releasedAt[id]
	return released
}

// forgetReleased forgets the machines that were released long ago.
func (t *machineTable) forgetReleased(now time.Duration) {
	for id, at := range t.releasedAt {
		if now-at > tuning.ReleasedMachineMemory {
			delete(t.releasedAt, id)
		}
	}
}
