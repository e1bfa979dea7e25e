package controller

import (
	"time"

	"lemonmoor/internal/agents"
	"lemonmoor/internal/block"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/placement"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/work"
)

// owner is what a node keeps for a block that it owns.
type owner struct {
	node    *Node
	block   int
	token   uint64
	shelf   *block.Shelf
	table   *agents.Table
	planner *placement.Planner

	lastRound time.Duration
	rounding  bool
	wanted    bool // a placement round is due

	seq    uint64 // of the digests
	told   map[string]fleet.HostState
	untold bool // a digest may not have arrived
}

// Token, Valid, Answering and Renew are the block's lease, as the table sees it.
func (o *owner) Token() uint64 { return o.token }

// Valid tells whether the lease surely holds now.
func (o *owner) Valid() bool { return o.token != 0 && o.node.office.Valid() }

// Answering tells whether reports are taken in.
func (o *owner) Answering() bool { return o.node.answering(o) }

// Fresh tells whether a job not known to be cancelled is proven not to have been at
// or after a moment, and lately; if not, a proof is asked for.
func (o *owner) Fresh(since time.Duration) bool { return o.node.fresh(since) }

// AnsweredBefore is when the last earlier owner stops answering, at the latest.
func (o *owner) AnsweredBefore() time.Duration { return o.node.office.AnsweredBefore(o.block) }

// Renew asks for a new token.
func (o *owner) Renew() { o.node.office.Renew(o.block) }

func newOwner(n *Node, number int) *owner {
	o := &owner{node: n, block: number, told: map[string]fleet.HostState{}}
	o.shelf = block.NewShelf(n.rt, n.led, n.office, n.cat, n.store, n.set, n.log, number)
	o.table = agents.NewTable(n.rt, o, o.shelf, n.set, n.log)
	o.planner = placement.New(n.set.WaitBound())
	o.shelf.Waiting = o.arrive
	o.shelf.Launchable = o.table.Launchable
	o.shelf.Discard = o.table.Discard
	o.shelf.Done = o.table.Done
	o.shelf.Cancel = o.table.Cancel
	o.shelf.Loaded = o.table.Begin
	o.table.Waiting = o.arrive
	o.table.Type = n.fleet.Type
	o.planner.Open = o.table.Open
	o.planner.Find = o.table.Get
	o.planner.Place = o.table.Place
	o.planner.Prompt = n.set.Prompt
	o.planner.Rerank = func(j *work.Job, wallMS int64) bool {
		return j.Rank.Update(j.Desc, n.set, wallMS, j.Open())
	}
	return o
}

func (o *owner) arrive(t *work.Task) {
	if t.Job.Gang != nil && t.Job.Spent() {
		o.shelf.Recall(t.Job.Desc.ID, len(t.Job.Tasks)) // the leader divides it anew
		return
	}
	o.planner.Arrive(t, o.node.rt.Now())
	o.wanted = true
}

// begin starts to act under a new token.
func (o *owner) begin(token uint64) {
	o.token, o.untold = token, true
	o.planner.Reset()
	o.table.End()
	o.shelf.Begin(token)
}

func (o *owner) end() {
	o.token = 0
	o.shelf.End()
	o.planner.Reset()
	o.table.End()
}

// pause is the time between two placement rounds.
func (o *owner) pause() time.Duration {
	return tuning.RoundPause + time.Duration(len(o.table.All()))*tuning.RoundPerMachine
}

// settle takes the decisions that a batch of commands has made necessary.
func (o *owner) settle() {
	if o.token == 0 || !o.shelf.IsLoaded() {
		return
	}
	if o.wanted && o.Valid() && !o.rounding {
		now := o.node.rt.Now()
		if wait := o.lastRound + o.pause() - now; wait > 0 && o.lastRound > 0 {
			o.rounding = true
			o.node.rt.After(wait, func() { o.rounding = false })
		} else {
			o.wanted, o.lastRound = false, now
			o.planner.Round(o.table.All(), now, o.node.rt.Wall())
		}
	}
	o.shelf.Flush()
	o.table.Settle()
}

// digest is the owner's word to the leader: of all machines when the word
// before may not have arrived, else of those of which something has changed.
func (o *owner) digest() *fleet.Digest {
	now := o.node.rt.Now()
	hosts := o.table.All()
	o.seq++
	d := &fleet.Digest{Node: o.node.set.Node, Block: o.block, Token: o.token, Seq: o.seq, Full: o.untold, Lit: o.table.Lit()}
	if o.untold {
		clear(o.told)
	}
	up, quiet := 0, 0
	for _, h := range hosts {
		if h.Up {
			up++
		}
		if o.table.Quiet(h) {
			quiet++
		}
	}
	for _, h := range hosts {
		s := fleet.HostState{ID: h.ID, Addr: h.Addr, Build: h.Build, Zone: h.Zone, Spot: h.Spot, Up: h.Up,
			Open: o.table.Open(h), Busy: len(h.Tasks)+h.Stray > 0, Back: o.table.GiveBack(h, quiet, up)}
		if o.told[h.ID] == s {
			continue
		}
		o.told[h.ID] = s
		if !s.Busy {
			s.IdleMS = (now - h.Idle).Milliseconds()
		}
		d.Hosts = append(d.Hosts, s)
	}
	o.untold = true // until its answer is in
	return d
}

// obey carries out the leader's answer to a digest.
func (o *owner) obey(r *fleet.Reply) {
	o.untold = r.Full
	for _, id := range r.Returned {
		o.table.Returned(id)
		delete(o.told, id)
	}
	for _, m := range r.Machines {
		o.table.Greet(m.ID, m.Addr)
	}
	for _, id := range r.Drain {
		o.table.Drain(id, "idle")
	}
	for _, c := range r.Recall {
		o.shelf.Recall(c.Job, c.Number)
	}
	o.wanted = true
}
