package controller

import (
	"encoding/json"

	"lemonmoor/internal/fleet"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// statusSender keeps what the leader has been told of a shard, so that a status message
// names only the machines of which something has changed.
type statusSender struct {
	sequence   uint64
	lastSent   map[string]fleet.MachineStatus // by machine
	fullNeeded bool                           // a message may not have arrived
	inFlight   bool                           // a message to another node is not answered yet
}

// sendStatus sends a shard's status to the leader, if it is known and has answered the
// message before.
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
			n.log.Debug("shard status not taken by the leader", "shard", owner.shardIndex, "err", err)
			return
		}
		if owner.token == token {
			owner.applyStatusReply(&reply)
		}
	})
}

// receiveStatus takes a shard's status and answers with what the leader has for its owner;
// only the leader does. A message of a node that does not own the shard is passed over.
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

// nextStatus is the shard's next status message: of all machines if an earlier message may
// not have arrived, else of those of which something has changed.
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
	s.statuses.fullNeeded = true // until the answer is in
	message := &statusMessage{ShardStatus: status}
	if s.drainExecutor != nil {
		message.Drains = s.drainExecutor.Report()
	}
	return message
}

// changedMachines is the status of the machines of which something has changed since it was
// last sent, and notes it as sent.
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

// countWorkers counts the workers that may be dead and those that have reported.
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

// machineStatus is what the leader is told of a machine, without the time for which it is
// idle, which would change with each message.
func (s *shardOwner) machineStatus(worker *workers.Worker, suspects, reporting int) fleet.MachineStatus {
	return fleet.MachineStatus{
		ID: worker.ID, Addr: worker.Addr, MachineType: worker.MachineTypeName, Zone: worker.Zone, Spot: worker.Spot,
		HasReported: worker.HasReported, AcceptsTasks: s.workers.AcceptsTasks(worker),
		Busy:          len(worker.Tasks)+worker.UnknownTasks > 0,
		ReleaseReason: s.workers.ReleaseReason(worker, suspects, reporting),
	}
}

// applyStatusReply carries out the leader's answer to a status message.
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
