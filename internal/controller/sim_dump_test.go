package controller

import (
	"fmt"
	"os"
)

// dump prints the state of the controllers and workers, to help find the cause of a failed day.
// It prints only with LEMONMOOR_SIM_LOG set.
func (s *simulation) dump() {
	if os.Getenv("LEMONMOOR_SIM_LOG") == "" {
		return
	}
	for _, controller := range s.controllers {
		if controller.node == nil {
			fmt.Println(controller.name, "down")
			continue
		}
		fmt.Println(controller.name, "leader token", controller.node.leases.LeaderToken(), "leader", controller.node.leases.LeaderNode(), "valid", controller.node.leases.LeaseValid())
		for _, job := range s.jobs {
			if job.ended() {
				continue
			}
			for key, record := range controller.node.taskStates.JobRecords(job.id) {
				fmt.Printf("  %s revision %d index %v statuses %+v pages %v\n", key, record.Revision, record.TaskIndexes, record.Statuses, record.LogPages)
			}
		}
		for shard, owner := range controller.node.shardOwners {
			fmt.Println("  shard", shard, "token", owner.token, "owner", controller.node.leases.ShardOwner(shard), "loaded", owner.tasks.IsLoaded())
			for _, tracked := range owner.workers.Workers() {
				fmt.Printf("    %s has reported %v accepts tasks %v unreachable %v drain %q lease expired %v token %d last heartbeat %v tasks %d unknown tasks %d\n", tracked.ID, tracked.HasReported, owner.workers.AcceptsTasks(tracked), tracked.Unreachable, tracked.DrainReason, tracked.LeaseExpired, tracked.Token, tracked.LastHeartbeatAt, len(tracked.Tasks), tracked.UnknownTasks)
				for task := range tracked.Tasks {
					fmt.Printf("      %s %+v\n", task.Name(), *task)
				}
			}
		}
	}
	for _, worker := range s.cloud.workers {
		if !worker.released {
			fmt.Printf("  worker %s up %v dead %v inbound blocked %v session %d sequence %d token %d controller %d tasks %d\n", worker.id, worker.up, worker.dead, worker.faults.inboundBlocked, worker.session, worker.sequence, worker.token, worker.controllerIndex, len(worker.tasks))
		}
	}
}
