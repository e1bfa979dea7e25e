package drain

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"
)

// watchedChange is a change of a key as the watch delivers it.
type watchedChange struct {
	key      string
	value    any
	revision uint64
}

// TestRecordsFollowChangesInAnyOrder checks that the order of changes of different keys does
// not affect the copy, and that a record that cannot be decoded is reported until it is
// replaced or removed.
func TestRecordsFollowChangesInAnyOrder(t *testing.T) {
	changes := []watchedChange{
		{PageKey("d", 0), Page{[]Machine{{ID: "vm-1", State: MachineClosed}, {ID: "vm-2"}}}, 3},
		{HeadKey("d"), Head{Phase: PhaseRunning, Machines: 2, Pages: 1}, 4},
		{GrantKey("d", 1), Grant{"vm-1", []TaskRef{{Job: "wk-1", Index: 2, Attempt: 5}}}, 5},
		{GrantKey("d", 2), Grant{"vm-1", []TaskRef{{Job: "wk-2", Attempt: 1, Gang: 3}}}, 6},
		{PageKey("e", 0), Page{[]Machine{{ID: "vm-9", State: MachineClosed}}}, 7}, // no head: not accepted
	}
	rapid.Check(t, func(t *rapid.T) {
		records := &Records{log: slog.New(slog.NewTextHandler(io.Discard, nil))}
		records.clear()
		for _, change := range rapid.Permutation(changes).Draw(t, "order") {
			raw, err := json.Marshal(change.value)
			if err != nil {
				t.Fatal(err)
			}
			records.apply(change.key, raw, change.revision)
		}
		if !records.IsClosed("vm-1") || records.IsClosed("vm-2") || records.IsClosed("vm-9") || records.IsIdle() || len(records.Drains()) != 1 || records.Get("e") != nil {
			t.Fatal("closed machines or accepted drains differ from the records: want vm-1 closed and drain d alone")
		}
		if !records.IsGranted("wk-1", 2, false) || records.IsGranted("wk-1", 1, false) || !records.IsGranted("wk-2", 1, true) {
			t.Fatal("granted tasks differ from the records: want wk-1/2 and gang wk-2")
		}
		records.apply(GrantKey("d", 1), json.RawMessage(`{"t":7}`), 8)
		if !records.HasUnreadable() {
			t.Fatal("a grant that cannot be decoded is not reported as unreadable")
		}
		records.apply(GrantKey("d", 1), nil, 9)
		records.apply(GrantKey("d", 2), nil, 9)
		cancelled, _ := encode(Head{Phase: PhaseCancelled, Machines: 2, Pages: 1})
		records.apply(HeadKey("d"), cancelled, 10)
		if records.HasUnreadable() || records.IsClosed("vm-1") || !records.IsIdle() {
			t.Fatal("after the cancellation: want no unreadable record, no closed machine and idle records")
		}
	})
}
