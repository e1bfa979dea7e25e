package ledger

import (
	"encoding/json"
	"log/slog"
	"time"

	"lemonmoor/internal/engine"
	"lemonmoor/internal/tuning"
)

// Keys of the leases. One prefix, so that one watch sees them all.
const (
	leasePrefix = "lease/"
	// LeadKey is the lease of the leader.
	LeadKey = leasePrefix + "lead"
	// BlockKey is the lease of the block of machines.
	BlockKey = leasePrefix + "block/" + tuning.Block
)

// holder is the value of a lease key.
type holder struct {
	Node  string `json:"node"`
	Nonce uint64 `json:"nonce"` // of the process: a restarted node is another holder
}

// Office runs for the leases and holds them. The block's key is set only at
// takeover and when a new token is wanted, so its stamp is the token; renewal
// touches the grant alone.
type Office struct {
	// Won is called when this process holds the office with a new token.
	Won func(token uint64)
	// Lost is called when it holds it no more.
	Lost func()

	rt    engine.Runtime
	led   *Client
	log   *slog.Logger
	node  string
	nonce uint64
	rank  int // spreads the nodes' tries
	row   *Mirror

	leader  string // node that holds the lead lease, "" if none
	leadBy  uint64
	stamps  map[string]uint64
	holders map[string]holder

	permit   uint64
	valid    time.Duration // end of the grant's surely valid time
	touching bool
	running  bool // a takeover is under way
	token    uint64
	abstain  time.Duration
	asking   bool
}

// NewOffice returns an office for a node; nonce differs for every process.
func NewOffice(rt engine.Runtime, led *Client, log *slog.Logger, node string, nonce uint64, rank int) *Office {
	o := &Office{rt: rt, led: led, log: log, node: node, nonce: nonce, rank: rank,
		stamps: map[string]uint64{}, holders: map[string]holder{}}
	o.row = NewMirror(rt, led, leasePrefix)
	o.row.Reset = func() {
		clear(o.stamps)
		clear(o.holders)
	}
	o.row.Ready = o.look
	o.row.Apply = o.apply
	return o
}

// Start begins to run for the office.
func (o *Office) Start() {
	o.row.Start()
	o.renew()
}

// Token is the token of the office, 0 when it is not held.
func (o *Office) Token() uint64 { return o.token }

// Leader names the node that was last seen to hold the lead.
func (o *Office) Leader() string { return o.leader }

// Valid tells whether the office is surely held now.
func (o *Office) Valid() bool { return o.token != 0 && o.rt.Now() < o.valid }

// ValidUntil is the end of the surely valid time.
func (o *Office) ValidUntil() time.Duration { return o.valid }

func (o *Office) apply(key string, value json.RawMessage, stamp uint64) {
	if value == nil {
		delete(o.stamps, key)
		delete(o.holders, key)
	} else {
		var h holder
		if err := json.Unmarshal(value, &h); err != nil {
			o.log.Warn("lease value does not parse", "key", key, "err", err)
			h = holder{}
		}
		o.stamps[key], o.holders[key] = stamp, h
	}
	if o.row.IsReady() {
		o.look()
	}
}

// look compares the lease keys with what this process believes.
func (o *Office) look() {
	o.leader = o.holders[LeadKey].Node
	mine := o.holders[BlockKey] == holder{o.node, o.nonce} && o.holders[LeadKey] == holder{o.node, o.nonce}
	switch {
	case mine && o.token < o.stamps[BlockKey]:
		o.win(o.stamps[BlockKey])
	case !mine && o.token != 0 && o.stamps[BlockKey] != o.token:
		// A row older than the token is the watch lagging behind the commit
		// that won the office.
		if s, ok := o.stamps[BlockKey]; (ok && s > o.token) || (!ok && o.row.epoch >= o.token) {
			o.lose("lease taken by another")
		}
	}
	if !mine && o.token == 0 {
		o.run()
	}
}

func (o *Office) win(token uint64) {
	o.log.Info("office won", "token", token)
	o.token = token
	o.leader = o.node
	o.Won(token)
}

func (o *Office) lose(why string) {
	if o.token == 0 {
		return
	}
	o.log.Info("office lost", "token", o.token, "why", why)
	o.token = 0
	o.Lost()
}

