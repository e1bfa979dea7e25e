package controller

import (
	"cmp"
	"encoding/json"
	"slices"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// statusSender records the status of a shard that was last sent to the leader, so that a status
// message lists only the machines whose status has changed.
type statusSender struct {
	sequence   uint64
	lastSent   map[string]fleet.MachineStatus // by machine
	fullNeeded bool                           // a message may have been lost: send all machines
	inFlight   bool                           // a message to another node awaits its answer
}

// sendStatus sends a shard's status to the leader. It sends nothing if the shard's records have
// not been loaded, or if the leader is unknown or has not yet answered the previous message.
func (n *Node) sendStatus(owner *shardOwner) {
	if !owner.tasks.IsLoaded() || owner.statuses.inFlight {
		return
	}
	if n.leases.LeaderToken() != 0 {
		reply := n.receiveStatus(owner.nextStatus())
		owner.applyStatusReply(&reply)
		return
	}
	endpoint := n.membership.endpoint(n.leases.LeaderNode())
	if endpoint == "" {
		return
	}
	body, err := json.Marshal(owner.nextStatus())
	if err != nil {
		n.log.Error("failed to encode a shard's status", "shard", owner.shardIndex, "err", err)
		return
	}
	token := owner.token
	owner.statuses.inFlight = true
	n.runtime.CallPeer(endpoint, statusPath, body, tuning.PeerRequestTimeout, func(answer []byte, err error) {
		owner.statuses.inFlight = false
		var reply fleet.StatusReply
		if err == nil {
			err = json.Unmarshal(answer, &reply)
		}
		if err != nil {
			n.log.Debug("failed to send the shard status to the leader", "shard", owner.shardIndex, "err", err)
			return
		}
		if owner.token == token {
			owner.applyStatusReply(&reply)
		}
	})
}

// receiveStatus processes a shard's status on the leader and returns the leader's instructions
// to the shard owner. It ignores a malformed message and one of a node that does not own the
// shard.
func (n *Node) receiveStatus(message *statusMessage) fleet.StatusReply {
	if message.ShardStatus == nil || message.Shard < 0 || message.Shard >= len(n.shardOwners) || n.leases.ShardOwner(message.Shard) != message.Node {
		return fleet.StatusReply{}
	}
	if n.drains != nil {
		n.drains.coordinator.HandleShardReport(message.Shard, message.Token, message.Seq, message.Drains)
	}
	reply := n.fleet.HandleStatus(message.ShardStatus)
	reply.Recall = n.leader.TakeRecalls(message.Shard)
	n.leader.RequestRound()
	return reply
}

// nextStatus returns the shard's next status message. It lists all machines if an earlier
// message may not have arrived, otherwise only those whose status has changed.
func (s *shardOwner) nextStatus() *statusMessage {
	s.statuses.sequence++
	status := &fleet.ShardStatus{
		Node: s.node.settings.Node, Shard: s.shardIndex, Token: s.token, Seq: s.statuses.sequence,
		Full: s.statuses.fullNeeded, ReachableZones: s.workers.ReachableZones(),
	}
	if s.statuses.fullNeeded {
		clear(s.statuses.lastSent)
	}
	status.Hosts = s.changedMachines()
	status.Backoffs = s.backoffs()
	s.statuses.fullNeeded = true // until the answer arrives
	message := &statusMessage{ShardStatus: status}
	if s.drainExecutor != nil {
		message.Drains = s.drainExecutor.Report()
	}
	return message
}

// changedMachines returns the status of the machines whose status has changed since it was last
// sent, and records it as sent.
func (s *shardOwner) changedMachines() []fleet.MachineStatus {
	var changed []fleet.MachineStatus
	now := s.node.runtime.Now()
	suspects, reporting := s.countWorkers()
	for _, worker := range s.workers.Workers() {
		machine := s.machineStatus(worker, suspects, reporting)
		if s.statuses.lastSent[worker.ID] == machine {
			continue
		}
		s.statuses.lastSent[worker.ID] = machine
		if !machine.Busy {
			machine.IdleMS = (now - worker.IdleSince).Milliseconds()
		}
		changed = append(changed, machine)
	}
	return changed
}

// countWorkers returns the number of workers that may be dead and of those that have reported.
func (s *shardOwner) countWorkers() (suspects, reporting int) {
	for _, worker := range s.workers.Workers() {
		if worker.HasReported {
			reporting++
		}
		if s.workers.IsSuspect(worker) {
			suspects++
		}
	}
	return suspects, reporting
}

// machineStatus returns the status of a machine as sent to the leader. The idle time is left
// out, because it would change with each message.
func (s *shardOwner) machineStatus(worker *workers.Worker, suspects, reporting int) fleet.MachineStatus {
	return fleet.MachineStatus{
		ID: worker.ID, Addr: worker.Addr, MachineType: worker.MachineTypeName, Zone: worker.Zone, Spot: worker.Spot,
		HasReported: worker.HasReported, AcceptsTasks: s.workers.AcceptsTasks(worker),
		Busy:          len(worker.Tasks)+worker.UnknownTasks > 0,
		ReleaseReason: s.workers.ReleaseReason(worker, suspects, reporting),
		HeldForJob:    worker.Hold.JobID, HoldMinPriority: worker.Hold.MinPriority,
		ReservedCPUs: worker.Reserved.CPUs, ReservedGPUs: worker.Reserved.GPUs, ReservedMemoryGB: worker.Reserved.MemoryGB,
	}
}

// backoffs returns the jobs that are kept off machines now after failures, at most
// tuning.MaxReportedBackoffs entries.
func (s *shardOwner) backoffs() []fleet.JobBackoff {
	now := s.node.runtime.Now()
	var list []fleet.JobBackoff
	s.tasks.EachJob(func(job *taskstate.Job) {
		failures := &job.Failures
		if failures.IsPaused(now) || failures.MayFailEverywhere() {
			list = append(list, fleet.JobBackoff{
				Job: job.Spec.ID, ForMS: max(0, failures.PausedUntil-now).Milliseconds(), MayFailEverywhere: failures.MayFailEverywhere(),
			})
		}
		for _, workerID := range failures.Workers() {
			if failures.Avoids(workerID, now) {
				list = append(list, fleet.JobBackoff{Job: job.Spec.ID, MachineID: workerID, ForMS: (failures.AvoidsUntil(workerID) - now).Milliseconds()})
			}
		}
	})
	// The longest ones count the most.
	slices.SortFunc(list, func(a, b fleet.JobBackoff) int {
		return cmp.Or(cmp.Compare(b.ForMS, a.ForMS), cmp.Compare(a.Job, b.Job), cmp.Compare(a.MachineID, b.MachineID))
	})
	return list[:min(len(list), tuning.MaxReportedBackoffs)]
}

// applyStatusReply carries out the instructions in the leader's answer to a status message.
func (s *shardOwner) applyStatusReply(reply *fleet.StatusReply) {
	s.statuses.fullNeeded = reply.Full
	for _, id := range reply.Released {
		s.workers.MachineReleased(id)
		delete(s.statuses.lastSent, id)
	}
	for _, machine := range reply.Machines {
		s.workers.Announce(machine.ID, machine.Addr)
	}
	for _, id := range reply.Drain {
		s.workers.StopPlacements(id, "idle")
	}
	for _, recall := range reply.Recall {
		s.tasks.RecallTasks(recall.Job, recall.Tasks)
	}
	s.rounds.needed = true
}
