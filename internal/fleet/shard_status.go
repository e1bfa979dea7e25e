package fleet

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// MachineStatus is the state of a machine as its shard owner reports it.
type MachineStatus struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"`
	MachineType   string `json:"build"`
	Zone          string `json:"zone"`
	Spot          bool   `json:"spot"`
	HasReported   bool   `json:"up"`               // its worker has sent a heartbeat to this owner
	AcceptsTasks  bool   `json:"open"`             // new tasks may be assigned to it
	IdleMS        int64  `json:"idleMs,omitempty"` // milliseconds without a task
	Busy          bool   `json:"busy,omitempty"`   // it runs tasks or may run some
	ReleaseReason string `json:"back,omitempty"`   // reason for a requested release
	// HeldForJob is the job for which the machine's room is held, "" if it is not. Of other jobs it
	// accepts only those of at least HoldMinPriority.
	HeldForJob      string        `json:"heldFor,omitempty"`
	HoldMinPriority jobs.Priority `json:"heldMin,omitempty"`
	// ReservedCPUs, ReservedGPUs and ReservedMemoryGB are reserved for expected gangs.
	ReservedCPUs     float64 `json:"reservedCpus,omitempty"`
	ReservedGPUs     float64 `json:"reservedCards,omitempty"`
	ReservedMemoryGB float64 `json:"reservedMemoryGb,omitempty"`
}

// hold returns the hold on the machine's room.
func (s *MachineStatus) hold() workers.Hold {
	return workers.Hold{JobID: s.HeldForJob, MinPriority: s.HoldMinPriority}
}

// reserved returns the resources that are reserved for expected gangs.
func (s *MachineStatus) reserved() resource.Vector {
	return resource.Vector{CPUs: s.ReservedCPUs, GPUs: s.ReservedGPUs, MemoryGB: s.ReservedMemoryGB}
}

// ShardStatus is a shard owner's status message. It contains all machines of the shard, or those
// that have changed since the previous message.
type ShardStatus struct {
	Node           string          `json:"node"`
	Shard          int             `json:"block"`
	Token          uint64          `json:"token"`          // the owner's fencing token
	Seq            uint64          `json:"seq"`            // incremented with each message under a token
	Full           bool            `json:"full,omitempty"` // Hosts contains all machines of the shard
	ReachableZones []string        `json:"lit,omitempty"`  // zones from which the owner has just received heartbeats
	Hosts          []MachineStatus `json:"hosts"`
	// Backoffs contains all jobs that the owner keeps off machines now, in each message.
	Backoffs []JobBackoff `json:"backoffs,omitempty"`
}

// Recall asks a shard owner to return a number of waiting tasks of a job to the leader.
type Recall struct {
	Job   string `json:"job"`
	Tasks int    `json:"number"`
}

// MachineAddress is the address at which a machine's worker receives commands.
type MachineAddress struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// StatusReply is the leader's answer to a status message.
type StatusReply struct {
	Full  bool     `json:"full,omitempty"`  // the next message must be full, as one is missing or machines are not known yet
	Drain []string `json:"drain,omitempty"` // machines to which no more tasks must be assigned
	// Machines lists, in the reply to a full message, the machines that have not reported to
	// the owner.
	Machines []MachineAddress `json:"machines,omitempty"`
	Released []string         `json:"returned,omitempty"` // machines that are gone, with all tasks on them
	Recall   []Recall         `json:"recall,omitempty"`
}

// shardState is the state of a shard's owner, and what has not been reported to the owner yet.
type shardState struct {
	owner ownerStatus
	// unreportedReleases are the IDs of the machines released since the owner's last message.
	unreportedReleases []string
	backoffs           backoffTable
}

// ownerStatus is the state of the message stream from a shard's owner.
type ownerStatus struct {
	known           bool // a message has been received in this term
	token, seq      uint64
	lastMessageAt   time.Duration
	respondingSince time.Duration // start of the period without a gap in this owner's messages
}

// isFresh reports whether the owner's last message is younger than tuning.StatusStaleAfter.
func (o *ownerStatus) isFresh(now time.Duration) bool {
	return o.known && now-o.lastMessageAt < tuning.StatusStaleAfter
}

// isLate reports whether a message was delayed, so that one at least as new is already known.
func (o *ownerStatus) isLate(message *ShardStatus) bool {
	return o.known && (message.Token < o.token || (message.Token == o.token && message.Seq <= o.seq))
}

