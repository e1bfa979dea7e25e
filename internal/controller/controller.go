// Package controller puts the slices together into one node.
package controller

import (
	"encoding/json"
	"log/slog"
	"math"
	"strings"
	"time"

	"lemonmoor/internal/drain"
	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/fleet"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/leader"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
	"lemonmoor/internal/workers"
)

// Paths of the messages between controllers.
const (
	statusPath = "/digest" // an owner's status message to the leader; the name of versions before
	beatPath   = "/beat"   // a worker's report for the owner that it cannot reach
	statePath  = "/state"  // does the state service answer you?
	heardPath  = "/heard"  // how long ago did a worker come to you?
)

// Node is one controller.
type Node struct {
	rt     eventloop.Runtime
	set    *settings.Settings
	log    *slog.Logger
	state  *statestore.Client
	leases *statestore.LeaseManager
	cat    *userapi.Catalog
	store  *taskstate.Store
	api    *userapi.API
	leader *leader.Leader
	fleet  *fleet.Fleet
	owners []*owner
	drains *drains // nil if they are off
	begin  func(blocks int)

	misread bool              // the stored layout does not parse
	peers   map[string]string // endpoints by node

	lastBeat time.Duration         // from any worker, for any block
	asking   bool                  // the peers, whether they hear workers
	reported time.Duration         // when a worker last came here, 0 if none has
	vain     int                   // times in a row that blocks were given up without one
	sent     map[string]redirected // workers sent to their owners
	telling  []bool
	shared   time.Duration // when a peer last said that it has no answers either
	alone    time.Duration // when a peer last said that it has, while this node has none
}

// redirected is a worker that was sent to its owner.
type redirected struct {
	last  time.Duration // its last report here
	since time.Duration // when it was sent away
}

// New puts a node together. nonce differs for every process.
func New(rt eventloop.Runtime, set *settings.Settings, nonce uint64, log *slog.Logger) *Node {
	n := &Node{rt: rt, set: set, log: log, peers: map[string]string{}, sent: map[string]redirected{}}
	rank := 0
	for _, p := range set.Seeds {
		n.peers[p.Node] = p.Endpoint
		if p.Node < set.Node {
			rank++
		}
	}
	n.state = statestore.New(rt, set.External.State, log)
	n.state.FreshnessCheckInterval = set.FreshnessCheckInterval()
	n.state.SetLimits(statestore.Limits{MaxOperations: set.MaxOperations(), MaxValueBytes: set.MaxValueBytes(), FutureWriteShare: set.FutureWriteShare()})
	n.build(nonce, rank)
	n.begin = func(blocks int) {
		if blocks != set.ShardCount() {
			log.Warn("the machines stay divided as the stored work has them", "blocks", blocks, "by the settings", set.ShardCount())
			set.SetShardCount(blocks)
			n.build(nonce, rank)
		}
		n.start()
	}
	return n
}

// build makes the slices for the number of blocks and connects them.
func (n *Node) build(nonce uint64, rank int) {
	rt, set, log := n.rt, n.set, n.log
	n.owners = nil
	n.leases = statestore.NewLeaseManager(rt, n.state, log, statestore.LeaseConfig{
		Node: set.Node, Nonce: nonce, Rank: rank, ShardCount: set.ShardCount(),
		AnswerGracePeriod: set.AnswerGracePeriod(), Observer: leaseObserver{n},
	})
	n.cat = userapi.NewCatalog(rt, n.state, set.Deployment.Teams, log)
	n.store = taskstate.NewStore(rt, n.state, log)
	machines := leader.NewMachineUsage(set.ShardCount())
	n.fleet = fleet.New(fleet.Dependencies{
		Runtime: rt, Address: set.External.Cloud, Leases: n.leases, Loads: machines, Settings: set, Log: log,
	})
	n.leader = leader.New(leader.Dependencies{
		Runtime: rt, State: n.state, Leases: n.leases, Catalog: n.cat, Records: n.store,
		Fleet: n.fleet, Machines: machines, Settings: set, Log: log,
	})
	n.api = userapi.NewAPI(rt, n.state, n.cat, set, log)
	for b := range set.ShardCount() {
		n.owners = append(n.owners, newOwner(n, b))
	}
	n.telling = make([]bool, len(n.owners))
	n.buildDrains()

	n.connectRecords()
	n.connectUsers()
}

// leaseObserver begins and ends the terms of a node's slices with its leases.
type leaseObserver struct{ node *Node }

