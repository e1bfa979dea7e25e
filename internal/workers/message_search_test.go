package workers

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/messagefaults"
	"lemonmoor/internal/metrics"
	"lemonmoor/internal/taskstate"
)

const (
	// searchSeedsVariable is the environment variable with the number of seeds of a long search.
	searchSeedsVariable = "LEMONMOOR_SEARCH_SEEDS"
	searchSeedsInCI     = 4000
	searchLength        = 90 * time.Second
	// searchStart is the time of the fixture's clock at which a run begins.
	searchStart = time.Hour
	// reportTimeout is the time after which a worker drops the answer to a report (protocol,
	// "Workers -> controller nodes").
	reportTimeout = 4 * time.Second
	// minReportPause is the least time between two reports of a worker.
	minReportPause = 500 * time.Millisecond
)

// TestSearchOverMessageDelays plays a registry and one worker in simulated time. Every message
// draws its own delay, and the link between the two holds messages back in either direction and
// delivers them in order afterwards. It checks that a task which is considered gone neither runs
// nor can be started by a message under way, and that no invariant is violated. A long search, by
// hand:
//
//	LEMONMOOR_SEARCH_SEEDS=200000 go test ./internal/workers -run TestSearchOverMessageDelays -v
func TestSearchOverMessageDelays(t *testing.T) {
	seeds, err := strconv.ParseUint(os.Getenv(searchSeedsVariable), 10, 32)
	if err != nil {
		seeds = searchSeedsInCI
	}
	broken := map[string]uint64{} // first seed of each kind of failure
	failures, starts := 0, 0
	for seed := range seeds {
		search := newMessageSearch(seed)
		search.run()
		starts += search.launched
		if search.failure == "" {
			continue
		}
		failures++
		if _, known := broken[search.failureKind]; !known {
			broken[search.failureKind] = seed
			t.Errorf("seed %d: %s: %s\n%s", seed, search.failureKind, search.failure, strings.Join(search.trace, "\n"))
		}
	}
	t.Logf("%d seeds, %d attempts launched, %d seeds failed, first seeds by kind: %v", seeds, starts, failures, broken)
	if starts < int(seeds) {
		t.Errorf("not run: %d attempts launched in %d seeds", starts, seeds)
	}
}

// searchEvent is an event in simulated time.
type searchEvent struct {
	at    time.Duration
	order int
	fn    func()
}

// searchQueue orders events by time, and those of the same time by when they were scheduled.
type searchQueue []searchEvent

func (q searchQueue) Len() int { return len(q) }
func (q searchQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || (q[i].at == q[k].at && q[i].order < q[k].order)
}
func (q searchQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *searchQueue) Push(e any)   { *q = append(*q, e.(searchEvent)) }
func (q *searchQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// messageSearch is one run of the search.
type messageSearch struct {
	*registryFixture
	delays               messagefaults.Delays
	queue                searchQueue
	scheduled            int
	toWorker, fromWorker messagefaults.Direction
	copyShare            float64       // share of the executed direct messages of which a copy follows
	taskTime             time.Duration // longest run time of a task
	renewing             bool
	inFlight             *sentReport // report whose answer the worker waits for, or nil
	reportedAt           time.Duration
	reportNumber         int
	underWay             map[int][]byte // direct messages and answers that the worker may still execute
	nextMessage          int
	launched             int
	failure              string
	failureKind          string
	trace                []string
}

func newMessageSearch(seed uint64) *messageSearch {
	rng := rand.New(rand.NewPCG(seed, 50))
	search := &messageSearch{
		registryFixture: newRegistryFixture(2 + rng.IntN(5)), underWay: map[int][]byte{},
		delays:    messagefaults.Delays{Random: rng, LateShare: []float64{0, 0.05, 0.2}[rng.IntN(3)]},
		copyShare: []float64{0, 0, 0.3}[rng.IntN(3)],
		taskTime:  []time.Duration{2 * time.Second, 20 * time.Second}[rng.IntN(2)],
	}
	search.onCall = search.sendDirect
	search.onRenewToken = search.renewToken
	search.onTaskWaiting = search.checkGone
	return search
}

func (s *messageSearch) schedule(delay time.Duration, fn func()) {
	s.scheduled++
	heap.Push(&s.queue, searchEvent{s.now + max(0, delay), s.scheduled, fn})
}

func (s *messageSearch) log(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("  %8.4f ", (s.now-searchStart).Seconds())+fmt.Sprintf(format, args...))
}

// run plays the events until the end of the run or the first failure.
func (s *messageSearch) run() {
	end := s.now + searchLength
	s.schedule(0, s.report)
	s.schedule(time.Second, s.tick)
	s.schedule(s.delays.Within(1000), s.place)
	s.schedule(s.delays.Within(10000), s.holdLink)
	s.schedule(s.delays.Within(10000), s.pokeWorker)
	for len(s.queue) > 0 && s.failure == "" && s.now < end {
		next := heap.Pop(&s.queue).(searchEvent)
		s.now = next.at
		next.fn()
		s.registry.AfterBatch()
		s.checkWorker()
	}
}

