package userapi

import (
	"encoding/json"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// cancellations handles cancellation requests: it stores the final phase of cancelled jobs.
type cancellations struct {
	runtime eventloop.Runtime
	client  *statestore.Client
	catalog *Catalog
	polls   *polls
}

// cancel stores the job as cancelled. It responds once the cancellation is durable, or with the
// current status if the job already has a final phase. attempt counts the attempts from 0.
func (c *cancellations) cancel(id string, respond http1.ResponseWriter, attempt int) {
	if attempt >= tuning.MaxCancelAttempts {
		respondUnavailable(respond, reasonStateNotReached)
		return
	}
	c.catalog.Verify(func(err error) {
		if err != nil {
			respondUnavailable(respond, reasonStateNotReached)
			return
		}
		entry := c.catalog.Get(id)
		if entry == nil {
			respondError(respond, 404, "no such job")
			return
		}
		if entry.Phase != "" {
			c.polls.respondStatus(respond, entry)
			return
		}
		value, err := c.encodeCancelled(entry)
		if err != nil {
			respondError(respond, 500, "record does not encode")
			return
		}
		c.commit(entry, value, respond, attempt)
	})
}

// encodeCancelled returns the encoded record of the job, cancelled at the current time.
func (c *cancellations) encodeCancelled(entry *Entry) (json.RawMessage, error) {
	record := entry.Record
	record.Phase, record.CancelledMS = PhaseCancelled, c.runtime.WallClock().UnixMilli()
	value, err := json.Marshal(record)
	if err == nil && len(value) > c.client.MaxValueBytes() && record.Spec != nil {
		// The record was stored under a higher limit for values. A cancelled job needs only
		// the part of its spec with the resources that its tasks still occupy on machines.
		record.Spec = record.Spec.WithoutStartFields()
		value, err = json.Marshal(record)
	}
	return value, err
}

// commit writes the cancelled record on condition that the job's record has not changed since
// it was read, and retries the cancellation if the commit fails without effect. If the outcome
// of the commit is unknown it responds with 503.
func (c *cancellations) commit(entry *Entry, value json.RawMessage, respond http1.ResponseWriter, attempt int) {
	id := entry.ID
	conditions := []statestore.Condition{{Key: KeyPrefix + id, Revision: entry.Revision}}
	operations := []statestore.Operation{{PutKey: KeyPrefix + id, Value: value}}
	c.client.Commit(conditions, operations, func(result statestore.CommitResult) {
		switch result.Outcome {
		case statestore.OutcomeOK:
			c.catalog.Observe(id, value, result.Revision)
			c.catalog.log.Info("job cancelled", "job", id, "revision", result.Revision)
			c.polls.respondStatus(respond, c.catalog.Get(id))
		case statestore.OutcomeConflict, statestore.OutcomeInvalid:
			c.cancel(id, respond, attempt+1)
		case statestore.OutcomeRefused:
			c.runtime.After(c.client.Backoff(attempt), func() { c.cancel(id, respond, attempt+1) })
		case statestore.OutcomeUnknown, statestore.OutcomeGone:
			respondUnavailable(respond, reasonStateNoAnswer)
		}
	})
}
