package controller

import (
	"fmt"
	"testing"
	"time"
)

// TestRelinquishedShardFindsOwnerUnderRefusals: a shard that its owner gives up because no
// worker reaches it is not answered for any more, and is another's soon, also when the
// state service refuses most changes at that moment.
func TestRelinquishedShardFindsOwnerUnderRefusals(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(seed)
			for i := range 6 {
				job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 3, cpus: 1, runTime: 30 * time.Second, spot: true})
				sim.schedule(time.Duration(i)*time.Second, func() { sim.submitAndPoll(job, 0) })
			}
			sim.runUntil(20 * time.Second)
			first := sim.ownerOfShard0()
			for _, controller := range sim.controllers {
				sim.network.partitions["workers|"+first.name] = true
				if controller != first {
					sim.network.partitions[controller.name+"|"+first.name] = true // no heartbeat is relayed
				}
			}
			sim.stateLimits.writesPerSecond = 2.5
			given := time.Duration(0)
			for given == 0 && sim.now < 45*time.Second {
				sim.runUntil(sim.now + 100*time.Millisecond)
				if o := first.node.leases; o.Relinquished(0) || o.ShardToken(0) == 0 {
					given = sim.now
				}
				if first.node.leases.Relinquished(0) && first.node.mayAnswer(first.node.shardOwners[0]) {
					t.Fatalf("seed %d: answers under a token that is given up", seed)
				}
			}
			for sim.ownerOfShard0() == first || sim.ownerOfShard0() == nil {
				if sim.runUntil(sim.now + 100*time.Millisecond); sim.now > 70*time.Second {
					t.Fatalf("seed %d: relinquished at %v, nobody else has the shard at %v", seed, given, sim.now)
				}
			}
			if took := sim.now - given; took > 8*time.Second {
				t.Errorf("seed %d: the shard is another's %v after it was relinquished", seed, took)
			}
			sim.stateLimits.writesPerSecond = 0
			clear(sim.network.partitions)
			sim.runUntil(sim.now + 150*time.Second)
			sim.checkRulesAndCompletion(t)
		})
	}
}
