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
	statusPath        = "/digest" // an owner's status message to the leader; the name of versions before
	heartbeatPath     = "/beat"   // a worker's report for the owner that it cannot reach
	stateHealthPath   = "/state"  // does the state service answer you?
	workerSilencePath = "/heard"  // how long ago did a worker come to you?
)

// Node is one controller.
type Node struct {
	runtime     eventloop.Runtime
	settings    *settings.Settings
	log         *slog.Logger
	stateClient *statestore.Client
	leases      *statestore.LeaseManager
	catalog     *userapi.Catalog
	taskStates  *taskstate.Store
	userAPI     *userapi.API
	leader      *leader.Leader
	fleet       *fleet.Fleet
	shardOwners []*shardOwner
	drains      *drainParts // nil if they are off
	layoutKnown func(blocks int)

	layoutErrorLogged bool              // the stored layout does not parse
	peerEndpoints     map[string]string // endpoints by node

	lastHeartbeatAt     time.Duration          // from any worker, for any block
	askingPeers         bool                   // the peers, whether they hear workers
	lastWorkerContactAt time.Duration          // when a worker last came here, 0 if none has
	unsuccessfulTerms   int                    // times in a row that blocks were given up without one
	redirections        map[string]redirection // workers sent to their owners
	statusInFlight      []bool
	serviceWideOutageAt time.Duration // when a peer last said that it has no answers either
	nodeOnlyOutageAt    time.Duration // when a peer last said that it has, while this node has none
}

// redirection is a worker that was sent to its owner.
type redirection struct {
	lastHeartbeatAt time.Duration // its last report here
	redirectedAt    time.Duration // when it was sent away
}

// New puts a node together. nonce differs for every process.
func New(runtime eventloop.Runtime, settings *settings.Settings, nonce uint64, log *slog.Logger) *Node {
	node := &Node{runtime: runtime, settings: settings, log: log, peerEndpoints: map[string]string{}, redirections: map[string]redirection{}}
	rank := 0
	for _, seed := range settings.Seeds {
		node.peerEndpoints[seed.Node] = seed.Endpoint
		if seed.Node < settings.Node {
			rank++
		}
	}
	node.stateClient = statestore.New(runtime, settings.External.State, log)
	node.stateClient.FreshnessCheckInterval = settings.FreshnessCheckInterval()
	node.stateClient.SetLimits(statestore.Limits{MaxOperations: settings.MaxOperations(), MaxValueBytes: settings.MaxValueBytes(), FutureWriteShare: settings.FutureWriteShare()})
	node.build(nonce, rank)
	node.layoutKnown = func(blocks int) {
		if blocks != settings.ShardCount() {
			log.Warn("the machines stay divided as the stored work has them", "blocks", blocks, "by the settings", settings.ShardCount())
			settings.SetShardCount(blocks)
			node.build(nonce, rank)
		}
		node.start()
	}
	return node
}