// hasNoGapBefore reports whether a message is full or the direct successor of the last one.
func (o *ownerStatus) hasNoGapBefore(message *ShardStatus) bool {
	return message.Full || o.known && o.token == message.Token && message.Seq == o.seq+1
}

// recordMessage records the receipt of a message.
func (o *ownerStatus) recordMessage(message *ShardStatus, now time.Duration) {
	since := o.respondingSince
	if !o.known || o.token != message.Token || now-o.lastMessageAt > tuning.StatusStaleAfter {
		since = now
	}
	*o = ownerStatus{known: true, token: message.Token, seq: message.Seq, lastMessageAt: now, respondingSince: since}
}

// HandleStatus processes a shard owner's status message and returns the reply. Machines in the
// message that are not known yet, such as those rented in an earlier term, are added once they
// have reported.
func (f *Fleet) HandleStatus(message *ShardStatus) StatusReply {
	var reply StatusReply
	now := f.runtime.Now()
	shard := &f.shards[message.Shard]
	if shard.owner.isLate(message) {
		// A late message may contain a machine that was released long ago. It would count as
		// capacity forever, and nothing would be rented for the tasks that wait for it.
		return reply
	}
	if shard.owner.hasNoGapBefore(message) {
		shard.owner.recordMessage(message, now)
	} else {
		reply.Full = true // its content is valid, but a previous message is missing
	}
	shard.backoffs = newBackoffTable(message.Backoffs, now)
	for _, zone := range message.ReachableZones {
		f.zones.reachableAt[zone] = now
	}
	// If this reply is lost, the owner's next message is a full one. It contains the released
	// machines, so they are reported again.
	reply.Released, shard.unreportedReleases = shard.unreportedReleases, nil
	reported := f.observeMachines(message, &reply)
	if message.Full && !f.term.listed {
		reply.Full = true // request all again, until the machine list has been read
	}
	f.addInstructions(&reply, message.Shard, reported)
	return reply
}

// observeMachines processes the machines of a message, and adds those that have been released
// to the reply. For a full message it returns, by machine ID, whether the machine has reported
// to the owner; otherwise it returns nil.
func (f *Fleet) observeMachines(message *ShardStatus, reply *StatusReply) (reported map[string]bool) {
	if message.Full {
		reported = make(map[string]bool, len(message.Hosts))
	}
	for i := range message.Hosts {
		status := &message.Hosts[i]
		if message.Full {
			reported[status.ID] = status.HasReported
		}
		if f.machines.isReleased(status.ID) {
			reply.Released = append(reply.Released, status.ID)
			continue
		}
		f.observeMachine(status, message.Shard)
	}
	return reported
}

// observeMachine updates a machine from an owner's status of it, or adds it.
func (f *Fleet) observeMachine(status *MachineStatus, shard int) {
	now := f.runtime.Now()
	machine := f.machines.byID[status.ID]
	if machine == nil {
		if !status.HasReported {
			return // the owner knows it only from a stored record
		}
		machine = newMachine(status.ID, shard, MachineKind{}, now)
		f.machines.byID[status.ID] = machine
	}
	if status.HasReported {
		machine.address, machine.kind = status.Addr, MachineKind{status.MachineType, status.Zone, status.Spot}
	}
	// A new owner knows machines only from their stored records until they report to it. A
	// machine that reported to an earlier owner must not count as never booted then.
	machine.status, machine.reported = *status, machine.reported || status.HasReported
	machine.idleSince = now - time.Duration(status.IdleMS)*time.Millisecond
	if status.ReleaseReason != "" && !machine.isSilent() { // silent ones are released by evaluateMachines
		f.requestRelease(machine, status.ReleaseReason)
	}
}

// addInstructions adds to a reply the addresses of machines that have not reported to the shard
// owner, and the IDs of machines to drain. reported is the result of observeMachines.
func (f *Fleet) addInstructions(reply *StatusReply, shard int, reported map[string]bool) {
	for id, machine := range f.machines.byID {
		switch {
		case machine.shard != shard:
		case reported != nil && !reported[id]:
			machine.status.AcceptsTasks = false // it has not reported to this owner yet
			if machine.address != "" && !machine.release.requested && !machine.listing.booting {
				reply.Machines = append(reply.Machines, MachineAddress{id, machine.address})
			}
		case machine.drainReason != "" && machine.reported && machine.status.AcceptsTasks:
			reply.Drain = append(reply.Drain, id)
		}
	}
}
