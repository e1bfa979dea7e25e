package controller

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// simulation is a simulated deployment on a fake clock: the real controllers, and
// stand-ins, written from the protocol, of the state service, the cloud, the
// workers and the users. It loses, delays and repeats messages, and checks the
// rules at every step.
type simulation struct {
	clock
	rng      *rand.Rand
	settings *settings.Settings
	log      *slog.Logger

	controllers []*simController
	state       *simStateService
	cloud       *simCloud
	workers     map[string]*simWorker // by address
	jobs        map[string]*simJob

	network     networkFaults
	stateFaults stateFaults
	stateLimits stateLimits
	heartbeats  heartbeatFaults
	users       userBehavior

	commandsRefused bool          // workers take no direct commands: connections to them fail at once
	imageFetchTime  time.Duration // that workers take to fetch an image, about; 0: none

	checker       *ruleChecker
	drainChecker  *budgetChecker     // nil on days without drains
	realProcesses *processDeployment // not nil: on the real clock, with controllers that are processes
}

// networkFaults are the faults of the network between all places.
type networkFaults struct {
	lossShare   float64         // of messages that are lost, each way
	lateShare   float64         // of requests that are carried out up to a minute late, unanswered
	repeatShare float64         // of requests that are carried out once more, up to 30 s later
	partitions  map[string]bool // "a|b": no messages between places a and b
}

// stateFaults are the faults of the state service and of the way to it.
type stateFaults struct {
	outage             bool            // 503 for all
	refusedControllers map[string]bool // 503 for these alone, by name
	silentWatchPrefix  string          // a prefix of keys: no watch of it is answered
	latency            time.Duration   // each way takes half of it more, one in twelve 25 times as much more
	lateCommitShare    float64         // of transactions that are not answered, and carried out 2 to 12 s later
	lostAnswerShare    float64         // of transactions that are carried out at once and not answered
}

// stateLimits is what the state service takes.
type stateLimits struct {
	writesPerSecond float64 // puts and deletes, 0: any number
	operations      int     // of a transaction
	valueBytes      int
	undeclared      bool // the settings don't tell these limits: exceeding them breaks no rule
}

// heartbeatFaults are the faults of the way of heartbeats to controllers.
type heartbeatFaults struct {
	slowdown      int      // how many times slower workers send them, 0: not slower
	lateCopyShare float64  // of heartbeats of which a copy comes up to a minute late
	retainedShare float64  // of heartbeats of which copies are kept until a lease has changed hands
	retained      []func() // these copies: each call delivers one
}

// userBehavior is what users do besides submitting, polling and cancelling.
type userBehavior struct {
	pollClosely        bool // they ask all controllers within milliseconds, and repeat submissions
	cancelAtCompletion bool // they cancel jobs at the moment of their completion
}

// clock is the simulated time, and what is to happen at which moment.
type clock struct {
	now      time.Duration
	sequence int // of the event scheduled last
	events   eventQueue
}

// event is something that happens at a moment. Events of the same moment happen in the
// order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || (q[i].at == q[k].at && q[i].seq < q[k].seq)
}

func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// after schedules fn.
func (c *clock) after(delay time.Duration, fn func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now + max(delay, 0), c.sequence, fn})
}

// run lets everything happen that is due until a moment, and stops there.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.fn()
	}
	c.now = until
}

// outageFor has the state service down for a while; then every lease has its full
// time again.
func (s *simulation) outageFor(d time.Duration) {
	s.stateFaults.outage = true
	s.after(d, func() {
		s.stateFaults.outage = false
		s.state.renewAllLeases()
		s.state.notifyWatches()
	})
}

// refuseFor has the state service refuse one node for a while; its open watches wait.
func (s *simulation) refuseControllerFor(node string, d time.Duration) {
	s.stateFaults.refusedControllers[node] = true
	s.after(d, func() {
		delete(s.stateFaults.refusedControllers, node)
		s.state.notifyWatches()
	})
}

// changedHands lets go the copies of reports that were kept for the next leader or
// owner: they arrive at all nodes just as it begins, and a little later.
func (s *simulation) releaseRetainedHeartbeats() {
	kept := s.heartbeats.retained
	s.heartbeats.retained = nil
	for i, fn := range kept {
		s.after(time.Duration(1+i%40)*10*time.Millisecond, fn)
	}
}

func (s *simulation) partitioned(a, b string) bool {
	return s.network.partitions[a+"|"+b] || s.network.partitions[b+"|"+a]
}

// exchange is one request on its way from one place to another, and its answer.
type exchange struct {
	sim      *simulation
	from, to string
	timeout  time.Duration
	serve    func(reply func(http1.Response))
	done     func(http1.Response, error)
	finished bool
}

