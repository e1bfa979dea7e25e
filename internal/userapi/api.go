package userapi

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// API answers users.
type API struct {
	// Progress tells how many tasks of a job are done and running, for
	// display.
	Progress func(id string) (done, running int)
	// RunningGangTasks is the same for a gang, whose tasks may be on machines and wait.
	RunningGangTasks func(id string) int
	// MachineTypes are the machine types, nil while unknown.
	MachineTypes func() []jobs.MachineType

	rt      eventloop.Runtime
	state   *statestore.Client
	cat     *Catalog
	set     *settings.Settings
	log     *slog.Logger
	queue   []*creation
	flights int           // commits under way
	began   time.Duration // the newest of those
	resting bool          // after a refused one
	timed   bool
	most    int           // submissions in a commit; few while changes are scarce
	budget  float64       // of changes, while they are scarce
	filled  time.Duration // when that was last looked at
	pending map[string]*creation
}

// creation is a submission on its way to the state service.
type creation struct {
	id      string
	value   json.RawMessage
	expires time.Duration
	tries   int
	sent    bool // in a commit whose answer is awaited
	replies []http1.ResponseWriter
	// late are those who asked after it was sent. Another node may have read the
	// job by then, told its user and even called it off: they get what is
	// proven after their question.
	late []http1.ResponseWriter
}

// NewAPI returns the user API.
func NewAPI(rt eventloop.Runtime, state *statestore.Client, cat *Catalog, set *settings.Settings, log *slog.Logger) *API {
	return &API{
		rt: rt, state: state, cat: cat, set: set, log: log, most: state.MaxOperations(), pending: map[string]*creation{},
		Progress: func(string) (int, int) { return 0, 0 }, RunningGangTasks: func(string) int { return 0 },
	}
}

func refuse(reply http1.ResponseWriter, reason string) {
	reply(503, http1.ErrorBody(reason), tuning.RetryAfterSeconds)
}

// status is a job as its user sees it.
type status struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func (d *API) tell(reply http1.ResponseWriter, e *Entry) {
	s := status{ID: e.ID, Phase: e.Phase}
	switch e.Phase {
	case PhaseDone:
		s.Done = e.TaskCount
	case PhaseCancelled:
	default:
		s.Done, s.Running = d.Progress(e.ID)
		if e.Spec != nil && e.Spec.IsGang() {
			s.Running = d.RunningGangTasks(e.ID)
		}
		s.Phase = "pending"
		if s.Running > 0 {
			s.Phase = "running"
		}
	}
	body, err := json.Marshal(s)
	if err != nil {
		reply(500, http1.ErrorBody("answer does not encode"), 0)
		return
	}
	reply(200, body, 0)
}

// Submit serves POST /work.
func (d *API) Submit(body []byte, reply http1.ResponseWriter) {
	job, err := jobs.Parse(body)
	if err != nil {
		reply(400, http1.ErrorBody(err.Error()), 0)
		return
	}
	if !d.cat.Ready() {
		refuse(reply, "starting: jobs not read yet")
		return
	}
	if d.cat.Get(job.ID) != nil {
		d.Poll(job.ID, reply)
		return
	}
	types := d.MachineTypes()
	if types == nil {
		refuse(reply, "starting: machine types not known yet")
		return
	}
	// The job may have been accepted elsewhere, when it was feasible.
	unlessKnown := func(status int, why string) {
		d.cat.Verify(func(err error) {
			switch e := d.cat.Get(job.ID); {
			case e != nil && err == nil:
				d.tell(reply, e)
			case err != nil:
				refuse(reply, "state service not reached")
			default:
				reply(status, http1.ErrorBody(why), 0)
			}
		})
	}
	if why := jobs.Feasible(job, types, d.set.Deployment.Teams); why != nil {
		unlessKnown(422, why.Error())
		return
	}
	if c := d.pending[job.ID]; c != nil {
		if c.sent {
			c.late = append(c.late, reply)
		} else {
			c.replies = append(c.replies, reply)
		}
		return
	}
	r := Record{SubmittedMS: d.rt.WallClock().UnixMilli(), Spec: job}
	value, err := json.Marshal(r)
	if err == nil && len(value) > d.state.MaxValueBytes() {
		// Of a long list of machine types those that there are say the same.
		job.KeepKnownMachineTypes(types)
		value, err = json.Marshal(r)
	}
	if err != nil || len(value) > d.state.MaxValueBytes() {
		unlessKnown(400, "description too large")
		return
	}
	c := &creation{id: job.ID, value: value, expires: d.rt.Now() + tuning.SubmissionTimeout, replies: []http1.ResponseWriter{reply}}
	d.pending[job.ID] = c
	d.queue = append(d.queue, c)
	d.flush()
}