// checkWorker fails the run if an attempt has started again, or if an invariant is violated.
func (s *messageSearch) checkWorker() {
	if s.failure != "" {
		return
	}
	if len(s.worker.startedAgain) > 0 {
		s.fail("started again", fmt.Sprint(s.worker.startedAgain))
	}
	for _, invariant := range metrics.Invariants {
		if s.registry.metrics.Violations(invariant) > 0 {
			s.fail("invariant", string(invariant))
		}
	}
}

func (s *messageSearch) fail(kind, failure string) {
	if s.failure == "" {
		s.failureKind, s.failure = kind, failure
		s.log("FAILED %s %s", kind, failure)
	}
}

// checkGone fails the run if a task that is considered gone runs, or if a message under way can
// start it.
func (s *messageSearch) checkGone(task *taskstate.Task) {
	s.expireLease()
	attempt := taskAttempt{task.Name(), task.Attempt}
	s.log("%v is considered gone", attempt)
	if s.worker.tasks[task.Name()] == task.Attempt {
		s.fail("gone but running", attempt.String())
	}
	for _, body := range s.underWay {
		var message CommandMessage
		_ = json.Unmarshal(body, &message)
		if message.Token < s.worker.token || (message.Session != 0 && message.Session != s.worker.session) {
			continue
		}
		for _, command := range message.Commands {
			if command.Verb == VerbLaunch && (taskAttempt{command.TaskName, command.Attempt}) == attempt && !s.knows(attempt) {
				s.fail("gone but can start", attempt.String())
			}
		}
	}
}

// holdLink holds back the messages of one direction or of both for a drawn time, again and again.
func (s *messageSearch) holdLink() {
	until := s.now + s.delays.HoldTime()
	which := s.delays.Random.IntN(3)
	if which != 0 {
		s.toWorker.Hold(until)
	}
	if which != 1 {
		s.fromWorker.Hold(until)
	}
	s.log("link held until %.4f (to the worker %v, from it %v)", (until - searchStart).Seconds(), which != 0, which != 1)
	s.schedule(until-s.now+s.delays.Within(10000), s.holdLink)
}

// sendDirect carries a direct message of the registry to the worker, and the answer back.
func (s *messageSearch) sendDirect(direct sentRequest, timeout time.Duration) {
	finished := false
	finish := func(response http1.Response, err error) {
		if !finished {
			finished = true
			direct.fn(response, err)
		}
	}
	connection := s.delays.DrawConnection()
	opened := s.delays.Open(&s.toWorker, &s.fromWorker, s.now, connection)
	if opened-s.now > timeout {
		s.log("direct %s: not sent", direct.body)
		s.schedule(timeout, func() { finish(http1.Response{}, eventloop.ErrNotSent) })
		return
	}
	number := s.carry(direct.body)
	s.log("direct %d %s", number, direct.body)
	s.schedule(timeout, func() { finish(http1.Response{}, eventloop.ErrNoAnswer) })
	s.schedule(opened-s.now, func() {
		s.schedule(s.delays.Arrival(&s.toWorker, s.now, connection)-s.now, func() {
			delete(s.underWay, number)
			response := s.deliverDirect(direct)
			s.log("direct %d executed: %d %s", number, response.Status, response.Body)
			s.workerChanged()
			s.copyLater(direct, response)
			s.schedule(s.delays.Arrival(&s.fromWorker, s.now, connection)-s.now, func() { finish(response, nil) })
		})
	})
}

// carry adds a message to those under way and returns its number.
func (s *messageSearch) carry(body []byte) int {
	s.nextMessage++
	s.underWay[s.nextMessage] = body
	return s.nextMessage
}

// copyLater lets a copy of an executed direct message arrive again.
func (s *messageSearch) copyLater(direct sentRequest, response http1.Response) {
	if response.Status != 200 || s.delays.Random.Float64() >= s.copyShare {
		return
	}
	number := s.carry(direct.body)
	s.schedule(s.delays.Within(15000), func() {
		delete(s.underWay, number)
		response := s.deliverDirect(direct)
		s.log("copy %d executed: %d", number, response.Status)
	})
}

// report has the worker send a report to the owner.
func (s *messageSearch) report() {
	s.reportNumber++
	sent := &sentReport{number: s.reportNumber, at: s.now, heartbeat: s.heartbeat(), connection: s.delays.DrawConnection()}
	s.inFlight, s.reportedAt = sent, s.now
	s.schedule(reportTimeout, func() { s.reportOver(sent, time.Second) })
	opened := s.delays.Open(&s.fromWorker, &s.toWorker, s.now, sent.connection)
	if opened-s.now > reportTimeout {
		return
	}
	s.schedule(opened-s.now, func() {
		s.schedule(s.delays.Arrival(&s.fromWorker, s.now, sent.connection)-s.now, func() { s.receiveReport(sent) })
	})
}

