package controller

import (
	"encoding/json"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// layoutKey holds what must stay as it is while there is work: into how many
// blocks the machines are divided. Records name blocks, and machines belong to
// them by their names; read under another number, tasks on machines would look
// lost while they run.
const layoutKey = "layout"

type layout struct {
	ShardCount int `json:"blocks"`
}

// readLayout calls fn with the number of blocks that the state service holds,
// or that follows from the settings if it holds none yet.
func (n *Node) readLayout(attempt int, done func(blocks int)) {
	retry := func() { n.runtime.After(n.stateClient.Backoff(attempt), func() { n.readLayout(attempt+1, done) }) }
	n.stateClient.List(layoutKey, func(listing statestore.ListResult) {
		if listing.Outcome != statestore.OutcomeOK {
			retry()
			return
		}
		for _, entry := range listing.Entries {
			var stored layout
			if entry.Key != layoutKey {
				continue
			}
			if err := json.Unmarshal(entry.Value, &stored); err != nil || stored.ShardCount < 1 {
				if !n.layoutErrorLogged {
					n.layoutErrorLogged = true // said once, not with each try
					n.log.Error("stored layout does not parse, nothing is done until it is put right", "value", string(entry.Value), "err", err)
				}
				retry()
				return
			}
			done(stored.ShardCount)
			return
		}
		// None is stored: a new deployment, or work of a version that kept none.
		n.stateClient.List(taskstate.KeyPrefix, func(listing statestore.ListResult) {
			if listing.Outcome != statestore.OutcomeOK {
				retry()
				return
			}
			stored := layout{n.settings.ShardCount()}
			if len(listing.Entries) > 0 {
				stored.ShardCount = 1
			}
			for _, entry := range listing.Entries {
				stored.ShardCount = max(stored.ShardCount, taskstate.ShardOfKey(entry.Key)+1)
			}
			value, err := json.Marshal(stored)
			if err != nil {
				n.log.Error("layout does not encode", "err", err)
				return
			}
			// Whoever is first decides; the others read what it has written.
			n.stateClient.Commit([]statestore.Condition{{Key: layoutKey}}, []statestore.Operation{{PutKey: layoutKey, Value: value}}, func(entry statestore.CommitResult) {
				if entry.Outcome == statestore.OutcomeOK {
					done(stored.ShardCount)
					return
				}
				retry()
			})
		})
	})
}
