package statestore

import (
	"encoding/json"
	"log/slog"
	"sort"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/tuning"
)

// Keys of the leases. They share one prefix, so that one watch sees them all.
const (
	leasePrefix = "lease/"
	nodePrefix  = leasePrefix + "node/"
	blockPrefix = leasePrefix + "block/"
	// LeaderKey is the lease of the leader.
	LeaderKey = leasePrefix + "lead"
)

// ShardKey is the lease of a block of machines.
func ShardKey(block int) string { return blockPrefix + strconv.Itoa(block) }

// holder is the value of a lease key. A restarted node is another holder: its
// nonce differs.
type holder struct {
	Node  string `json:"node"`
	Nonce uint64 `json:"nonce"`
	// Of a node's own entry: the grant that leases given to it hang on, and
	// whether it wants none now.
	Permit uint64 `json:"permit,omitempty"`
	Unfit  bool   `json:"unfit,omitempty"`
}

func (h holder) is(node string, nonce uint64) bool { return h.Node == node && h.Nonce == nonce }

// LeaseObserver is told, on the event loop, which leases this process acquires and loses.
type LeaseObserver interface {
	// LeadershipAcquired tells that this process leads under a fencing token.
	LeadershipAcquired(token uint64)
	// LeadershipLost tells that it leads no longer.
	LeadershipLost()
	// ShardAcquired tells that this process owns a shard under a fencing token. It is also
	// called when the token of a shard already owned is replaced.
	ShardAcquired(shard int, token uint64)
	// ShardLost tells that it owns the shard no longer.
	ShardLost(shard int)
}

// LeaseConfig is what a lease manager needs to know.
type LeaseConfig struct {
	// Node names this node.
	Node string
	// Nonce differs for every process.
	Nonce uint64
	// Rank differs for every node of the deployment, from 0 on; it spreads their attempts
	// to become the leader.
	Rank int
	// ShardCount is the number of shards.
	ShardCount int
	// AnswerGracePeriod is how long after the end of its lease an owner goes on answering
	// workers.
	AnswerGracePeriod time.Duration
	// Observer is told of what this process acquires and loses.
	Observer LeaseObserver
}

// LeaseManager runs for the lead and holds leases. A lease key is set when it is
// given or when a new token is wanted, never to renew it, so its stamp is the
// token; renewal touches the node's one grant. What this process holds it
// learns from the watch alone, so that it sees all changes in their order.
type LeaseManager struct {
	observer          LeaseObserver
	answerGracePeriod time.Duration // see LeaseConfig

	rt     eventloop.Runtime
	state  *Client
	log    *slog.Logger
	node   string
	nonce  uint64
	rank   int // spreads the nodes' tries
	blocks int
	row    *Mirror

	stamps  map[string]uint64
	holders map[string]holder

	permit  uint64
	valid   time.Duration // end of the grant's surely valid time
	lead    uint64        // token of the lead, 0 if not held
	leadAt  time.Duration
	held    map[int]uint64 // tokens of the blocks held
	busy    map[string]bool
	unfit   time.Duration         // no blocks before
	waived  map[int]uint64        // tokens under which nothing is answered any more, see RelinquishShards
	before  map[int]time.Duration // see PreviousOwnerAnswersUntil
	settled time.Duration         // last change of the blocks' owners
}

// NewLeaseManager returns the lease manager of a node.
func NewLeaseManager(rt eventloop.Runtime, state *Client, log *slog.Logger, config LeaseConfig) *LeaseManager {
	o := &LeaseManager{
		rt: rt, state: state, log: log, node: config.Node, nonce: config.Nonce, rank: config.Rank, blocks: config.ShardCount,
		observer: config.Observer, answerGracePeriod: config.AnswerGracePeriod,
		stamps: map[string]uint64{}, holders: map[string]holder{},
		held: map[int]uint64{}, busy: map[string]bool{}, waived: map[int]uint64{}, before: map[int]time.Duration{},
	}
	o.row = NewMirror(rt, state, leasePrefix, MirrorHandler{Reset: o.reset, Apply: o.apply, Updated: o.look})
	return o
}

func (o *LeaseManager) reset(rows []KeyValue) {
	clear(o.stamps)
	clear(o.holders)
	held := map[string]bool{}
	for _, r := range rows {
		held[r.Key] = true
	}
	for b := range o.blocks { // how its holder came to it is not known
		o.answered(b, held[ShardKey(b)])
	}
}

// Start begins to run for the lead.
func (o *LeaseManager) Start() {
	o.row.Start()
	o.renew()
	o.tick()
}

