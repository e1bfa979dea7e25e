package controller

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
)

// world is a simulated deployment on a fake clock: the real controllers, and
// stand-ins, written from the protocol, of the state service, the cloud, the
// workers and the users. It loses, delays and repeats messages, and checks the
// rules at every step.
type simulation struct {
	now        time.Duration
	sequence   int
	events     eventQueue
	rng        *rand.Rand
	violations []string

	settings    *settings.Settings
	controllers []*simController
	state       *simStateService
	cloud       *simCloud
	workers     map[string]*simWorker // by address
	jobs        map[string]*simJob
	log         *slog.Logger

	lossShare               float64            // of messages, each way
	lateShare               float64            // of requests carried out late, unanswered
	partitions              map[string]bool    // "a|b": no messages between the two
	latency                 time.Duration      // what the state service takes for an answer, now and then 50 times as long
	repeatShare             float64            // of requests carried out once more, later
	lateCopyShare           float64            // of reports of which a copy comes late
	outage                  bool               // of the state service
	writesPerSecond         float64            // changes a second that it allows, 0: any number
	operations              int                // changes in a commit that it allows
	valueBytes              int                // bytes of a value
	undeclared              bool               // these limits are not told: breaking them is no fault
	refusedControllers      map[string]bool    // nodes that the state service refuses alone
	silentWatchPrefix string // a prefix of keys: the state service answers no watch of it
	lateCommitShare         float64            // of transactions without an answer, carried out 2 to 12 s later
	lostAnswerShare         float64            // of transactions carried out at once of which the answer is lost
	retainedShare           float64            // of reports of which a copy is kept until a lease has changed hands
	retained                []func()           // those copies
	faultsOverAt            time.Duration      // when all troubles are over, 0 for not known
	slowdown                int                // how many times slower workers report, 0 for not
	commandsRefused         bool               // workers take no direct orders: connections to them fail at once
	cancelAtCompletion      bool               // jobs are called off at the moment of their end
	pollClosely             bool               // users ask all nodes within milliseconds, and repeat
	bootsFast               bool               // machines are up within two seconds
	commandsPrompt          bool               // no order is held up: none starts a task long after its job was called off
	imageFetchTime          time.Duration      // what workers take to fetch an image, about
	realProcesses           *processDeployment // not nil: on the real clock, with controllers that are processes
	drainChecker            *budgetChecker     // nil on days without drains
	starts                  int
	startsAfterCancellation int // starts after a confirmed cancellation
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

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

func (s *simulation) after(d time.Duration, fn func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + max(d, 0), s.sequence, fn})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.now = until
}

// outageFor has the state service down for a while; then every lease has its full
// time again.
func (s *simulation) outageFor(d time.Duration) {
	s.outage = true
	s.after(d, func() {
		s.outage = false
		for _, lease := range s.state.leases {
			lease.endsAt = s.now + lease.ttl
		}
		s.state.notifyWatches()
	})
}

// refuseFor has the state service refuse one node for a while; its open watches wait.
func (s *simulation) refuseControllerFor(node string, d time.Duration) {
	s.refusedControllers[node] = true
	s.after(d, func() {
		delete(s.refusedControllers, node)
		s.state.notifyWatches()
	})
}

// changedHands lets go the copies of reports that were kept for the next leader or
// owner: they arrive at all nodes just as it begins, and a little later.
func (s *simulation) releaseRetainedHeartbeats() {
	kept := s.retained
	s.retained = nil
	for i, fn := range kept {
		s.after(time.Duration(1+i%40)*10*time.Millisecond, fn)
	}
}

// sweep looks at all machines from time to time for tasks that should be gone.
func (s *simulation) checkPeriodically() {
	limit := time.Duration(s.settings.Deployment.Workers.CancelS * float64(time.Second))
	for _, worker := range s.workers {
		for _, task := range worker.tasks {
			id, _, _ := strings.Cut(task.name, "/")
			if job := s.jobs[id]; task.phase != "ended" && !worker.dead && job != nil && job.cancelledAt > 0 && s.now > job.cancelledAt+limit {
				s.violated("ran_cancelled: %s is on %s %v after", task.name, worker.id, s.now-job.cancelledAt)
			}
		}
	}
	s.checkNotNeglected()
	s.after(500*time.Millisecond, s.checkPeriodically)
}

