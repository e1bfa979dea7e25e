package drain

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"
)

// stampedChange is a change as a watch tells it.
type stampedChange struct {
	key   string
	value any
	stamp uint64
}

// TestBookFollowsTheRecords: after any order of changes of different keys the book tells
// the same; what does not parse is noted until it is replaced.
func TestBookFollowsTheRecords(t *testing.T) {
	changes := []stampedChange{
		{PageKey("d", 0), Page{[]Machine{{ID: "vm-1", State: MachineClosed}, {ID: "vm-2"}}}, 3},
		{HeadKey("d"), Head{Phase: PhaseRunning, Machines: 2, Pages: 1}, 4},
		{GrantKey("d", 1), Grant{"vm-1", []TaskRef{{Job: "wk-1", Index: 2, Attempt: 5}}}, 5},
		{GrantKey("d", 2), Grant{"vm-1", []TaskRef{{Job: "wk-2", Attempt: 1, Gang: 3}}}, 6},
		{PageKey("e", 0), Page{[]Machine{{ID: "vm-9", State: MachineClosed}}}, 7}, // no head: not accepted
	}
	rapid.Check(t, func(t *rapid.T) {
		b := &Records{OnChange: func() {}, log: slog.New(slog.NewTextHandler(io.Discard, nil))}
		b.clear()
		for _, c := range rapid.Permutation(changes).Draw(t, "order") {
			raw, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			b.apply(c.key, raw, c.stamp)
		}
		if !b.IsClosed("vm-1") || b.IsClosed("vm-2") || b.IsClosed("vm-9") || b.IsIdle() || len(b.Drains()) != 1 || b.Get("e") != nil {
			t.Fatal("the machines' states are not those of the records")
		}
		if !b.IsGranted("wk-1", 2, false) || b.IsGranted("wk-1", 1, false) || !b.IsGranted("wk-2", 1, true) {
			t.Fatal("the grants are not those of the records")
		}
		b.apply(GrantKey("d", 1), json.RawMessage(`{"t":7}`), 8)
		if !b.HasUnreadable() {
			t.Fatal("a grant that does not parse is taken for none")
		}
		b.apply(GrantKey("d", 1), nil, 9)
		b.apply(GrantKey("d", 2), nil, 9)
		cancelled, _ := encode(Head{Phase: PhaseCancelled, Machines: 2, Pages: 1})
		b.apply(HeadKey("d"), cancelled, 10)
		if b.HasUnreadable() || b.IsClosed("vm-1") || !b.IsIdle() {
			t.Fatal("what is over is not told as over")
		}
	})
}
