package controller

import (
	"fmt"
	"testing"
	"time"
)

// TestOwnerBehindARelay: an owner that no worker reaches directly keeps its
// block while reports are passed on to it, and its work gets done.
func TestOwnerBehindARelay(t *testing.T) {
	w := newWorld(3)
	for i := range 4 {
		j := &simJob{id: fmt.Sprintf("wk-%06d", i), team: "red", tasks: 4, cpus: 2, length: 2 * time.Second, spot: true, done: map[int]bool{}}
		w.after(time.Duration(i*15)*time.Second, func() { w.user(j, 0) })
	}
	var owner *simNode
	var token uint64
	w.after(10*time.Second, func() {
		for _, n := range w.nodes {
			if o := n.node.shardOwners[0]; o.token != 0 {
				owner, token = n, o.token
			}
		}
		w.cut["workers|"+owner.name] = true
	})
	w.run(110 * time.Second)
	for _, b := range w.broken {
		t.Error(b)
	}
	for _, j := range w.jobs {
		if j.told != "done" {
			t.Errorf("%s is %q", j.id, j.told)
		}
	}
	if owner == nil || owner.node.leases.ShardToken(0) == 0 {
		t.Errorf("the owner of token %d gave its block up", token)
	}
}

// TestHealthInAnOutage: in an outage of the state service the nodes stay
// healthy, since none is better than another; a node that is refused alone does
// not.
func TestHealthInAnOutage(t *testing.T) {
	w := newWorld(4)
	w.run(20 * time.Second)
	w.outage = true
	w.run(32 * time.Second)
	for _, n := range w.nodes {
		if !n.node.isHealthy() {
			t.Errorf("%s is unhealthy in an outage that all share", n.name)
		}
	}
	w.outage = false
	w.run(40 * time.Second)
	w.cut["node-1|state"] = true
	w.run(55 * time.Second)
	for _, n := range w.nodes {
		if got, want := n.node.isHealthy(), n.name != "node-1"; got != want {
			t.Errorf("%s healthy: %v", n.name, got)
		}
	}
}
