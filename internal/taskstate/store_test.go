package taskstate

import (
	"log/slog"
	"testing"
)

// TestRecordReadAnewKeepsItsMarks: a record is written once. When the rows are read anew after a
// gap in the watch, it is the one that is known, with what the pages have told of its tasks.
func TestRecordReadAnewKeepsItsMarks(t *testing.T) {
	s := NewStore(nil, nil, slog.New(slog.DiscardHandler))
	added := 0
	s.RecordAdded = func(*Record) { added++ }
	r := NewRecord(0, "wk-1", 0, []int{0, 1}, nil, nil)
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.apply(r.Key, value, 1)
	s.apply(PageKey(0, 0), []byte(`{"e":[{"c":"wk-1/0","d":"0"}]}`), 2)
	s.apply(r.Key, value, 1)
	if done, _ := s.Progress("wk-1"); added != 1 || done != 1 {
		t.Errorf("told of %d times, %d tasks are done", added, done)
	}
}
