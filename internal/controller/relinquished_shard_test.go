package controller

import (
	"fmt"
	"testing"
	"time"
)

// TestRelinquishedShardFindsOwnerUnderRefusals checks a shard that its owner relinquishes
// because no worker reaches it: that owner stops answering for it, and another node acquires it
// within 8 s, also while the state service refuses most writes.
func TestRelinquishedShardFindsOwnerUnderRefusals(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(seed)
			for i := range 6 {
				job := newJob(jobSpec{id: jobID(i), team: "red", tasks: 3, cpus: 1, runTime: 30 * time.Second, spot: true})
				sim.schedule(time.Duration(i)*time.Second, func() { sim.submitAndPoll(job, 0) })
			}
			sim.runUntil(20 * time.Second)
			firstOwner := sim.ownerOfShard0()
			for _, controller := range sim.controllers {
				sim.network.partitions["workers|"+firstOwner.name] = true
				if controller != firstOwner {
					sim.network.partitions[controller.name+"|"+firstOwner.name] = true // no heartbeat is relayed
				}
			}
			sim.stateLimits.writesPerSecond = 2.5
			relinquishedAt := time.Duration(0)
			for relinquishedAt == 0 && sim.now < 45*time.Second {
				sim.runUntil(sim.now + 100*time.Millisecond)
				if leases := firstOwner.node.leases; leases.Relinquished(0) || leases.ShardToken(0) == 0 {
					relinquishedAt = sim.now
				}
				if firstOwner.node.leases.Relinquished(0) && firstOwner.node.mayAnswer(firstOwner.node.shardOwners[0]) {
					t.Fatalf("seed %d: the owner may answer under a relinquished token", seed)
				}
			}
			for sim.ownerOfShard0() == firstOwner || sim.ownerOfShard0() == nil {
				if sim.runUntil(sim.now + 100*time.Millisecond); sim.now > 70*time.Second {
					t.Fatalf("seed %d: no other node owns the shard, which was relinquished at %v (0: never), at %v", seed, relinquishedAt, sim.now)
				}
			}
			if took := sim.now - relinquishedAt; took > 8*time.Second {
				t.Errorf("seed %d: another node owns the shard %v after it was relinquished, want at most 8s", seed, took)
			}
			sim.stateLimits.writesPerSecond = 0
			clear(sim.network.partitions)
			sim.runUntil(sim.now + 150*time.Second)
			sim.checkRulesAndCompletion(t)
		})
	}
}
