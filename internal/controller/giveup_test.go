package controller

import (
	"fmt"
	"testing"
	"time"
)

// TestGivenUpUnderRefusals: a block that its owner gives up because no worker reaches
// it is not answered for any more, and is another's soon, also when the state service
// refuses most changes at that moment.
func TestGivenUpUnderRefusals(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		w := newWorld(seed)
		for i := range 6 {
			j := &simJob{id: fmt.Sprintf("wk-%06d", i), team: "red", tasks: 3, cpus: 1, length: 30 * time.Second, spot: true, done: map[int]bool{}}
			w.after(time.Duration(i)*time.Second, func() { w.user(j, 0) })
		}
		w.run(20 * time.Second)
		first := w.owner(0)
		for _, n := range w.nodes {
			w.cut["workers|"+first.name] = true
			if n != first {
				w.cut[n.name+"|"+first.name] = true // no report is passed on
			}
		}
		w.writes = 2.5
		given := time.Duration(0)
		for given == 0 && w.now < 45*time.Second {
			w.run(w.now + 100*time.Millisecond)
			if o := first.node.leases; o.Relinquished(0) || o.ShardToken(0) == 0 {
				given = w.now
			}
			if first.node.leases.Relinquished(0) && first.node.mayAnswer(first.node.shardOwners[0]) {
				t.Fatalf("seed %d: answers under a token that is given up", seed)
			}
		}
		for w.owner(0) == first || w.owner(0) == nil {
			if w.run(w.now + 100*time.Millisecond); w.now > 70*time.Second {
				t.Fatalf("seed %d: given up at %v, nobody else has the block at %v", seed, given, w.now)
			}
		}
		if took := w.now - given; took > 8*time.Second {
			t.Errorf("seed %d: the block is another's %v after it was given up", seed, took)
		}
		w.writes = 0
		clear(w.cut)
		w.run(w.now + 150*time.Second)
		w.check(t)
	}
}