// send carries a request from one place to another and its answer back, with
// the faults of the day.
func (s *simulation) send(from, to string, timeout time.Duration, serve func(reply func(http1.Response)), done func(http1.Response, error)) {
	request := &exchange{sim: s, from: from, to: to, timeout: timeout, serve: serve, done: done}
	if s.partitioned(from, to) {
		request.meetPartition()
		return
	}
	s.after(timeout, request.timeOut)
	roll := s.rng.Float64()
	switch {
	case roll < s.network.lossShare:
		return
	case roll < s.network.lossShare+s.network.lateShare:
		s.after(time.Duration(1+s.rng.IntN(60))*time.Second, request.serveUnanswered)
		return
	}
	if s.rng.Float64() < s.network.repeatShare {
		s.after(time.Duration(s.rng.IntN(30000))*time.Millisecond, request.serveUnanswered)
	}
	s.after(request.delay(), request.deliver)
}

// finish gives the sender the first answer or failure.
func (e *exchange) finish(response http1.Response, err error) {
	if !e.finished {
		e.finished = true
		e.done(response, err)
	}
}

func (e *exchange) timeOut() { e.finish(http1.Response{}, eventloop.ErrNoAnswer) }

// serveUnanswered carries the request out; its sender hears nothing of that.
func (e *exchange) serveUnanswered() { e.serve(func(http1.Response) {}) }

// deliver carries the request out and brings the answer back, if nothing prevents it.
func (e *exchange) deliver() {
	e.serve(func(response http1.Response) {
		if e.sim.rng.Float64() < e.sim.network.lossShare || e.sim.partitioned(e.from, e.to) {
			return
		}
		e.sim.after(e.delay(), func() { e.finish(response, nil) })
	})
}

// delay draws what one way takes.
func (e *exchange) delay() time.Duration {
	delay := time.Duration(1+e.sim.rng.IntN(4)) * time.Millisecond
	if latency := e.sim.stateFaults.latency; e.to == "state" && latency > 0 {
		delay += latency / 2
		if e.sim.rng.IntN(12) == 0 {
			delay += latency * 25
		}
	}
	return delay
}

// meetPartition holds the request back until the partition is over, about, or refuses it.
func (e *exchange) meetPartition() {
	if e.sim.rng.IntN(2) == 0 {
		e.sim.after(time.Duration(5+e.sim.rng.IntN(40))*time.Second, e.serveUnanswered)
		e.sim.after(e.timeout, e.timeOut)
		return
	}
	e.sim.after(min(e.timeout, time.Second), func() { e.finish(http1.Response{}, eventloop.ErrNotSent) })
}

// restart starts all controllers anew, with changed settings and an empty state service,
// before the day begins.
func (s *simulation) restart() {
	for _, controller := range s.controllers {
		controller.node = nil
	}
	s.events = nil
	s.after(0, s.checker.checkPeriodically)
	s.state = newSimStateService(s)
	for _, controller := range s.controllers {
		controller.boot()
	}
}

// newSimulation is a deployment of three controllers. All random draws come from the seed.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		settings:    simSettings(),
		workers:     map[string]*simWorker{},
		jobs:        map[string]*simJob{},
		network:     networkFaults{partitions: map[string]bool{}},
		stateFaults: stateFaults{refusedControllers: map[string]bool{}},
		stateLimits: stateLimits{operations: 12, valueBytes: 8 << 10},
	}
	sim.log = sim.newLog()
	sim.checker = &ruleChecker{sim: sim}
	sim.state = newSimStateService(sim)
	sim.cloud = &simCloud{sim: sim, rentals: map[string][]string{}, available: 12}
	for i := range 3 {
		sim.controllers = append(sim.controllers, &simController{sim: sim, name: fmt.Sprintf("node-%d", i), index: i})
	}
	for _, controller := range sim.controllers {
		controller.boot()
	}
	sim.checker.checkPeriodically()
	return sim
}

// simSettings are the settings of a day on which a test changes nothing.
func simSettings() *settings.Settings {
	set := &settings.Settings{}
	set.External.State, set.External.Cloud = "state:1", "cloud:1"
	deployment := &set.Deployment
	deployment.Teams = []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 24}}
	deployment.Workers.ReportS, deployment.Workers.LeaseS, deployment.Workers.CancelS = 1.2, 12, 45
	deployment.Workers.GangWaitS, deployment.Workers.GangPeerS = 15, 3
	deployment.State.RPS, deployment.State.WriteRPS, deployment.State.ValueKB, deployment.State.TxnOps = 1000, 500, 8, 12
	deployment.Cloud.RPS = 10
	return set
}

// newLog is the log of all controllers: on standard error with LEMONMOOR_SIM_LOG set,
// each line at its simulated time "t", else nowhere.
func (s *simulation) newLog() *slog.Logger {
	if os.Getenv("LEMONMOOR_SIM_LOG") == "" {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	simulatedTime := func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.TimeKey {
			return slog.Duration("t", s.now)
		}
		return attribute
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: simulatedTime}))
}
