package fleet

import (
	"time"

	"lemonmoor/internal/tuning"
)

// MachineStatus is what a shard's owner tells of a machine.
type MachineStatus struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"`
	MachineType   string `json:"build"`
	Zone          string `json:"zone"`
	Spot          bool   `json:"spot"`
	HasReported   bool   `json:"up"`               // its worker has sent a heartbeat to this owner
	AcceptsTasks  bool   `json:"open"`             // it takes tasks
	IdleMS        int64  `json:"idleMs,omitempty"` // milliseconds without a task
	Busy          bool   `json:"busy,omitempty"`   // it has, or may have, tasks
	ReleaseReason string `json:"back,omitempty"`   // why it should be released now
}

// ShardStatus is an owner's status message on its shard: all machines, or those of which
// something has changed since the message before.
type ShardStatus struct {
	Node           string          `json:"node"`
	Shard          int             `json:"block"`
	Token          uint64          `json:"token"`          // the owner's fencing token
	Seq            uint64          `json:"seq"`            // grows by 1 with each message under a token
	Full           bool            `json:"full,omitempty"` // it tells of all machines
	ReachableZones []string        `json:"lit,omitempty"`  // zones that the owner has heard from just now
	Hosts          []MachineStatus `json:"hosts"`
}

// Recall asks an owner to return so many waiting tasks of a job.
type Recall struct {
	Job   string `json:"job"`
	Tasks int    `json:"number"`
}

// MachineAddress is where a machine's worker takes commands.
type MachineAddress struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// StatusReply is the leader's answer to a status message.
type StatusReply struct {
	Full  bool     `json:"full,omitempty"`  // a message is missing: send all
	Drain []string `json:"drain,omitempty"` // machines to keep tasks off
	// Machines are those that the owner has not heard of, in the reply to a full message.
	Machines []MachineAddress `json:"machines,omitempty"`
	Released []string         `json:"returned,omitempty"` // gone, with all on them
	Recall   []Recall         `json:"recall,omitempty"`
}

// shardState is what is known of a shard's owner, and what it is yet to be told.
type shardState struct {
	owner ownerStatus
	// unreportedReleases are the machines released since the owner's last message.
	unreportedReleases []string
}

// ownerStatus is the newest that a shard's owner has told.
type ownerStatus struct {
	known           bool // an owner has told anything
	token, seq      uint64
	heardAt         time.Duration
	respondingSince time.Duration // when this owner was first heard, without a gap
}

// isFresh reports whether the owner has been heard lately.
func (o *ownerStatus) isFresh(now time.Duration) bool {
	return o.known && now-o.heardAt < tuning.StatusStaleAfter
}

// isLate reports whether a message was held back on its way, so that a newer one is known.
func (o *ownerStatus) isLate(message *ShardStatus) bool {
	return o.known && (message.Token < o.token || (message.Token == o.token && message.Seq <= o.seq))
}

// follows reports whether no message is missing before this one.
func (o *ownerStatus) follows(message *ShardStatus) bool {
	return message.Full || o.known && o.token == message.Token && message.Seq == o.seq+1
}

// observe takes in that a message has come.
func (o *ownerStatus) observe(message *ShardStatus, now time.Duration) {
	since := o.respondingSince
	if !o.known || o.token != message.Token || now-o.heardAt > tuning.StatusStaleAfter {
		since = now
	}
	*o = ownerStatus{known: true, token: message.Token, seq: message.Seq, heardAt: now, respondingSince: since}
}

// HandleStatus takes an owner's status message in, and returns the reply. Machines in it that
// were not rented in this term are adopted.
func (f *Fleet) HandleStatus(message *ShardStatus) StatusReply {
	var reply StatusReply
	now := f.runtime.Now()
	shard := &f.shards[message.Shard]
	if shard.owner.isLate(message) {
		// A machine in it, released long ago, counted as room for ever: nothing was rented
		// for tasks that waited for it.
		return reply
	}
	if shard.owner.follows(message) {
		shard.owner.observe(message, now)
	} else {
		reply.Full = true // what it tells is true, but something is missing
	}
	for _, zone := range message.ReachableZones {
		f.zones.heardAt[zone] = now
	}
	// A message whose reply is lost is followed by a full one, which asks for these anew.
	reply.Released, shard.unreportedReleases = shard.unreportedReleases, nil
	reported := f.observeMachines(message, &reply)
	if message.Full && !f.term.listed {
		reply.Full = true // tell all once more, when the machines are known
	}
	f.addInstructions(&reply, message.Shard, reported)
	return reply
}

// observeMachines takes the machines of a message in, and tells the owner which of them are
// gone. Of a full message it returns which machines have reported to the owner, else nil.
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

// observeMachine takes in what an owner tells of a machine.
func (f *Fleet) observeMachine(status *MachineStatus, shard int) {
	now := f.runtime.Now()
	machine := f.machines.byID[status.ID]
	if machine == nil {
		if !status.HasReported {
			return // known from a record only
		}
		machine = newMachine(status.ID, shard, MachineKind{}, now)
		f.machines.byID[status.ID] = machine
	}
	if status.HasReported {
		machine.address, machine.kind = status.Addr, MachineKind{status.MachineType, status.Zone, status.Spot}
	}
	// A new owner knows some machines from their records only, until they report to it:
	// that makes none of them one that never booted.
	machine.status, machine.reported = *status, machine.reported || status.HasReported
	machine.idleSince = now - time.Duration(status.IdleMS)*time.Millisecond
	if status.ReleaseReason != "" && !machine.isSilent() { // evaluateMachines sees to silent ones
		f.requestRelease(machine, status.ReleaseReason)
	}
}

// addInstructions tells a shard's owner of machines that it has not heard of, and which to
// keep tasks off. reported are the machines that have reported to it, after a full message,
// else nil.
func (f *Fleet) addInstructions(reply *StatusReply, shard int, reported map[string]bool) {
	for id, m := range f.machines.byID {
		switch {
		case m.shard != shard:
		case reported != nil && !reported[id]:
			m.status.AcceptsTasks = false // it has not reported to this owner yet
			if m.address != "" && !m.release.requested && !m.listing.booting {
				reply.Machines = append(reply.Machines, MachineAddress{id, m.address})
			}
		case m.drainReason != "" && m.reported && m.status.AcceptsTasks:
			reply.Drain = append(reply.Drain, id)
		}
	}
}
