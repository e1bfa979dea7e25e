package controller

import (
	"testing"
	"time"
)

// TestOwnerKeepsShardBehindRelay checks that an owner that no worker reaches directly keeps its
// shard while other controllers relay heartbeats to it, and that its jobs complete.
func TestOwnerKeepsShardBehindRelay(t *testing.T) {
	sim := newSimulation(3)
	for i := range 4 {
		job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 4, cpus: 2, runTime: 2 * time.Second, spot: true})
		sim.schedule(time.Duration(i*15)*time.Second, func() { sim.submitAndPoll(job, 0) })
	}
	var relayed *simController
	var token uint64
	sim.schedule(10*time.Second, func() {
		for _, controller := range sim.controllers {
			if owner := controller.node.shardOwners[0]; owner.token != 0 {
				relayed, token = controller, owner.token
			}
		}
		sim.network.partitions["workers|"+relayed.name] = true
	})
	sim.runUntil(110 * time.Second)
	sim.checkRules(t)
	sim.checkAllDone(t)
	if relayed == nil || relayed.node.leases.ShardToken(0) == 0 {
		t.Errorf("the owner of shard 0 (token %d; 0: there was none) does not own it at the end, want it kept", token)
	}
}