// sentReport is a report of the worker.
type sentReport struct {
	number     int
	at         time.Duration
	heartbeat  *Heartbeat
	connection messagefaults.Connection
	answer     int // number of the answer among the messages under way, 0 if there is none
}

// reportOver ends the wait for the answer to a report, which is not executed any more, and schedules
// the next report.
func (s *messageSearch) reportOver(sent *sentReport, pause time.Duration) {
	if s.inFlight == sent {
		s.inFlight = nil
		delete(s.underWay, sent.answer)
		s.schedule(pause, func() { s.reportIfDue(sent.number) })
	}
}

// receiveReport has the owner process a report, and carries the answer to the worker.
func (s *messageSearch) receiveReport(sent *sentReport) {
	if !s.MayAnswer() {
		return
	}
	status, body := s.registry.HandleHeartbeat(sent.heartbeat)
	s.log("report %d (seq %d, token %d, tasks %v): %d %s", sent.number, sent.heartbeat.Sequence, sent.heartbeat.Token, sent.heartbeat.Tasks, status, body)
	if s.inFlight != sent {
		return // the worker has given up
	}
	sent.answer = s.carry(body)
	s.schedule(s.delays.Arrival(&s.toWorker, s.now, sent.connection)-s.now, func() { s.receiveReportAnswer(sent, status, body) })
}

// receiveReportAnswer has the worker execute the answer to a report, unless it has given up.
func (s *messageSearch) receiveReportAnswer(sent *sentReport, status int, body []byte) {
	if s.inFlight != sent {
		return
	}
	if status != statusAnswered {
		s.reportOver(sent, time.Second)
		return
	}
	s.log("answer to report %d read", sent.number)
	s.receiveAnswer(body, sent.heartbeat.Session, sent.at)
	s.reportOver(sent, 5*time.Second+s.delays.Within(2000))
	s.workerChanged()
}

// reportIfDue sends the next report unless one was sent since the one with the given number.
func (s *messageSearch) reportIfDue(number int) {
	if number == s.reportNumber && s.inFlight == nil {
		s.report()
	}
}

// workerChanged has the worker send the next report as soon as it may.
func (s *messageSearch) workerChanged() {
	if s.inFlight == nil {
		number := s.reportNumber
		s.schedule(s.reportedAt+minReportPause-s.now, func() { s.reportIfDue(number) })
	}
}

func (s *messageSearch) tick() {
	s.expireLease()
	s.registry.Tick()
	s.schedule(time.Second, s.tick)
}

// place places a waiting task now and then. Its placement is durable a little later.
func (s *messageSearch) place() {
	s.schedule(s.delays.Within(500), s.place)
	worker := s.registry.Worker("vm-1")
	if worker == nil || !s.registry.AcceptsTasks(worker) {
		return
	}
	for index := range len(s.job.Tasks) {
		task := s.job.Tasks[index]
		if task.State != taskstate.StateWaiting || s.delays.Random.IntN(2) == 0 {
			continue
		}
		s.registry.PlaceTask(task, worker)
		attempt, token := task.Attempt, s.token
		s.launched++
		delay := []time.Duration{s.delays.Within(20), s.delays.Within(4000)}[s.delays.Random.IntN(2)]
		s.schedule(delay, func() {
			if task.State == taskstate.StatePlaced && task.Attempt == attempt && s.token == token {
				task.PlacementDurable = true
				s.registry.PlacementDurable(task)
			}
		})
		s.schedule(time.Duration(s.delays.Random.Int64N(int64(s.taskTime))), func() { s.endAttempt(task.Name(), attempt) })
	}
}

// endAttempt ends an attempt that runs on the worker.
func (s *messageSearch) endAttempt(name string, attempt uint64) {
	if s.worker.tasks[name] == attempt {
		s.endTask(name, []EndCause{CauseError, CauseHalted, CauseFull}[s.delays.Random.IntN(3)])
		s.log("%s@%d ends", name, attempt)
		s.workerChanged()
	}
}

// pokeWorker has the registry ask the worker for its tasks by a direct message, as for a gang.
func (s *messageSearch) pokeWorker() {
	s.schedule(s.delays.Within(3000), s.pokeWorker)
	if worker := s.registry.Worker("vm-1"); worker != nil {
		worker.delivery.taskProbeDue, s.registry.commandsDue[worker] = true, true
	}
}

// renewToken begins a term under a new token a little later, mostly of this process.
func (s *messageSearch) renewToken() {
	if s.renewing {
		return
	}
	s.renewing = true
	delay := []time.Duration{s.delays.Within(25), s.delays.Within(5000)}[s.delays.Random.IntN(2)]
	s.schedule(delay, func() {
		s.renewing = false
		for _, task := range s.job.Tasks { // the records are read again
			if task.State == taskstate.StatePlaced && !task.PlacementDurable {
				task.TakeOffWorker()
				continue
			}
			task.Observed = taskstate.Observation{}
		}
		s.beginTerm()
		s.log("term under token %d", s.token)
	})
}
