package taskstate

import (
	"log/slog"
	"testing"

	"lemonmoor/internal/statestore"
)

// countingObserver counts the calls of its methods.
type countingObserver struct{ added, removed, changed int }

func (o *countingObserver) RecordAdded(*Record)                        { o.added++ }
func (o *countingObserver) RecordRemoved(*Record)                      { o.removed++ }
func (o *countingObserver) TaskStatusChanged(*Record, int, TaskStatus) { o.changed++ }

// TestUnreadableRecordIsKnownUntilItIsDeleted guards against a record that cannot be decoded being
// taken for absent: its job must be marked until the record is deleted, in an event or by missing
// from a new listing, and no other job.
func TestUnreadableRecordIsKnownUntilItIsDeleted(t *testing.T) {
	key := RecordKey(0, "wk-1", 0)
	for name, remove := range map[string]func(*Store){
		"deleted":    func(store *Store) { store.apply(key, nil, 3) },
		"not listed": func(store *Store) { store.reset(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			store := NewStore(nil, nil, slog.New(slog.DiscardHandler))
			store.apply(key, []byte(`{"i":"1:3"}`), 1)
			store.reset([]statestore.KeyValue{{Key: key}})
			if !store.HasUnreadableRecord("wk-1") || store.HasUnreadableRecord("wk-2") {
				t.Errorf("jobs 1 and 2 have an unreadable record: %v, %v; want true, false", store.HasUnreadableRecord("wk-1"), store.HasUnreadableRecord("wk-2"))
			}
			if remove(store); store.HasUnreadableRecord("wk-1") {
				t.Error("the job is still marked, want it not to be")
			}
		})
	}
}

// TestRelistedRecordKeepsItsStatuses guards against resetting the statuses of a known record
// when the records are listed again after a gap in the watch. Its stored form is older than
// the statuses from the log pages.
func TestRelistedRecordKeepsItsStatuses(t *testing.T) {
	store := NewStore(nil, nil, slog.New(slog.DiscardHandler))
	observer := &countingObserver{}
	store.Observe(observer)
	record := NewRecord(0, "wk-1", 0, []int{0, 1}, nil, nil)
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	store.apply(record.Key, value, 1)
	store.apply(PageKey(0, 0), []byte(`{"e":[{"c":"wk-1/0","d":"0"}]}`), 2)
	store.apply(record.Key, value, 1)
	if done, _ := store.Progress("wk-1"); observer.added != 1 || done != 1 {
		t.Errorf("record added %d times with %d tasks done, want once with 1", observer.added, done)
	}
}