// flush commits waiting submissions, several at a time. While an answer is slow,
// others do not wait behind it.
func (d *API) flush() {
	if d.resting || d.flights >= tuning.MaxCommitsInFlight || len(d.queue) == 0 {
		return
	}
	if wait := d.began + tuning.CommitPipelineDelay - d.rt.Now(); d.flights > 0 && wait > 0 {
		d.flushAfter(wait)
		return
	}
	most := d.changes()
	if most == 0 {
		return
	}
	batch, guards, sets := d.next(most)
	if len(batch) == 0 {
		return
	}
	d.flights++
	d.budget -= float64(len(batch))
	d.began = d.rt.Now()
	d.state.Commit(guards, sets, func(r statestore.CommitResult) {
		d.flights--
		d.answered(batch, r)
	})
}

// flushAfter looks again after a while.
func (d *API) flushAfter(wait time.Duration) {
	if d.timed {
		return
	}
	d.timed = true
	d.rt.After(wait, func() {
		d.timed = false
		d.flush()
	})
}

// changes is how many changes the next commit may hold; 0: none now.
func (d *API) changes() int {
	rate := d.rate()
	if !d.state.WritesThrottled() {
		d.budget, d.filled = max(1, rate), d.rt.Now()
		return d.most
	}
	now := d.rt.Now()
	d.budget = min(max(1, rate), d.budget+rate*(now-d.filled).Seconds())
	d.filled = now
	if d.budget < 1 {
		d.flushAfter(time.Duration((1-d.budget)/rate*float64(time.Second)) + time.Millisecond)
		return 0
	}
	return min(d.most, int(d.budget))
}

// next takes the submissions of the next commit off the queue.
func (d *API) next(most int) (batch []*creation, guards []statestore.Condition, sets []statestore.Operation) {
	size := 0
	for len(d.queue) > 0 && len(batch) < most && size < tuning.MaxCommitBytes {
		c := d.queue[0]
		d.queue = d.queue[1:]
		if d.rt.Now() >= c.expires {
			d.refuseBoth(c, "state service not reached")
			continue
		}
		c.sent = true
		batch = append(batch, c)
		guards = append(guards, statestore.Condition{Key: KeyPrefix + c.id})
		sets = append(sets, statestore.Operation{PutKey: KeyPrefix + c.id, Value: c.value})
		size += len(c.value) + 100
	}
	return batch, guards, sets
}

// refuseBoth refuses a submission and its repeats, for now.
func (d *API) refuseBoth(c *creation, why string) {
	refused := func(r http1.ResponseWriter) { refuse(r, why) }
	d.finish(c, refused, refused)
}

// answered takes the outcome of a commit of submissions.
func (d *API) answered(batch []*creation, r statestore.CommitResult) {
	switch r.Outcome {
	case statestore.OutcomeOK:
		d.most = min(2*d.most, d.state.MaxOperations())
		for _, c := range batch {
			d.accepted(c, r.Revision)
		}
	case statestore.OutcomeConflict:
		for _, c := range batch {
			if !slices.Contains(r.FailedKeys, KeyPrefix+c.id) {
				d.queue = append(d.queue, c)
				continue
			}
			poll := func(reply http1.ResponseWriter) { d.Poll(c.id, reply) }
			d.finish(c, poll, poll)
		}
	case statestore.OutcomeRefused:
		d.again(batch)
		return
	case statestore.OutcomeInvalid:
		// Found too large: one by one next. What is too large alone is looked
		// at again, by the limits now known, when it is submitted again.
		if d.most = 1; len(batch) > 1 {
			d.queue = append(batch, d.queue...)
			break
		}
		for _, c := range batch {
			d.refuseBoth(c, "state service refused the record")
		}
	default:
		// It may have been carried out or may yet be; the same
		// submission repeated finds out.
		for _, c := range batch {
			d.refuseBoth(c, "state service did not answer")
		}
	}
	d.flush()
}

// accepted tells a user that the job is stored.
func (d *API) accepted(c *creation, epoch uint64) {
	d.cat.Observe(c.id, c.value, epoch)
	d.finish(c, func(reply http1.ResponseWriter) {
		body, err := json.Marshal(map[string]string{"id": c.id, "phase": "pending"})
		if err != nil {
			body = []byte("{}")
		}
		reply(201, body, 0)
	}, func(reply http1.ResponseWriter) { d.Poll(c.id, reply) })
}

