package controller

import (
	"encoding/json"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// layoutKey holds what must stay as it is while there are jobs: into how many shards the
// machines are divided. Records name shards, and machines belong to shards by their names;
// read under another number, tasks on machines would look lost while they run.
const layoutKey = "layout"

// layout is the value of layoutKey.
type layout struct {
	ShardCount int `json:"blocks"`
}

// layoutReader finds the number of shards that holds for the deployment: the stored one,
// else the one that follows from the stored records or from the settings, which it stores.
type layoutReader struct {
	platform
	done        func(shardCount int) // called once
	errorLogged bool
}

// read reads the stored layout, and again after a pause until that has succeeded.
func (r *layoutReader) read(attempt int) {
	r.stateClient.List(layoutKey, func(listing statestore.ListResult) {
		if listing.Outcome != statestore.OutcomeOK {
			r.retry(attempt)
			return
		}
		for _, entry := range listing.Entries {
			if entry.Key == layoutKey {
				r.useStored(entry.Value, attempt)
				return
			}
		}
		r.derive(attempt)
	})
}

func (r *layoutReader) retry(attempt int) {
	r.runtime.After(r.stateClient.Backoff(attempt), func() { r.read(attempt + 1) })
}

// useStored ends with the stored layout. While that is malformed the node waits: to guess
// the number of shards could lose sight of running tasks.
func (r *layoutReader) useStored(value []byte, attempt int) {
	var stored layout
	err := json.Unmarshal(value, &stored)
	if err == nil && stored.ShardCount >= 1 {
		r.done(stored.ShardCount)
		return
	}
	if !r.errorLogged {
		r.errorLogged = true // once, not with each attempt
		r.log.Error("stored layout is malformed, the node waits until it is corrected", "key", layoutKey, "value", string(value), "err", err)
	}
	r.retry(attempt)
}

// derive finds and stores the layout of a deployment that has stored none: a new one, or
// one with records of a version that stored none.
func (r *layoutReader) derive(attempt int) {
	r.stateClient.List(taskstate.KeyPrefix, func(listing statestore.ListResult) {
		if listing.Outcome != statestore.OutcomeOK {
			r.retry(attempt)
			return
		}
		derived := layout{r.settings.ShardCount()}
		if len(listing.Entries) > 0 {
			derived.ShardCount = 1
		}
		for _, entry := range listing.Entries {
			derived.ShardCount = max(derived.ShardCount, taskstate.ShardOfKey(entry.Key)+1)
		}
		r.store(derived, attempt)
	})
}

// store writes a layout if there is none. The node that is first decides; the others read
// what it has written.
func (r *layoutReader) store(derived layout, attempt int) {
	value, err := json.Marshal(derived)
	if err != nil {
		r.log.Error("failed to encode the layout", "err", err)
		return
	}
	conditions := []statestore.Condition{{Key: layoutKey}}
	operations := []statestore.Operation{{PutKey: layoutKey, Value: value}}
	r.stateClient.Commit(conditions, operations, func(result statestore.CommitResult) {
		if result.Outcome != statestore.OutcomeOK {
			r.retry(attempt)
			return
		}
		r.done(derived.ShardCount)
	})
}