// build makes the slices for the number of blocks and connects them.
func (n *Node) build(nonce uint64, rank int) {
	runtime, settings, log := n.runtime, n.settings, n.log
	n.shardOwners = nil
	n.leases = statestore.NewLeaseManager(runtime, n.stateClient, log, statestore.LeaseConfig{
		Node: settings.Node, Nonce: nonce, Rank: rank, ShardCount: settings.ShardCount(),
		AnswerGracePeriod: settings.AnswerGracePeriod(), Observer: leaseObserver{n},
	})
	n.catalog = userapi.NewCatalog(runtime, n.stateClient, settings.Deployment.Teams, log)
	n.taskStates = taskstate.NewStore(runtime, n.stateClient, log)
	n.fleet = fleet.New(runtime, settings.External.Cloud, n.leases, settings, log)
	n.leader = leader.New(runtime, n.stateClient, n.leases, n.catalog, n.taskStates, n.fleet, settings, log)
	n.userAPI = userapi.NewAPI(runtime, n.stateClient, n.catalog, settings, log)
	for shardIndex := range settings.ShardCount() {
		n.shardOwners = append(n.shardOwners, newShardOwner(n, shardIndex))
	}
	n.statusInFlight = make([]bool, len(n.shardOwners))
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

func (o leaseObserver) ShardAcquired(shardIndex int, token uint64) {
	o.node.lastHeartbeatAt = o.node.runtime.Now() // its workers need time to come here
	o.node.shardOwners[shardIndex].beginTerm(token)
}

func (o leaseObserver) ShardLost(shardIndex int) { o.node.shardOwners[shardIndex].endTerm() }

// connectRecords has the slices told of the jobs and the records.
func (n *Node) connectRecords() {
	n.catalog.JobChanged = func(entry *userapi.Entry) {
		n.leader.JobChanged(entry)
		for _, owner := range n.shardOwners {
			owner.tasks.JobChanged(entry)
		}
	}
	n.taskStates.RecordAdded = func(record *taskstate.Record) {
		n.leader.RecordAdded(record)
		for _, owner := range n.shardOwners {
			owner.tasks.RecordAdded(record)
		}
	}
	n.taskStates.RecordRemoved = func(record *taskstate.Record) {
		n.leader.RecordRemoved(record)
		for _, owner := range n.shardOwners {
			owner.tasks.RecordRemoved(record)
		}
	}
	n.taskStates.TaskStatusChanged = func(record *taskstate.Record, taskNumber int, before taskstate.TaskStatus) {
		n.leader.TaskStatusChanged(record, taskNumber, before)
		for _, owner := range n.shardOwners {
			owner.tasks.TaskStatusChanged(record, taskNumber)
		}
	}
	watchPause := func() time.Duration {
		if n.leases.LeaderToken() != 0 || n.ownsShard() {
			return n.settings.WatchPause()
		}
		return max(tuning.PassiveWatchPause, n.settings.WatchPause())
	}
	n.taskStates.SetWatchPause(watchPause)
	n.catalog.SetWatchPause(watchPause)
}

// connectUsers gives the user API what it answers from.
func (n *Node) connectUsers() {
	n.userAPI.MachineTypes = n.fleet.MachineTypes
	n.userAPI.Progress = n.taskStates.Progress
	n.userAPI.RunningGangTasks = n.taskStates.RunningTasks
}

// Start begins the node's work, once it is known how the machines are divided.
func (n *Node) Start() { n.readLayout(0, n.layoutKnown) }

func (n *Node) start() {
	n.catalog.Start()
	n.taskStates.Start()
	n.leases.Start()
	n.fleet.Start()
	if n.drains != nil {
		n.drains.records.Start()
	}
	n.tick()
}

// ownsShard tells whether this node owns any block.
func (n *Node) ownsShard() bool {
	for _, owner := range n.shardOwners {
		if owner.token != 0 {
			return true
		}
	}
	return false
}

// tick is what happens once a second.
func (n *Node) tick() {
	n.runtime.After(tuning.StatusInterval, n.tick)
	now := n.runtime.Now()
	reporting := 0
	deaf, hearing := 0, 0
	for shardIndex, owner := range n.shardOwners {
		if owner.token == 0 {
			continue
		}
		owner.workers.Tick()
		owner.roundNeeded = true
		shardDeaf, shardReporting := owner.workers.CountDeaf()
		deaf, hearing, reporting = deaf+shardDeaf, hearing+shardReporting-shardDeaf, reporting+shardReporting
		n.sendStatus(shardIndex)
	}
	if n.ownsShard() {
		n.keepVerified()
	}
	switch {
	case reporting > 0 && deaf > hearing: // nobody hears the answers
		n.relinquishShards()
	case reporting > 0 && now-n.lastHeartbeatAt > n.settings.OwnerSilenceLimit(reporting)<<min(n.unsuccessfulTerms, tuning.MaxSilenceDoublings):
		n.askPeersForHeartbeats()
	}
	n.tickDrains()
	n.leader.RequestRound()
	n.compareStateHealth()
	for worker, redirected := range n.redirections {
		if now-redirected.lastHeartbeatAt > tuning.RelayWithin {
			delete(n.redirections, worker)
		}
	}
}

// relinquishShards returns the blocks: it is this node that is cut off, not every machine that
// has died. If they have all died after all, the next owner hears none either: the
// longer the block goes round, the longer it is kept.
func (n *Node) relinquishShards() {
	n.leases.RelinquishShards()
	n.lastHeartbeatAt = n.runtime.Now()
	n.unsuccessfulTerms++
}

// askPeersForHeartbeats is what follows when not one report comes for any block: the peers are
// asked whether workers come to them, as those do that do not reach their owner. If
// none does, the machines are dead, and to give the blocks up would only begin the
// wait for the ends of their leases anew: a lone machine's tasks were lost for
// minutes while its block went round. A peer that does not say may be the one.
func (n *Node) askPeersForHeartbeats() {
	if n.askingPeers {
		return
	}
	n.askingPeers = true
	lastBefore, pending, elsewhere := n.lastHeartbeatAt, len(n.peerEndpoints), false
	for _, endpoint := range n.peerEndpoints {
		n.runtime.CallPeer(endpoint, workerSilencePath, []byte("{}"), tuning.PeerRequestTimeout, func(body []byte, err error) {
			var silenceMS int64
			if err != nil || json.Unmarshal(body, &silenceMS) != nil || time.Duration(silenceMS)*time.Millisecond < n.runtime.Now()-lastBefore {
				elsewhere = true
			}
			if pending--; pending > 0 {
				return
			}
			n.askingPeers = false
			if n.ownsShard() && n.lastHeartbeatAt == lastBefore {
				if elsewhere {
					n.relinquishShards()
				} else {
					n.lastHeartbeatAt = n.runtime.Now() // asked again after as long a silence
				}
			}
		})
	}
	if pending == 0 {
		n.askingPeers = false
	}
}

// sendStatus sends a block's status to the leader.
func (n *Node) sendStatus(shardIndex int) {
	owner := n.shardOwners[shardIndex]
	if !owner.tasks.IsLoaded() || n.statusInFlight[shardIndex] {
		return
	}
	if n.leases.LeaderToken() != 0 {
		reply := n.receiveStatus(owner.nextStatus())
		owner.applyStatusReply(&reply)
		return
	}
	endpoint := n.peerEndpoints[n.leases.LeaderNode()]
	if endpoint == "" {
		return
	}
	body, err := json.Marshal(owner.nextStatus())
	if err != nil {
		n.log.Error("status message does not encode", "err", err)
		return
	}
	token := owner.token
	n.statusInFlight[shardIndex] = true
	n.runtime.CallPeer(endpoint, statusPath, body, tuning.PeerRequestTimeout, func(answer []byte, err error) {
		n.statusInFlight[shardIndex] = false
		var reply fleet.StatusReply
		if err == nil {
			err = json.Unmarshal(answer, &reply)
		}
		if err != nil {
			n.log.Debug("leader not told", "err", err)
			return
		}
		if owner.token == token {
			owner.applyStatusReply(&reply)
		}
	})
}

// receiveStatus takes an owner's status message; only the leader does.
func (n *Node) receiveStatus(message *statusMessage) fleet.StatusReply {
	if message.ShardStatus == nil || message.Shard < 0 || message.Shard >= len(n.shardOwners) || n.leases.ShardOwner(message.Shard) != message.Node {
		return fleet.StatusReply{}
	}
	if n.drains != nil {
		n.drains.coordinator.HandleReport(message.Shard, message.Token, message.Seq, message.Drains)
	}
	reply := n.fleet.HandleStatus(message.ShardStatus)
	reply.Recall = n.leader.TakeRecalls(message.Shard)
	n.leader.RequestRound()
	return reply
}

// HandlePeer serves a message of another controller, on the loop.
func (n *Node) HandlePeer(path string, body []byte, answer func([]byte, bool)) {
	switch path {
	case statusPath:
		var message statusMessage
		if err := json.Unmarshal(body, &message); err != nil || n.leases.LeaderToken() == 0 {
			answer(nil, false)
			return
		}
		reply, err := json.Marshal(n.receiveStatus(&message))
		answer(reply, err == nil)
	case heartbeatPath:
		heartbeat, err := workers.ParseHeartbeat(body)
		if err != nil {
			answer(nil, false)
			return
		}
		owner := n.shardOwners[taskstate.ShardOf(heartbeat.WorkerID, len(n.shardOwners))]
		if !n.mayAnswer(owner) {
			answer(nil, false)
			return
		}
		// A worker whose reports are passed on reaches this node too. Not to
		// count it made owners give up their blocks after a restart, when
		// all workers still reported through another node.
		n.lastHeartbeatAt, n.unsuccessfulTerms = n.runtime.Now(), 0
		status, reply := owner.workers.HandleHeartbeat(heartbeat)
		owner.roundNeeded = true
		answer(reply, status == 200)
	case workerSilencePath:
		silent := math.MaxInt64 / int64(time.Millisecond)
		if n.lastWorkerContactAt > 0 {
			silent = (n.runtime.Now() - n.lastWorkerContactAt).Milliseconds()
		}
		reply, err := json.Marshal(silent)
		answer(reply, err == nil)
	case stateHealthPath:
		reply, err := json.Marshal(n.stateServiceAnswers())
		answer(reply, err == nil)
	case drain.RequestPath:
		n.handleOperatorRequest(body, answer)
	default:
		answer(nil, false)
	}
}

// stateServiceAnswers tells whether the state service has answered lately.
func (n *Node) stateServiceAnswers() bool {
	return n.stateClient.HasResponded && n.runtime.Now()-n.stateClient.LastResponseAt < tuning.UnhealthyAfter
}

// compareStateHealth asks the peers, when the state service is silent, whether it is so
// for them: only a node that is refused alone sends its users elsewhere.
func (n *Node) compareStateHealth() {
	if n.stateServiceAnswers() {
		n.nodeOnlyOutageAt = 0
		return
	}
	for _, endpoint := range n.peerEndpoints {
		n.runtime.CallPeer(endpoint, stateHealthPath, []byte("{}"), tuning.PeerRequestTimeout, func(body []byte, err error) {
			var answersPeer bool
			if err != nil || json.Unmarshal(body, &answersPeer) != nil {
				return
			}
			if answersPeer {
				// Said once it must not count for ever: at the beginning of an
				// outage one node's last answer is older than another's.
				if !n.stateServiceAnswers() {
					n.nodeOnlyOutageAt = n.runtime.Now()
				}
			} else {
				n.serviceWideOutageAt = n.runtime.Now()
			}
		})
	}
}

// AfterBatch takes the decisions that a batch of commands has made necessary.
func (n *Node) AfterBatch() {
	n.leader.AfterBatch()
	for _, owner := range n.shardOwners {
		owner.afterBatch()
	}
}

// mayAnswer tells whether this node may answer reports of a block: while its
// lease is valid, and for a bounded hold after, which every takeover waits out; and
// only on knowledge of cancellations that is young enough. The lease alone is not:
// after an outage it has its full time again, while the catalog still lacks what
// other nodes have confirmed to users.
func (n *Node) mayAnswer(owner *shardOwner) bool {
	now := n.runtime.Now()
	verifiedAt, known := n.catalog.VerifiedAt()
	return owner.token != 0 && !n.leases.Relinquished(owner.shardIndex) && now < n.leases.AnswersUntil() &&
		known && now < verifiedAt+n.settings.MaxKnowledgeAge()
}

// cancellationsVerifiedSince tells whether the catalog is proven to hold all cancellations up to a moment,
// lately.
func (n *Node) cancellationsVerifiedSince(since time.Duration) bool {
	now := n.runtime.Now()
	verifiedAt, known := n.catalog.VerifiedAt()
	if known && verifiedAt >= since && now-verifiedAt <= tuning.MaxLaunchKnowledgeAge {
		return true
	}
	n.catalog.VerifyIfOlder(0)
	return false
}

// keepVerified keeps what an owner's answers rest on proven.
func (n *Node) keepVerified() {
	n.catalog.VerifyIfOlder(tuning.KnowledgeVerifyInterval)
	n.leases.VerifyIfStale()
}

// handleHeartbeat serves POST /agent/beat.
func (n *Node) handleHeartbeat(body []byte, reply http1.ResponseWriter) {
	heartbeat, err := workers.ParseHeartbeat(body)
	if err != nil {
		reply(400, http1.ErrorBody(err.Error()), 0)
		return
	}
	now := n.runtime.Now()
	n.lastHeartbeatAt, n.lastWorkerContactAt, n.unsuccessfulTerms = now, now, 0
	shardIndex := taskstate.ShardOf(heartbeat.WorkerID, len(n.shardOwners))
	owner := n.shardOwners[shardIndex]
	if n.mayAnswer(owner) {
		status, answer := owner.workers.HandleHeartbeat(heartbeat)
		owner.roundNeeded = true
		reply(status, answer, 0)
		return
	}
	if owner.token != 0 {
		n.keepVerified() // at once: a lease may be valid again
	}
	ownerNode := n.leases.ShardOwner(shardIndex)
	previous, returned := n.redirections[heartbeat.WorkerID]
	endpoint := n.peerEndpoints[ownerNode]
	if !returned || now-previous.lastHeartbeatAt > tuning.RelayWithin || now-previous.redirectedAt > tuning.RelayPeriod || endpoint == "" {
		n.redirections[heartbeat.WorkerID] = redirection{now, now}
		n.redirectWorker(ownerNode, reply)
		return
	}
	// It could not reach its owner, or it would not be back: the report is
	// passed on. An answer counts whichever node gives it. Now and then the
	// worker is sent to its owner again, which may be back.
	previous.lastHeartbeatAt = now
	n.redirections[heartbeat.WorkerID] = previous
	n.runtime.CallPeer(endpoint, heartbeatPath, body, tuning.PeerRequestTimeout, func(answer []byte, err error) {
		if err != nil {
			n.redirectWorker(n.leases.ShardOwner(shardIndex), reply)
			return
		}
		reply(200, answer, 0)
	})
}

// redirectWorker sends a worker to the owner of its machine.
func (n *Node) redirectWorker(ownerNode string, reply http1.ResponseWriter) {
	answer := map[string]string{}
	if ownerNode != "" && ownerNode != n.settings.Node {
		answer["upstream"] = ownerNode
	}
	body, err := json.Marshal(answer)
	if err != nil {
		reply(503, nil, 0)
		return
	}
	reply(421, body, 0)
}

// isHealthy tells whether this node is the place for users. In an outage that
// the peers share it is as good as any: it answers 503 at once, and serves again
// as soon as the state service does.
func (n *Node) isHealthy() bool {
	if !n.catalog.Ready() || n.fleet.MachineTypes() == nil {
		return false
	}
	now := n.runtime.Now()
	nodeOnly := n.nodeOnlyOutageAt > 0 && now-n.nodeOnlyOutageAt < tuning.PeerHealthMaxAge
	return n.stateServiceAnswers() || (!nodeOnly && n.serviceWideOutageAt > 0 && now-n.serviceWideOutageAt < tuning.UnhealthyAfter)
}

// Handle serves one request, on the loop.
func (n *Node) Handle(req *http1.Request, reply http1.ResponseWriter) {
	switch {
	case req.Path == "/agent/beat":
		if req.Method != "POST" {
			reply(405, http1.ErrorBody("method not allowed"), 0)
			return
		}
		n.handleHeartbeat(req.Body, reply)
	case req.Path == "/up":
		switch {
		case req.Method != "GET":
			reply(405, http1.ErrorBody("method not allowed"), 0)
		case n.isHealthy():
			reply(200, []byte("{}"), 0)
		default:
			reply(503, http1.ErrorBody("not ready"), 0)
		}
	case n.userAPI.Route(req, reply):
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