// again queues a refused batch once more, after a rest. A large commit finds no changes
// left again and again while small ones of others pass.
func (d *API) again(batch []*creation) {
	d.most = max(1, len(batch)/2)
	tries := 0
	for _, c := range batch {
		c.tries++
		tries = max(tries, c.tries)
	}
	d.queue = append(batch, d.queue...)
	d.resting = true
	d.rt.After(d.state.Backoff(tries-1), func() {
		d.resting = false
		d.flush()
	})
}

// rate is this node's part of the changes a second for submissions while changes are
// scarce: decisions come first.
func (d *API) rate() float64 {
	limits := &d.set.Deployment.State
	return max(0.5, limits.WriteRPS*tuning.SubmissionWriteShare*d.state.WriteShare()/float64(len(d.set.Seeds)+1))
}

// finish answers all who wait for a submission; late is for those who asked after
// it was sent.
func (d *API) finish(c *creation, fn, late func(http1.ResponseWriter)) {
	delete(d.pending, c.id)
	for _, reply := range c.replies {
		fn(reply)
	}
	for _, reply := range c.late {
		late(reply)
	}
}

// Poll serves GET /work/{id}.
func (d *API) Poll(id string, reply http1.ResponseWriter) {
	d.cat.Verify(func(err error) {
		if err != nil {
			refuse(reply, "state service not reached")
			return
		}
		e := d.cat.Get(id)
		if e == nil {
			// The catalog holds every job record and was just proven to be
			// current.
			reply(404, http1.ErrorBody("no such job"), 0)
			return
		}
		d.tell(reply, e)
	})
}

// Cancel serves POST /work/{id}/cancel.
func (d *API) Cancel(id string, reply http1.ResponseWriter) { d.cancel(id, reply, 0) }

func (d *API) cancel(id string, reply http1.ResponseWriter, try int) {
	if try > 6 {
		refuse(reply, "state service not reached")
		return
	}
	d.cat.Verify(func(err error) {
		if err != nil {
			refuse(reply, "state service not reached")
			return
		}
		e := d.cat.Get(id)
		if e == nil {
			reply(404, http1.ErrorBody("no such job"), 0)
			return
		}
		if e.Phase != "" {
			d.tell(reply, e)
			return
		}
		r := e.Record
		r.Phase, r.CancelledMS = PhaseCancelled, d.rt.WallClock().UnixMilli()
		value, err := json.Marshal(r)
		if err == nil && len(value) > d.state.MaxValueBytes() && r.Spec != nil {
			// Stored when values could be larger. What a cancelled job still needs
			// is what its tasks take of the machines that have them.
			r.Spec = r.Spec.WithoutStartFields()
			value, err = json.Marshal(r)
		}
		if err != nil {
			reply(500, http1.ErrorBody("record does not encode"), 0)
			return
		}
		d.state.Commit([]statestore.Condition{{Key: KeyPrefix + id, Revision: e.Revision}}, []statestore.Operation{{PutKey: KeyPrefix + id, Value: value}},
			func(res statestore.CommitResult) {
				switch res.Outcome {
				case statestore.OutcomeOK:
					d.cat.Observe(id, value, res.Revision)
					d.tell(reply, d.cat.Get(id))
				case statestore.OutcomeConflict, statestore.OutcomeInvalid:
					d.cancel(id, reply, try+1)
				case statestore.OutcomeRefused:
					d.rt.After(d.state.Backoff(try), func() { d.cancel(id, reply, try+1) })
				default:
					refuse(reply, "state service did not answer")
				}
			})
	})
}

// Route sorts a user's request; it reports false for paths that are not the
// users'.
func (d *API) Route(req *http1.Request, reply http1.ResponseWriter) bool {
	if req.Path == "/work" {
		if req.Method != "POST" {
			reply(405, http1.ErrorBody("method not allowed"), 0)
			return true
		}
		d.Submit(req.Body, reply)
		return true
	}
	rest, ok := strings.CutPrefix(req.Path, "/work/")
	if !ok {
		return false
	}
	id, verb, has := strings.Cut(rest, "/")
	switch {
	case !has && req.Method == "GET":
		if !jobs.ValidID(id) {
			reply(404, http1.ErrorBody("no such job"), 0)
			return true
		}
		d.Poll(id, reply)
	case has && verb == "cancel" && req.Method == "POST":
		if !jobs.ValidID(id) {
			reply(404, http1.ErrorBody("no such job"), 0)
			return true
		}
		d.Cancel(id, reply)
	case !has || verb == "cancel":
		reply(405, http1.ErrorBody("method not allowed"), 0)
	default:
		reply(404, http1.ErrorBody("no such path"), 0)
	}
	return true
}
