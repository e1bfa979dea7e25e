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
	Blocks int `json:"blocks"`
}

// settleLayout calls fn with the number of blocks that the state service holds,
// or that follows from the settings if it holds none yet.
func (n *Node) settleLayout(try int, fn func(blocks int)) {
	again := func() { n.rt.After(n.state.Backoff(try), func() { n.settleLayout(try+1, fn) }) }
	n.state.List(layoutKey, func(listed statestore.ListResult) {
		if listed.Outcome != statestore.OutcomeOK {
			again()
			return
		}
		for _, r := range listed.Entries {
			var l layout
			if r.Key != layoutKey {
				continue
			}
			if err := json.Unmarshal(r.Value, &l); err != nil || l.Blocks < 1 {
				if !n.misread {
					n.misread = true // said once, not with each try
					n.log.Error("stored layout does not parse, nothing is done until it is put right", "value", string(r.Value), "err", err)
				}
				again()
				return
			}
			fn(l.Blocks)
			return
		}
		// None is stored: a new deployment, or work of a version that kept none.
		n.state.List(taskstate.KeyPrefix, func(listed statestore.ListResult) {
			if listed.Outcome != statestore.OutcomeOK {
				again()
				return
			}
			l := layout{n.set.ShardCount()}
			if len(listed.Entries) > 0 {
				l.Blocks = 1
			}
			for _, r := range listed.Entries {
				l.Blocks = max(l.Blocks, taskstate.ShardOfKey(r.Key)+1)
			}
			value, err := json.Marshal(l)
			if err != nil {
				n.log.Error("layout does not encode", "err", err)
				return
			}
			// Whoever is first decides; the others read what it has written.
			n.state.Commit([]statestore.Condition{{Key: layoutKey}}, []statestore.Operation{{PutKey: layoutKey, Value: value}}, func(r statestore.CommitResult) {
				if r.Outcome == statestore.OutcomeOK {
					fn(l.Blocks)
					return
				}
				again()
			})
		})
	})
}
