package userapi

import (
	"encoding/json"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// submission is a submitted job that is not known to be stored yet.
type submission struct {
	jobID     string
	value     json.RawMessage // encoded Record
	expiresAt time.Duration   // refused if not sent in a commit by this time
	refusals  int             // number of refused commits that contained it
	sent      bool            // has been sent in a commit
	waiters   []http1.ResponseWriter
	// lateWaiters are the requests that arrived after the submission was sent. By then another
	// node may have read the job, told its user and even cancelled it, so these requests are
	// answered with a status that is verified after they arrived.
	lateWaiters []http1.ResponseWriter
}

// submissions handles submitted jobs: it validates them, collects those that arrive together
// and commits them in batches, see submission_commits.go.
type submissions struct {
	runtime  eventloop.Runtime
	client   *statestore.Client
	catalog  *Catalog
	settings *settings.Settings
	machines MachineTypes
	polls    *polls

	queue   []*submission          // submissions that are not in a commit
	pending map[string]*submission // all unanswered submissions, by job ID
	commits commitPipeline
	budget  writeBudget
}

func newSubmissions(config Config, polls *polls) *submissions {
	return &submissions{
		runtime: config.Runtime, client: config.Client, catalog: config.Catalog, settings: config.Settings,
		machines: config.Machines, polls: polls,
		pending: map[string]*submission{},
		commits: commitPipeline{maxBatch: config.Client.MaxOperations()},
	}
}

// submit handles a submission. It responds without a commit if the job is invalid, infeasible,
// too large or already known, or the node is not ready. Otherwise it responds when the job has
// been committed, the outcome of the commit is unknown or the submission has expired.
func (s *submissions) submit(body []byte, respond http1.ResponseWriter) {
	job, err := jobs.Parse(body)
	if err != nil {
		respondError(respond, 400, err.Error())
		return
	}
	if !s.catalog.Ready() {
		respondUnavailable(respond, reasonJobsNotRead)
		return
	}
	if s.catalog.Get(job.ID) != nil {
		s.polls.poll(job.ID, respond)
		return
	}
	machineTypes := s.machines.MachineTypes()
	if machineTypes == nil {
		respondUnavailable(respond, reasonTypesNotKnown)
		return
	}
	if err := jobs.Feasible(job, machineTypes, s.settings.Deployment.Teams); err != nil {
		s.rejectUnlessKnown(job.ID, 422, err.Error(), respond)
		return
	}
	if earlier := s.pending[job.ID]; earlier != nil {
		earlier.addWaiter(respond)
		return
	}
	value, err := s.encodeRecord(job, machineTypes)
	if err != nil || len(value) > s.client.MaxValueBytes() {
		s.rejectUnlessKnown(job.ID, 400, "description too large", respond)
		return
	}
	s.enqueue(job.ID, value, respond)
}

// rejectUnlessKnown rejects a job that cannot be accepted, unless the verified catalog contains
// it: another node may have accepted it earlier, when it was feasible.
func (s *submissions) rejectUnlessKnown(id string, status int, reason string, respond http1.ResponseWriter) {
	s.catalog.Verify(func(err error) {
		switch entry := s.catalog.Get(id); {
		case err != nil:
			respondUnavailable(respond, reasonStateNotReached)
		case entry != nil:
			s.polls.respondStatus(respond, entry)
		default:
			respondError(respond, status, reason)
		}
	})
}

// encodeRecord returns the encoded record of a new job. If the record is too large for the
// state service, machine types that do not exist are removed from the job's list of allowed
// ones, which does not change its meaning.
func (s *submissions) encodeRecord(job *jobs.Spec, machineTypes []jobs.MachineType) (json.RawMessage, error) {
	record := Record{SubmittedMS: s.runtime.WallClock().UnixMilli(), Spec: job}
	value, err := json.Marshal(record)
	if err == nil && len(value) > s.client.MaxValueBytes() {
		job.KeepKnownMachineTypes(machineTypes)
		value, err = json.Marshal(record)
	}
	return value, err
}

// enqueue adds a new submission to the queue and flushes the queue.
func (s *submissions) enqueue(id string, value json.RawMessage, respond http1.ResponseWriter) {
	submitted := &submission{
		jobID: id, value: value, expiresAt: s.runtime.Now() + tuning.SubmissionTimeout,
		waiters: []http1.ResponseWriter{respond},
	}
	s.pending[id] = submitted
	s.queue = append(s.queue, submitted)
	s.flush()
}

// addWaiter adds the request that repeats the submission, to be answered together with it.
func (s *submission) addWaiter(respond http1.ResponseWriter) {
	if s.sent {
		s.lateWaiters = append(s.lateWaiters, respond)
	} else {
		s.waiters = append(s.waiters, respond)
	}
}

// finish removes a submission from the pending ones and answers all requests that wait for it:
// those that arrived before it was sent by respond, later ones by respondLate.
func (s *submissions) finish(finished *submission, respond, respondLate func(http1.ResponseWriter)) {
	delete(s.pending, finished.jobID)
	for _, waiter := range finished.waiters {
		respond(waiter)
	}
	for _, waiter := range finished.lateWaiters {
		respondLate(waiter)
	}
}

// refuse answers all requests that wait for a submission with 503 and the reason.
func (s *submissions) refuse(refused *submission, reason string) {
	respond := func(waiter http1.ResponseWriter) { respondUnavailable(waiter, reason) }
	s.finish(refused, respond, respond)
}

// pollInstead answers all requests that wait for a submission with the status of the stored
// job.
func (s *submissions) pollInstead(known *submission) {
	respond := func(waiter http1.ResponseWriter) { s.polls.poll(known.jobID, waiter) }
	s.finish(known, respond, respond)
}

// accept adds a stored submission to the catalog and answers all requests that wait for it: 201
// to those that arrived before it was sent, the verified status to later ones.
func (s *submissions) accept(stored *submission, revision uint64) {
	s.catalog.Observe(stored.jobID, stored.value, revision)
	s.catalog.log.Info("job accepted", "job", stored.jobID, "revision", revision)
	s.finish(stored,
		func(waiter http1.ResponseWriter) { waiter(201, encodeAccepted(stored.jobID), 0) },
		func(waiter http1.ResponseWriter) { s.polls.poll(stored.jobID, waiter) })
}