func (o leaseObserver) LeadershipAcquired(token uint64) {
	o.node.leader.BeginTerm(token)
	o.node.fleet.BeginTerm()
	if o.node.drains != nil {
		o.node.drains.coordinator.BeginTerm(token)
	}
}

func (o leaseObserver) LeadershipLost() {
	o.node.leader.EndTerm()
	o.node.fleet.EndTerm()
	if o.node.drains != nil {
		o.node.drains.coordinator.EndTerm()
	}
}

func (o leaseObserver) ShardAcquired(shard int, token uint64) {
	o.node.lastBeat = o.node.rt.Now() // its workers need time to come here
	o.node.owners[shard].begin(token)
}

func (o leaseObserver) ShardLost(shard int) { o.node.owners[shard].end() }

// connectRecords has the slices told of the jobs and the records.
func (n *Node) connectRecords() {
	n.cat.JobChanged = func(e *userapi.Entry) {
		n.leader.JobChanged(e)
		for _, o := range n.owners {
			o.tasks.JobChanged(e)
		}
	}
	n.store.Observe(n.leader)
	for _, o := range n.owners {
		n.store.Observe(o.tasks)
	}
	pace := func() time.Duration {
		if n.leases.LeaderToken() != 0 || n.owning() {
			return n.set.WatchPause()
		}
		return max(tuning.PassiveWatchPause, n.set.WatchPause())
	}
	n.store.SetWatchPause(pace)
	n.cat.SetWatchPause(pace)
}

// connectUsers gives the user API what it answers from.
func (n *Node) connectUsers() {
	n.api.MachineTypes = n.fleet.MachineTypes
	n.api.Progress = n.store.Progress
	n.api.RunningGangTasks = n.store.RunningGangTasks
}

// Start begins the node's work, once it is known how the machines are divided.
func (n *Node) Start() { n.settleLayout(0, n.begin) }

func (n *Node) start() {
	n.cat.Start()
	n.store.Start()
	n.leases.Start()
	n.fleet.Start()
	if n.drains != nil {
		n.drains.book.Start()
	}
	n.tick()
}

// owning tells whether this node owns any block.
func (n *Node) owning() bool {
	for _, o := range n.owners {
		if o.token != 0 {
			return true
		}
	}
	return false
}

// tick is what happens once a second.
func (n *Node) tick() {
	n.rt.After(tuning.StatusInterval, n.tick)
	now := n.rt.Now()
	up := 0
	deaf, hearing := 0, 0
	for b, o := range n.owners {
		if o.token == 0 {
			continue
		}
		o.workers.Tick()
		o.wanted = true
		d, all := o.workers.CountDeaf()
		deaf, hearing, up = deaf+d, hearing+all-d, up+all
		n.sendStatus(b)
	}
	if n.owning() {
		n.prove()
	}
	switch {
	case up > 0 && deaf > hearing: // nobody hears the answers
		n.giveUp()
	case up > 0 && now-n.lastBeat > n.set.OwnerSilenceLimit(up)<<min(n.vain, tuning.MaxSilenceDoublings):
		n.silence()
	}
	n.tickDrains()
	n.leader.RequestRound()
	n.compare()
	for host, s := range n.sent {
		if now-s.last > tuning.RelayWithin {
			delete(n.sent, host)
		}
	}
}

// giveUp returns the blocks: it is this node that is cut off, not every machine that
// has died. If they have all died after all, the next owner hears none either: the
// longer the block goes round, the longer it is kept.
func (n *Node) giveUp() {
	n.leases.RelinquishShards()
	n.lastBeat = n.rt.Now()
	n.vain++
}

// silence is what follows when not one report comes for any block: the peers are
// asked whether workers come to them, as those do that do not reach their owner. If
// none does, the machines are dead, and to give the blocks up would only begin the
// wait for the ends of their leases anew: a lone machine's tasks were lost for
// minutes while its block went round. A peer that does not say may be the one.
func (n *Node) silence() {
	if n.asking {
		return
	}
	n.asking = true
	begun, left, elsewhere := n.lastBeat, len(n.peers), false
	for _, endpoint := range n.peers {
		n.rt.CallPeer(endpoint, heardPath, []byte("{}"), tuning.PeerRequestTimeout, func(body []byte, err error) {
			var ms int64
			if err != nil || json.Unmarshal(body, &ms) != nil || time.Duration(ms)*time.Millisecond < n.rt.Now()-begun {
				elsewhere = true
			}
			if left--; left > 0 {
				return
			}
			n.asking = false
			if n.owning() && n.lastBeat == begun {
				if elsewhere {
					n.giveUp()
				} else {
					n.lastBeat = n.rt.Now() // asked again after as long a silence
				}
			}
		})
	}
	if left == 0 {
		n.asking = false
	}
}

