package controller

import (
	"fmt"
	"os"
)

// dump writes what the nodes think, for the search after a failed day.
func (w *world) dump() {
	if os.Getenv("LEMONMOOR_SIM_LOG") == "" {
		return
	}
	for _, n := range w.nodes {
		if n.node == nil {
			fmt.Println(n.name, "down")
			continue
		}
		fmt.Println(n.name, "lead", n.node.leases.LeaderToken(), "leader", n.node.leases.LeaderNode(), "valid", n.node.leases.LeaseValid())
		for _, j := range w.jobs {
			if j.told != "" {
				continue
			}
			for key, r := range n.node.taskStates.JobRecords(j.id) {
				fmt.Printf("  %s stamp %d index %v marks %+v pages %v\n", key, r.Revision, r.TaskIndexes, r.Statuses, r.LogPages)
			}
		}
		for b, o := range n.node.shardOwners {
			fmt.Println("  block", b, "token", o.token, "owner", n.node.leases.ShardOwner(b), "loaded", o.tasks.IsLoaded())
			for _, h := range o.workers.Workers() {
				fmt.Printf("    %s up %v open %v deaf %v drain %q silent %v token %d heard %v tasks %d stray %d\n", h.ID, h.HasReported, o.workers.AcceptsTasks(h), h.Deaf, h.DrainReason, h.LeaseExpired, h.Token, h.LastHeartbeatAt, len(h.Tasks), h.UnknownTasks)
				for k := range h.Tasks {
					fmt.Printf("      %s %+v\n", k.Name(), *k)
				}
			}
		}
	}
	for _, k := range w.cloud.workers {
		if !k.released {
			fmt.Printf("  worker %s up %v dead %v deaf %v shift %d tick %d token %d node %d tasks %d\n", k.host, k.up, k.dead, k.deaf, k.shift, k.tick, k.token, k.node, len(k.tasks))
		}
	}
}