func (o *LeaseManager) tick() {
	if o.row.IsReady() {
		o.look()
	}
	o.rt.After(time.Second, o.tick)
}

// LeaderToken is the token of the lead, 0 when it is not held.
func (o *LeaseManager) LeaderToken() uint64 { return o.lead }

// ShardToken is the token of a block, 0 when it is not held.
func (o *LeaseManager) ShardToken(block int) uint64 { return o.held[block] }

// LeaderNode names the node that was last seen to hold the lead.
func (o *LeaseManager) LeaderNode() string { return o.holders[LeaderKey].Node }

// ShardOwner names the node that was last seen to hold a block.
func (o *LeaseManager) ShardOwner(block int) string { return o.holders[ShardKey(block)].Node }

// LeaseValid tells whether what is held is surely held now.
func (o *LeaseManager) LeaseValid() bool { return o.permit != 0 && o.rt.Now() < o.valid }

// answered notes that a block's holder has changed by now. The one before goes on
// answering for the hold if its lease has run out; if the block was taken from it
// while it held it, until its copy of the leases is too old, see AnswersUntil.
func (o *LeaseManager) answered(block int, taken bool) {
	until := o.rt.Now() + o.answerGracePeriod
	if taken {
		until += tuning.LeaseTTL
	}
	o.before[block] = max(o.before[block], until)
}

// PreviousOwnerAnswersUntil is the moment after which no earlier owner of a block answers a
// worker any more. The holder's own renewals do not move it.
func (o *LeaseManager) PreviousOwnerAnswersUntil(block int) time.Duration { return o.before[block] }

// AnswersUntil is how long an owner may answer workers under what it holds: for a
// hold past its lease, so that a short outage ends no task, but no longer than its
// copy of the leases is young enough. The grant's renewal alone proves too little:
// a block may be another's while this process's watch tells it nothing.
func (o *LeaseManager) AnswersUntil() time.Duration {
	proven, known := o.row.VerifiedAt()
	if !known {
		return 0
	}
	return min(o.valid, proven+tuning.LeaseTTL) + o.answerGracePeriod
}

// VerifyIfStale has the copy of the leases shown to be current if that was long ago.
func (o *LeaseManager) VerifyIfStale() { o.row.VerifyIfOlder(tuning.KnowledgeVerifyInterval) }

func (o *LeaseManager) apply(key string, value json.RawMessage, stamp uint64) {
	block, isBlock := -1, false
	if number, ok := strings.CutPrefix(key, blockPrefix); ok {
		o.settled = o.rt.Now()
		if b, err := strconv.Atoi(number); err == nil && b >= 0 && b < o.blocks {
			block, isBlock = b, true
		}
	}
	if value == nil {
		delete(o.stamps, key)
		delete(o.holders, key)
		if isBlock {
			o.answered(block, false)
		}
		return
	}
	var h holder
	if err := json.Unmarshal(value, &h); err != nil {
		o.log.Warn("lease value does not parse", "key", key, "err", err)
	}
	if was, held := o.holders[key]; isBlock && held && !was.is(h.Node, h.Nonce) {
		o.answered(block, true)
	}
	o.stamps[key], o.holders[key] = stamp, h
}

// look compares the lease keys with what this process believes.
func (o *LeaseManager) look() {
	mine := func(key string) uint64 {
		if o.permit != 0 && o.holders[key].is(o.node, o.nonce) {
			return o.stamps[key]
		}
		return 0
	}
	if token := mine(LeaderKey); token != o.lead {
		was := o.lead
		o.lead = token
		if was != 0 {
			o.log.Info("lead lost", "token", was)
			o.observer.LeadershipLost()
		}
		if token != 0 {
			o.log.Info("lead won", "token", token)
			o.leadAt = o.rt.Now()
			o.observer.LeadershipAcquired(token)
		}
	}
	for b := range o.blocks {
		token := mine(ShardKey(b))
		was := o.held[b]
		if token == was {
			continue
		}
		if token == 0 {
			delete(o.held, b)
			o.log.Info("block lost", "block", b, "token", was)
			o.observer.ShardLost(b)
			continue
		}
		o.held[b] = token
		o.log.Info("block won", "block", b, "token", token)
		o.observer.ShardAcquired(b, token)
	}
	if !o.LeaseValid() || !o.row.IsReady() {
		return
	}
	for b := range o.held {
		if !o.Relinquished(b) {
			continue
		}
		if o.rt.Now() < o.unfit {
			o.release() // refused, or its answer was lost
			break
		}
		o.RenewToken(b) // to give it up has failed, as far as one can tell
	}
	o.enrol()
	o.run()
	o.retake()
	if o.lead != 0 {
		o.assign()
	}
}