// sendStatus sends a block's status to the leader.
func (n *Node) sendStatus(b int) {
	o := n.owners[b]
	if !o.tasks.IsLoaded() || n.telling[b] {
		return
	}
	if n.leases.LeaderToken() != 0 {
		r := n.takeStatus(o.status())
		o.obey(&r)
		return
	}
	endpoint := n.peers[n.leases.LeaderNode()]
	if endpoint == "" {
		return
	}
	body, err := json.Marshal(o.status())
	if err != nil {
		n.log.Error("status message does not encode", "err", err)
		return
	}
	token := o.token
	n.telling[b] = true
	n.rt.CallPeer(endpoint, statusPath, body, tuning.PeerRequestTimeout, func(answer []byte, err error) {
		n.telling[b] = false
		var r fleet.StatusReply
		if err == nil {
			err = json.Unmarshal(answer, &r)
		}
		if err != nil {
			n.log.Debug("leader not told", "err", err)
			return
		}
		if o.token == token {
			o.obey(&r)
		}
	})
}

// takeStatus takes an owner's status message; only the leader does.
func (n *Node) takeStatus(d *statusMessage) fleet.StatusReply {
	if d.ShardStatus == nil || d.Shard < 0 || d.Shard >= len(n.owners) || n.leases.ShardOwner(d.Shard) != d.Node {
		return fleet.StatusReply{}
	}
	if n.drains != nil {
		n.drains.coordinator.HandleShardReport(d.Shard, d.Token, d.Seq, d.Drains)
	}
	r := n.fleet.HandleStatus(d.ShardStatus)
	r.Recall = n.leader.TakeRecalls(d.Shard)
	n.leader.RequestRound()
	return r
}

// HandlePeer serves a message of another controller, on the loop.
func (n *Node) HandlePeer(path string, body []byte, answer func([]byte, bool)) {
	switch path {
	case statusPath:
		var d statusMessage
		if err := json.Unmarshal(body, &d); err != nil || n.leases.LeaderToken() == 0 {
			answer(nil, false)
			return
		}
		reply, err := json.Marshal(n.takeStatus(&d))
		answer(reply, err == nil)
	case beatPath:
		r, err := workers.ParseHeartbeat(body)
		if err != nil {
			answer(nil, false)
			return
		}
		o := n.owners[taskstate.ShardOf(r.WorkerID, len(n.owners))]
		if !n.answering(o) {
			answer(nil, false)
			return
		}
		// A worker whose reports are passed on reaches this node too. Not to
		// count it made owners give up their blocks after a restart, when
		// all workers still reported through another node.
		n.lastBeat, n.vain = n.rt.Now(), 0
		status, reply := o.workers.HandleHeartbeat(r)
		o.wanted = true
		answer(reply, status == 200)
	case heardPath:
		silent := math.MaxInt64 / int64(time.Millisecond)
		if n.reported > 0 {
			silent = (n.rt.Now() - n.reported).Milliseconds()
		}
		reply, err := json.Marshal(silent)
		answer(reply, err == nil)
	case statePath:
		reply, err := json.Marshal(n.served())
		answer(reply, err == nil)
	case drain.RequestPath:
		n.operatorRequest(body, answer)
	default:
		answer(nil, false)
	}
}

// served tells whether the state service has answered lately.
func (n *Node) served() bool {
	return n.state.HasResponded && n.rt.Now()-n.state.LastResponseAt < tuning.UnhealthyAfter
}

// compare asks the peers, when the state service is silent, whether it is so
// for them: only a node that is refused alone sends its users elsewhere.
func (n *Node) compare() {
	if n.served() {
		n.alone = 0
		return
	}
	for _, endpoint := range n.peers {
		n.rt.CallPeer(endpoint, statePath, []byte("{}"), tuning.PeerRequestTimeout, func(body []byte, err error) {
			var theirs bool
			if err != nil || json.Unmarshal(body, &theirs) != nil {
				return
			}
			if theirs {
				// Said once it must not count for ever: at the beginning of an
				// outage one node's last answer is older than another's.
				if !n.served() {
					n.alone = n.rt.Now()
				}
			} else {
				n.shared = n.rt.Now()
			}
		})
	}
}

// AfterBatch takes the decisions that a batch of commands has made necessary.
func (n *Node) AfterBatch() {
	n.leader.AfterBatch()
	for _, o := range n.owners {
		o.settle()
	}
}

