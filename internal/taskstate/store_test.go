package taskstate

import (
	"log/slog"
	"testing"
)

// countingObserver counts the records that it is told of.
type countingObserver struct{ added, removed, changed int }

func (o *countingObserver) RecordAdded(*Record)                        { o.added++ }
func (o *countingObserver) RecordRemoved(*Record)                      { o.removed++ }
func (o *countingObserver) TaskStatusChanged(*Record, int, TaskStatus) { o.changed++ }

// TestRelistedRecordKeepsItsStatuses: a record is written once. When the records are listed
// anew after a gap in the watch, it is the one that is known, with what the log pages have
// told of its tasks.
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
		t.Errorf("told of %d times, %d tasks are done", observer.added, done)
	}
}
