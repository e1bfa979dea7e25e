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

// submission is a job on its way to the state service.
type submission struct {
	jobID     string
	value     json.RawMessage // its record
	expiresAt time.Duration   // refused if it is not in a commit by then
	refusals  int             // of commits that it was in
	sent      bool            // in a commit whose answer is awaited
	waiters   []http1.ResponseWriter
	// lateWaiters have asked after it was sent. Another node may have read the job by then,
	// told its user and even cancelled it: they get what is verified after their question.
	lateWaiters []http1.ResponseWriter
}

// submissions accepts jobs: it checks them, gathers those that arrive together and commits
// them in batches, see submission_commits.go.
type submissions struct {
	runtime  eventloop.Runtime
	client   *statestore.Client
	catalog  *Catalog
	settings *settings.Settings
	machines MachineTypes
	polls    *polls

	queue   []*submission          // those that are in no commit
	pending map[string]*submission // all that are not answered, by job
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

// submit answers a submission, at once if it cannot be accepted or is known, else when it
// has been committed.
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

// rejectUnlessKnown rejects a job for a reason that lies in it, unless it has been accepted
// elsewhere, when it was feasible.
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

// encodeRecord returns the record of a new job. If it is too large for the state service it
// keeps, of a long list of machine types, only those that there are, which says the same.
func (s *submissions) encodeRecord(job *jobs.Spec, machineTypes []jobs.MachineType) (json.RawMessage, error) {
	record := Record{SubmittedMS: s.runtime.WallClock().UnixMilli(), Spec: job}
	value, err := json.Marshal(record)
	if err == nil && len(value) > s.client.MaxValueBytes() {
		job.KeepKnownMachineTypes(machineTypes)
		value, err = json.Marshal(record)
	}
	return value, err
}

func (s *submissions) enqueue(id string, value json.RawMessage, respond http1.ResponseWriter) {
	submitted := &submission{
		jobID: id, value: value, expiresAt: s.runtime.Now() + tuning.SubmissionTimeout,
		waiters: []http1.ResponseWriter{respond},
	}
	s.pending[id] = submitted
	s.queue = append(s.queue, submitted)
	s.flush()
}

// addWaiter takes note of a repetition of the submission.
func (s *submission) addWaiter(respond http1.ResponseWriter) {
	if s.sent {
		s.lateWaiters = append(s.lateWaiters, respond)
	} else {
		s.waiters = append(s.waiters, respond)
	}
}

// finish answers all who wait for a submission.
func (s *submissions) finish(finished *submission, respond, respondLate func(http1.ResponseWriter)) {
	delete(s.pending, finished.jobID)
	for _, waiter := range finished.waiters {
		respond(waiter)
	}
	for _, waiter := range finished.lateWaiters {
		respondLate(waiter)
	}
}

// refuse answers all who wait for a submission that it cannot be accepted now.
func (s *submissions) refuse(refused *submission, reason string) {
	respond := func(waiter http1.ResponseWriter) { respondUnavailable(waiter, reason) }
	s.finish(refused, respond, respond)
}

// pollInstead answers all who wait for a submission with the job that is stored.
func (s *submissions) pollInstead(known *submission) {
	respond := func(waiter http1.ResponseWriter) { s.polls.poll(known.jobID, waiter) }
	s.finish(known, respond, respond)
}

// accept answers that a submission is stored.
func (s *submissions) accept(stored *submission, revision uint64) {
	s.catalog.Observe(stored.jobID, stored.value, revision)
	s.finish(stored,
		func(waiter http1.ResponseWriter) { waiter(201, encodeAccepted(stored.jobID), 0) },
		func(waiter http1.ResponseWriter) { s.polls.poll(stored.jobID, waiter) })
}