// commit sends lease changes, one at a time for a purpose; the watch shows
// what came of them. Repeats do no harm: the guards fail.
func (o *LeaseManager) commit(purpose string, guards []Condition, apply []Operation) {
	o.busy[purpose] = true
	permit := o.permit
	o.state.Commit(guards, apply, func(r CommitResult) {
		if r.Outcome == OutcomeInvalid && permit == o.permit {
			o.log.Info("lease change refused", "purpose", purpose)
		}
		wait := o.state.Backoff(1)
		if r.Outcome == OutcomeOK {
			wait = tuning.MinStateBackoff // time for the watch
		}
		o.rt.After(wait, func() {
			delete(o.busy, purpose)
			o.look()
		})
	})
}

func (o *LeaseManager) value(h holder) json.RawMessage {
	raw, err := json.Marshal(h)
	if err != nil {
		o.log.Error("lease value does not encode", "err", err)
		return json.RawMessage("{}")
	}
	return raw
}

// enrol keeps the node's own entry current.
func (o *LeaseManager) enrol() {
	key := nodePrefix + o.node
	want := holder{o.node, o.nonce, o.permit, o.rt.Now() < o.unfit}
	if o.holders[key] == want || o.busy["enrol"] {
		return
	}
	o.commit("enrol", nil, []Operation{{PutKey: key, Value: o.value(want), LeaseID: o.permit}})
}

// run tries for the lead if it is free, or held by an earlier process of this
// node.
func (o *LeaseManager) run() {
	h, taken := o.holders[LeaderKey]
	if (taken && (h.Node != o.node || h.Nonce == o.nonce)) || o.busy["lead"] {
		return
	}
	o.busy["lead"] = true
	pause := time.Duration(float64(tuning.ElectionJitter) * (float64(o.rank) + o.rt.Rand()))
	o.rt.After(pause, func() {
		delete(o.busy, "lead")
		h, taken := o.holders[LeaderKey]
		if !o.LeaseValid() || (taken && (h.Node != o.node || h.Nonce == o.nonce)) {
			return
		}
		o.commit("lead", []Condition{{LeaderKey, o.stamps[LeaderKey]}},
			[]Operation{{PutKey: LeaderKey, Value: o.value(holder{Node: o.node, Nonce: o.nonce}), LeaseID: o.permit}})
	})
}

// retake takes back the blocks of an earlier process of this node: it is dead,
// and under the new token nothing of it counts.
func (o *LeaseManager) retake() {
	if o.rt.Now() < o.unfit || o.busy["retake"] {
		return
	}
	var guards []Condition
	var apply []Operation
	for b := range o.blocks {
		key := ShardKey(b)
		if h, ok := o.holders[key]; ok && h.Node == o.node && h.Nonce != o.nonce {
			guards = append(guards, Condition{key, o.stamps[key]})
			apply = append(apply, Operation{PutKey: key, Value: o.value(holder{Node: o.node, Nonce: o.nonce}), LeaseID: o.permit})
		}
	}
	if n := min(len(apply), o.state.MaxOperations()); n > 0 {
		o.commit("retake", guards[:n], apply[:n])
	}
}

// assign leases the blocks that nobody holds, and now and then moves one from
// a controller with many to one with few.
func (o *LeaseManager) assign() {
	if o.busy["assign"] || o.rt.Now() < o.leadAt+tuning.FirstAssignmentDelay {
		return
	}
	load, nodes := o.candidates()
	if len(nodes) == 0 {
		return
	}
	least := func() string {
		best := nodes[0]
		for _, n := range nodes {
			if load[n] < load[best] {
				best = n
			}
		}
		return best
	}
	var free []int
	for b := range o.blocks {
		h, ok := o.holders[ShardKey(b)]
		if !ok {
			free = append(free, b)
			continue
		}
		load[h.Node]++
	}
	if len(free) == 0 && o.rt.Now() > o.settled+tuning.ShardRebalanceDelay {
		to := least()
		for b := range o.blocks {
			if from := o.holders[ShardKey(b)].Node; load[from] > load[to]+1 {
				free = append(free, b)
				break
			}
		}
	}
	if len(free) == 0 {
		return
	}
	free = free[:min(len(free), o.state.MaxOperations())]
	guards := []Condition{{LeaderKey, o.lead}}
	var apply []Operation
	for _, b := range free {
		to := least()
		load[to]++
		entry := o.holders[nodePrefix+to]
		guards = append(guards, Condition{ShardKey(b), o.stamps[ShardKey(b)]})
		apply = append(apply, Operation{PutKey: ShardKey(b), Value: o.value(holder{Node: entry.Node, Nonce: entry.Nonce}), LeaseID: entry.Permit})
	}
	o.commit("assign", guards, apply)
}

