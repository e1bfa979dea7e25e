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

// TestRecordReadAnewKeepsItsMarks: a record is written once. When the rows are read anew after a
// gap in the watch, it is the one that is known, with what the pages have told of its tasks.
func TestRecordReadAnewKeepsItsMarks(t *testing.T) {
	s := NewStore(nil, nil, slog.New(slog.DiscardHandler))
	observed := &countingObserver{}
	s.Observe(observed)
	r := NewRecord(0, "wk-1", 0, []int{0, 1}, nil, nil)
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.apply(r.Key, value, 1)
	s.apply(PageKey(0, 0), []byte(`{"e":[{"c":"wk-1/0","d":"0"}]}`), 2)
	s.apply(r.Key, value, 1)
	if done, _ := s.Progress("wk-1"); observed.added != 1 || done != 1 {
		t.Errorf("told of %d times, %d tasks are done", observed.added, done)
	}
}
