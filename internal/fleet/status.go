package fleet

import (
	"time"

	"lemonmoor/internal/tuning"
)

// ownerStatus is the newest that a block's owner has told.
type ownerStatus struct {
	token, seq uint64
	heardAt    time.Duration
	since      time.Duration // when this owner was first heard, without a gap
	known      bool
}

// MachineStatus is what a block's owner tells of a machine.
type MachineStatus struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"`
	MachineType   string `json:"build"`
	Zone          string `json:"zone"`
	Spot          bool   `json:"spot"`
	HasReported   bool   `json:"up"`   // its worker has reported
	AcceptsTasks  bool   `json:"open"` // takes tasks
	IdleMS        int64  `json:"idleMs,omitempty"`
	Busy          bool   `json:"busy,omitempty"` // has, or may have, tasks
	ReleaseReason string `json:"back,omitempty"` // why it should be returned now
}

// ShardStatus is an owner's status message on its block: all machines, or those of which
// something has changed since the message before.
type ShardStatus struct {
	Node           string          `json:"node"`
	Shard          int             `json:"block"`
	Token          uint64          `json:"token"`
	Seq            uint64          `json:"seq"`
	Full           bool            `json:"full,omitempty"`
	ReachableZones []string        `json:"lit,omitempty"` // zones that it has heard from just now
	Hosts          []MachineStatus `json:"hosts"`
}

// Recall asks an owner to give waiting tasks of a job back.
type Recall struct {
	Job   string `json:"job"`
	Tasks int    `json:"number"`
}

// MachineAddress is where a machine's worker takes orders.
type MachineAddress struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// StatusReply is the leader's answer to a status message.
type StatusReply struct {
	Full  bool     `json:"full,omitempty"` // a message is missing: send all
	Drain []string `json:"drain,omitempty"`
	// Machines are those that the owner has not heard of, to a full status message.
	Machines []MachineAddress `json:"machines,omitempty"`
	Released []string         `json:"returned,omitempty"` // gone, with all on them
	Recall   []Recall         `json:"recall,omitempty"`
}

// hasFreshStatus tells whether the owner's status of a machine is new enough. Messages come
// every second, whatever the workers' pace.
func (f *Fleet) hasFreshStatus(m *machine) bool {
	w := &f.statuses[m.shard]
	return m.reported && w.known && f.runtime.Now()-w.heardAt < tuning.StatusStaleAfter
}

// HandleStatus takes an owner's status message. Machines in it that were not rented in this
// term are adopted.
func (f *Fleet) HandleStatus(d *ShardStatus) StatusReply {
	var r StatusReply
	now := f.runtime.Now()
	w := &f.statuses[d.Shard]
	if w.known && (d.Token < w.token || (d.Token == w.token && d.Seq <= w.seq)) {
		// Held back on its way. A machine in it, returned long ago, counted as
		// room for ever: nothing was rented for tasks that waited for it.
		return r
	}
	if !d.Full && (!w.known || w.token != d.Token || d.Seq != w.seq+1) {
		r.Full = true // what it tells is true, but something is missing
	} else {
		since := w.since
		if !w.known || w.token != d.Token || now-w.heardAt > tuning.StatusStaleAfter {
			since = now
		}
		*w = ownerStatus{d.Token, d.Seq, now, since, true}
	}
	for _, zone := range d.ReachableZones {
		f.zoneHeardAt[zone] = now
	}
	// A message whose answer is lost is followed by a full one, which asks for
	// these anew.
	r.Released, f.unreportedReleases[d.Shard] = f.unreportedReleases[d.Shard], nil
	var there map[string]bool
	if d.Full {
		there = make(map[string]bool, len(d.Hosts))
	}
	for _, s := range d.Hosts {
		if there != nil {
			there[s.ID] = s.HasReported
		}
		if _, gone := f.releasedAt[s.ID]; gone {
			r.Released = append(r.Released, s.ID)
			continue
		}
		f.observeMachine(s, d.Shard)
	}
	if d.Full && !f.listed {
		r.Full = true // tell all once more, when the machines are known
	}
	f.addInstructions(&r, d.Shard, there)
	return r
}

// observeMachine takes in what an owner tells of a machine.
func (f *Fleet) observeMachine(s MachineStatus, block int) {
	now := f.runtime.Now()
	m := f.machines[s.ID]
	if m == nil {
		if !s.HasReported {
			return // known from a record only
		}
		m = &machine{id: s.ID, rentedAt: now, shard: block}
		f.machines[s.ID] = m
	}
	if s.HasReported {
		m.address, m.kind = s.Addr, MachineKind{s.MachineType, s.Zone, s.Spot}
	}
	// A new owner knows some machines from their records only, until
	// they report to it: that makes none of them one that never booted.
	m.status, m.reported = s, m.reported || s.HasReported
	m.idleSince = now - time.Duration(s.IdleMS)*time.Millisecond
	if s.ReleaseReason != "" && !m.isSilent() { // judge sees to those
		f.returnMachine(m, s.ReleaseReason)
	}
}

// addInstructions tells a block's owner of machines that it has not heard of, there being those
// in a full message and nil otherwise, and which to keep tasks off.
func (f *Fleet) addInstructions(r *StatusReply, block int, there map[string]bool) {
	for id, m := range f.machines {
		switch {
		case m.shard != block:
		case there != nil && !there[id]:
			m.status.AcceptsTasks = false // it has not reported to this owner yet
			if m.address != "" && !m.returning && !m.booting {
				r.Machines = append(r.Machines, MachineAddress{id, m.address})
			}
		case m.drainReason != "" && m.reported && m.status.AcceptsTasks:
			r.Drain = append(r.Drain, id)
		}
	}
}