// neglected looks, once the troubles are over, for jobs that wait for 90 s while a
// machine that fits has room and their team is under its limit.
func (s *simulation) checkNotNeglected() {
	if s.faultsOverAt == 0 || s.now < s.faultsOverAt+90*time.Second {
		return
	}
	for _, job := range s.jobs {
		if !job.accepted || job.cancelRequested || job.reportedPhase != "" || job.startedAt > 0 {
			continue
		}
		fits := false
		for _, worker := range s.workers {
			used := 0.0
			for _, task := range worker.tasks {
				if other := s.jobs[task.name[:len("wk-000000")]]; other != nil && task.phase != "ended" {
					used += other.cpus
				}
			}
			fits = fits || (worker.up && !worker.dead && !worker.deaf && !worker.failsTasks && used+job.cpus <= worker.cpus && (job.spot || !worker.spot) && (job.zone == "" || job.zone == worker.zone))
		}
		if fits && s.usedCPUs(job.team)+job.cpus <= 24 {
			s.violated("neglected: %s waits for 90 s and more", job.id)
		}
	}
}

func (s *simulation) violated(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *simulation) partitioned(a, b string) bool {
	return s.partitions[a+"|"+b] || s.partitions[b+"|"+a]
}

// send carries a request from one place to another and its answer back, with
// the faults of the day.
func (s *simulation) send(from, to string, timeout time.Duration, serve func(reply func(http1.Response)), fn func(http1.Response, error)) {
	done := false
	finish := func(response http1.Response, err error) {
		if !done {
			done = true
			fn(response, err)
		}
	}
	delay := func() time.Duration {
		d := time.Duration(1+s.rng.IntN(4)) * time.Millisecond
		if to == "state" && s.latency > 0 {
			d += s.latency / 2
			if s.rng.IntN(12) == 0 {
				d += s.latency * 25
			}
		}
		return d
	}
	if s.partitioned(from, to) {
		if s.rng.IntN(2) == 0 {
			// Held back, and delivered when the cut is over.
			s.after(time.Duration(5+s.rng.IntN(40))*time.Second, func() { serve(func(http1.Response) {}) })
			s.after(timeout, func() { finish(http1.Response{}, eventloop.ErrNoAnswer) })
			return
		}
		s.after(min(timeout, time.Second), func() { finish(http1.Response{}, eventloop.ErrNotSent) })
		return
	}
	s.after(timeout, func() { finish(http1.Response{}, eventloop.ErrNoAnswer) })
	roll := s.rng.Float64()
	switch {
	case roll < s.lossShare:
		return
	case roll < s.lossShare+s.lateShare:
		s.after(time.Duration(1+s.rng.IntN(60))*time.Second, func() { serve(func(http1.Response) {}) })
		return
	}
	if s.rng.Float64() < s.repeatShare {
		s.after(time.Duration(s.rng.IntN(30000))*time.Millisecond, func() { serve(func(http1.Response) {}) })
	}
	s.after(delay(), func() {
		serve(func(response http1.Response) {
			if s.rng.Float64() < s.lossShare || s.partitioned(from, to) {
				return
			}
			s.after(delay(), func() { finish(response, nil) })
		})
	})
}

// reboot starts all nodes anew, with changed settings, before the day begins.
func (s *simulation) restart() {
	for _, controller := range s.controllers {
		controller.node = nil
	}
	s.events = nil
	s.after(0, s.checkPeriodically)
	s.state = &simStateService{sim: s, keys: map[string]*storedValue{}, leases: map[uint64]*simLease{}}
	for _, controller := range s.controllers {
		controller.boot()
	}
}

// newWorld is a deployment of three nodes.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*simWorker{}, jobs: map[string]*simJob{}, partitions: map[string]bool{}, refusedControllers: map[string]bool{}, operations: 12, valueBytes: 8 << 10}
	sim.log = slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("LEMONMOOR_SIM_LOG") != "" {
		sim.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Duration("t", sim.now)
			}
			return a
		}}))
	}
	sim.settings = &settings.Settings{}
	sim.settings.External.State, sim.settings.External.Cloud = "state:1", "cloud:1"
	d := &sim.settings.Deployment
	d.Teams = []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 24}}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 1.2, 12, 45
	d.Workers.GangWaitS, d.Workers.GangPeerS = 15, 3
	d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 1000, 500, 8, 12
	d.Cloud.RPS = 10
	sim.state = &simStateService{sim: sim, keys: map[string]*storedValue{}, leases: map[uint64]*simLease{}}
	sim.cloud = &simCloud{sim: sim, rentals: map[string][]string{}, available: 12}
	for i := range 3 {
		sim.controllers = append(sim.controllers, &simController{sim: sim, name: fmt.Sprintf("node-%d", i), index: i})
	}
	for _, controller := range sim.controllers {
		controller.boot()
	}
	sim.checkPeriodically()
	return sim
}