// candidates lists the nodes that may be given blocks, the leader last, since it has
// enough to do, and makes an entry for the load of each.
func (o *LeaseManager) candidates() (load map[string]int, nodes []string) {
	load = map[string]int{}
	for key, h := range o.holders {
		if strings.HasPrefix(key, nodePrefix) && !h.Unfit && h.Permit != 0 {
			load[h.Node] = 0
			nodes = append(nodes, h.Node)
		}
	}
	sort.Slice(nodes, func(i, k int) bool {
		if a, b := nodes[i] == o.node, nodes[k] == o.node; a != b {
			return b
		}
		return nodes[i] < nodes[k]
	})
	return load, nodes
}

// RenewToken asks for a new token of a block held: what was ordered under the old
// one is void wherever the new one has been seen, and late commits fail.
func (o *LeaseManager) RenewToken(block int) {
	purpose := "renew" + strconv.Itoa(block)
	token := o.held[block]
	if token == 0 || o.busy[purpose] {
		return
	}
	key := ShardKey(block)
	o.commit(purpose, []Condition{{key, token}},
		[]Operation{{PutKey: key, Value: o.value(holder{Node: o.node, Nonce: o.nonce}), LeaseID: o.permit}})
}

// Refresh looks at the leases at once: a guard on one of them has failed.
func (o *LeaseManager) Refresh(fn func()) {
	o.row.Verify(func(error) { fn() })
}

// Relinquished tells whether nothing may be answered any more under a block's token: it
// is being given up, and the next owner may begin before this process hears of it.
func (o *LeaseManager) Relinquished(block int) bool {
	return o.held[block] != 0 && o.waived[block] == o.held[block]
}

// RelinquishShards returns all blocks and takes none for a while: no worker reaches this
// node.
func (o *LeaseManager) RelinquishShards() {
	if len(o.held) == 0 || o.busy["give up"] {
		return
	}
	for b, token := range o.held {
		o.waived[b] = token
	}
	o.log.Info("giving up blocks: no worker reaches this node")
	o.unfit = o.rt.Now() + tuning.AbstainAfterStepDown
	o.release()
}

// release commits that the blocks given up are free.
func (o *LeaseManager) release() {
	if o.busy["give up"] {
		return
	}
	want := holder{o.node, o.nonce, o.permit, true}
	var guards []Condition
	apply := []Operation{{PutKey: nodePrefix + o.node, Value: o.value(want), LeaseID: o.permit}}
	purpose := "give up"
	for b, token := range o.held {
		if !o.Relinquished(b) {
			continue
		}
		if len(apply) == o.state.MaxOperations() {
			o.commit(purpose, guards, apply)
			purpose, guards, apply = "give up "+strconv.Itoa(b), nil, nil
		}
		guards = append(guards, Condition{ShardKey(b), token})
		apply = append(apply, Operation{DeleteKey: ShardKey(b)})
	}
	o.commit(purpose, guards, apply)
}

// renew keeps the grant alive, or asks for one. Validity counts from before
// the request.
func (o *LeaseManager) renew() {
	again := func(d time.Duration) { o.rt.After(d, o.renew) }
	until := o.rt.Now() + tuning.LeaseTTL - tuning.LeaseTTL*tuning.DriftPerMille/1000 - tuning.LeaseMargin
	if o.permit == 0 {
		o.state.GrantLease(tuning.LeaseTTL, func(granted GrantResult) {
			if granted.Outcome != OutcomeOK {
				again(tuning.LeaseRenewRetryDelay)
				return
			}
			o.permit, o.valid = granted.LeaseID, until
			if o.row.IsReady() {
				o.look()
			}
			again(tuning.LeaseRenewInterval)
		})
		return
	}
	permit := o.permit
	o.state.RenewLease(permit, func(out Outcome) {
		switch out {
		case OutcomeOK:
			o.valid = max(o.valid, until)
			again(tuning.LeaseRenewInterval)
		case OutcomeGone:
			o.log.Info("grant has run out")
			o.permit, o.valid = 0, 0
			o.nonce++ // what hung on the old grant is another holder's
			o.look()
			again(0)
		default:
			again(tuning.LeaseRenewRetryDelay)
		}
	})
}