// answering tells whether this node may answer reports of a block: while its
// lease is valid, and for a bounded hold after, which every takeover waits out; and
// only on knowledge of cancellations that is young enough. The lease alone is not:
// after an outage it has its full time again, while the catalog still lacks what
// other nodes have confirmed to users.
func (n *Node) answering(o *owner) bool {
	now := n.rt.Now()
	proven, known := n.cat.VerifiedAt()
	return o.token != 0 && !n.leases.Relinquished(o.block) && now < n.leases.AnswersUntil() &&
		known && now < proven+n.set.MaxKnowledgeAge()
}

// fresh tells whether the catalog is proven to hold all cancellations up to a moment,
// lately.
func (n *Node) fresh(since time.Duration) bool {
	now := n.rt.Now()
	proven, known := n.cat.VerifiedAt()
	if known && proven >= since && now-proven <= tuning.MaxLaunchKnowledgeAge {
		return true
	}
	n.cat.VerifyIfOlder(0)
	return false
}

// prove keeps what an owner's answers rest on proven.
func (n *Node) prove() {
	n.cat.VerifyIfOlder(tuning.KnowledgeVerifyInterval)
	n.leases.VerifyIfStale()
}

// beat serves POST /agent/beat.
func (n *Node) beat(body []byte, reply http1.ResponseWriter) {
	r, err := workers.ParseHeartbeat(body)
	if err != nil {
		reply(400, http1.ErrorBody(err.Error()), 0)
		return
	}
	now := n.rt.Now()
	n.lastBeat, n.reported, n.vain = now, now, 0
	b := taskstate.ShardOf(r.WorkerID, len(n.owners))
	o := n.owners[b]
	if n.answering(o) {
		status, answer := o.workers.HandleHeartbeat(r)
		o.wanted = true
		reply(status, answer, 0)
		return
	}
	if o.token != 0 {
		n.prove() // at once: a lease may be valid again
	}
	to := n.leases.ShardOwner(b)
	s, back := n.sent[r.WorkerID]
	endpoint := n.peers[to]
	if !back || now-s.last > tuning.RelayWithin || now-s.since > tuning.RelayPeriod || endpoint == "" {
		n.sent[r.WorkerID] = redirected{now, now}
		n.redirect(to, reply)
		return
	}
	// It could not reach its owner, or it would not be back: the report is
	// passed on. An answer counts whichever node gives it. Now and then the
	// worker is sent to its owner again, which may be back.
	s.last = now
	n.sent[r.WorkerID] = s
	n.rt.CallPeer(endpoint, beatPath, body, tuning.PeerRequestTimeout, func(answer []byte, err error) {
		if err != nil {
			n.redirect(n.leases.ShardOwner(b), reply)
			return
		}
		reply(200, answer, 0)
	})
}

// redirect sends a worker to the owner of its machine.
func (n *Node) redirect(to string, reply http1.ResponseWriter) {
	answer := map[string]string{}
	if to != "" && to != n.set.Node {
		answer["upstream"] = to
	}
	body, err := json.Marshal(answer)
	if err != nil {
		reply(503, nil, 0)
		return
	}
	reply(421, body, 0)
}

// healthy tells whether this node is the place for users. In an outage that
// the peers share it is as good as any: it answers 503 at once, and serves again
// as soon as the state service does.
func (n *Node) healthy() bool {
	if !n.cat.Ready() || n.fleet.MachineTypes() == nil {
		return false
	}
	now := n.rt.Now()
	alone := n.alone > 0 && now-n.alone < tuning.PeerHealthMaxAge
	return n.served() || (!alone && n.shared > 0 && now-n.shared < tuning.UnhealthyAfter)
}

// Handle serves one request, on the loop.
func (n *Node) Handle(req *http1.Request, reply http1.ResponseWriter) {
	switch {
	case req.Path == "/agent/beat":
		if req.Method != "POST" {
			reply(405, http1.ErrorBody("method not allowed"), 0)
			return
		}
		n.beat(req.Body, reply)
	case req.Path == "/up":
		switch {
		case req.Method != "GET":
			reply(405, http1.ErrorBody("method not allowed"), 0)
		case n.healthy():
			reply(200, []byte("{}"), 0)
		default:
			reply(503, http1.ErrorBody("not ready"), 0)
		}
	case n.api.Route(req, reply):
	default:
		reply(404, http1.ErrorBody("no such path"), 0)
	}
}

// RequestLane ranks a request: reports of workers and health checks first, users
// last.
func RequestLane(req *http1.Request) eventloop.Lane {
	if strings.HasPrefix(req.Path, "/work") {
		return eventloop.UserLane
	}
	return eventloop.HeartbeatLane
}