// run tries to take the office if it is free, or held by an earlier process
// of this node.
func (o *Office) run() {
	if o.running || o.permit == 0 || !o.row.IsReady() || o.rt.Now() < o.abstain || o.rt.Now() >= o.valid {
		return
	}
	for _, key := range []string{LeadKey, BlockKey} {
		if h, held := o.holders[key]; held && (h.Node != o.node || h.Nonce == o.nonce) {
			return
		}
	}
	o.running = true
	pause := time.Duration(float64(tuning.ElectionJitter) * (float64(o.rank) + o.rt.Rand()))
	o.rt.After(pause, func() { o.take(false) })
}

// take commits the lease keys. again: the office is held and a new token is
// wanted.
func (o *Office) take(again bool) {
	o.running = true
	if !again {
		for _, key := range []string{LeadKey, BlockKey} {
			if h, held := o.holders[key]; held && (h.Node != o.node || h.Nonce == o.nonce) {
				o.running = false
				return
			}
		}
	}
	value, err := json.Marshal(holder{o.node, o.nonce})
	if err != nil {
		o.log.Error("lease value does not encode", "err", err)
		return
	}
	permit := o.permit
	o.led.Commit(
		[]Guard{{LeadKey, o.stamps[LeadKey]}, {BlockKey, o.stamps[BlockKey]}},
		[]Change{{Set: LeadKey, Value: value, Permit: permit}, {Set: BlockKey, Value: value, Permit: permit}},
		func(r Result) {
			o.running = false
			switch r.Outcome {
			case OK:
				for _, key := range []string{LeadKey, BlockKey} {
					o.stamps[key], o.holders[key] = max(o.stamps[key], r.Epoch), holder{o.node, o.nonce}
				}
				if permit == o.permit && r.Epoch > o.token {
					o.win(r.Epoch)
				}
			case Invalid:
				if permit == o.permit {
					o.expired()
				}
			case Conflict:
				if again {
					o.lose("token renewal met a newer lease")
				}
				// The watch tells who has it.
				o.rt.After(o.led.Backoff(1), o.look)
			default:
				// If it was carried out, the watch shows it. Until then the
				// guards keep a second try from doing harm.
				o.rt.After(o.led.Backoff(1), func() {
					if again && o.token != 0 {
						o.take(true)
					} else {
						o.look()
					}
				})
			}
		})
}

// Renew asks for a new token of the office held: what was ordered under the
// old one is void wherever the new one has been seen.
func (o *Office) Renew() {
	if o.token == 0 || o.running {
		return
	}
	o.take(true)
}

// Dispossessed says that a guard on the office's key failed.
func (o *Office) Dispossessed() {
	o.lose("guard on the lease failed")
	o.rt.After(o.led.Backoff(1), o.look)
}

// StepDown gives the office up and leaves it to others for a while.
func (o *Office) StepDown(why string) {
	if o.token == 0 {
		return
	}
	permit := o.permit
	o.abstain = o.rt.Now() + tuning.AbstainAfterStepDown
	o.permit, o.valid = 0, 0
	o.lose(why)
	o.led.Drop(permit, func(Outcome) {})
}

func (o *Office) expired() {
	o.permit, o.valid = 0, 0
	o.lose("grant expired")
}

// renew keeps the grant alive, or asks for one. Validity counts from before
// the request.
func (o *Office) renew() {
	again := func(d time.Duration) { o.rt.After(d, o.renew) }
	asked := o.rt.Now()
	until := asked + tuning.LeaseTTL - tuning.LeaseTTL*tuning.DriftPerMille/1000 - tuning.LeaseMargin
	if o.permit == 0 {
		o.led.Grant(tuning.LeaseTTL, func(permit uint64, out Outcome) {
			if out != OK {
				again(tuning.LeaseRetry)
				return
			}
			o.permit, o.valid = permit, until
			o.look()
			again(tuning.LeaseTouch)
		})
		return
	}
	permit := o.permit
	o.led.Touch(permit, func(out Outcome) {
		switch {
		case permit != o.permit:
			again(tuning.LeaseRetry)
		case out == OK:
			o.valid = max(o.valid, until)
			if o.row.IsReady() {
				o.look()
			}
			again(tuning.LeaseTouch)
		case out == Gone:
			o.expired()
			again(0)
		default:
			again(tuning.LeaseRetry)
		}
	})
}
