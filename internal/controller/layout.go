package controller

import (
	"encoding/json"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
)

// layoutKey is the key of the number of shards that the machines are divided into. The number
// must not change while there are jobs: records name shards, and a machine's shard is derived
// from its name, so with another number running tasks would look lost.
const layoutKey = "layout"

// layout is the value stored under layoutKey.
type layout struct {
	ShardCount int `json:"blocks"`
}

// layoutReader determines the number of shards of the deployment: the stored number, or else
// one derived from the stored records or the settings, which it then stores.
type layoutReader struct {
	platform
	done        func(shardCount int) // called once
	errorLogged bool
}

// read reads the stored layout and retries with backoff until it succeeds.
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

// useStored completes the reader with the stored layout. If it is malformed, the node retries
// until it is corrected: under a guessed number of shards, running tasks could look lost.
func (r *layoutReader) useStored(value []byte, attempt int) {
	var stored layout
	err := json.Unmarshal(value, &stored)
	if err == nil && stored.ShardCount >= 1 {
		r.done(stored.ShardCount)
		return
	}
	if !r.errorLogged {
		r.errorLogged = true // logged once, not with each attempt
		r.log.Error("stored layout is malformed, the node waits until it is corrected", "key", layoutKey, "value", string(value), "err", err)
	}
	r.retry(attempt)
}

// derive determines and stores the layout of a deployment without a stored one: a new
// deployment, or one whose records were written by a version that stored no layout.
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

// store commits a layout on condition that none is stored. The first node to commit decides;
// on a conflict the others retry and read its layout.
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
