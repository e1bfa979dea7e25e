package controller

import (
	"bytes"
	"encoding/json"
	"time"

	"lemonmoor/internal/http1"
)

// simUser is the user of one job, who compares every answer with the earlier ones.
type simUser struct {
	sim           *simulation
	job           *simJob
	lastPendingAt time.Duration // time of the last answer that the job is pending or running, or of the first one with its final phase
}

// submitAndPoll has a user submit a job and poll it until the end of the day. The user cancels
// it cancelAfter its acceptance, unless that is 0.
func (s *simulation) submitAndPoll(job *simJob, cancelAfter time.Duration) {
	s.jobs[job.id] = job
	(&simUser{sim: s, job: job}).submit(cancelAfter)
}

// request sends a user's request to a random controller.
func (u *simUser) request(method, path string, body []byte, timeout time.Duration, done func(http1.Response, error)) {
	controller := u.sim.controllers[u.sim.rng.IntN(len(u.sim.controllers))]
	controller.request("users", method, path, body, timeout, done)
}

// submit submits the job, every second until it is accepted or refused.
func (u *simUser) submit(cancelAfter time.Duration) {
	u.request("POST", "/work", u.job.body(), 5*time.Second, func(response http1.Response, err error) {
		switch {
		case err == nil && (response.Status == 200 || response.Status == 201):
			u.accepted(cancelAfter)
		case err == nil && (response.Status == 400 || response.Status == 422):
			u.sim.checker.recordViolation(ruleValidRefused, "the valid submission of %s is refused with %d: %s", u.job.id, response.Status, response.Body)
		default:
			u.sim.schedule(time.Second, func() { u.submit(cancelAfter) })
		}
	})
}

// accepted records that the job was accepted, and starts the user's polling and cancellation.
func (u *simUser) accepted(cancelAfter time.Duration) {
	u.job.accepted = true
	u.job.cancel = func() {
		if !u.job.cancelRequested {
			u.job.cancelRequested = true
			u.cancel()
		}
	}
	u.sendBurstQueries()
	u.sim.schedule(time.Second, u.poll)
	if cancelAfter > 0 {
		u.sim.schedule(cancelAfter, u.job.cancel)
	}
}

// cancel requests the cancellation of the job, every second until one request gets 200.
func (u *simUser) cancel() {
	sentAt := u.sim.now
	u.request("POST", "/work/"+u.job.id+"/cancel", nil, 5*time.Second, func(response http1.Response, err error) {
		if err == nil && response.Status == 200 {
			u.checkAnswer(response, sentAt)
			return
		}
		u.sim.schedule(time.Second, u.cancel)
	})
}

// poll queries the job every 2 s, also after its end, when its phase must not change.
func (u *simUser) poll() {
	sentAt := u.sim.now
	u.request("GET", "/work/"+u.job.id, nil, 2*time.Second, func(response http1.Response, err error) {
		switch {
		case err == nil && response.Status == 404:
			u.sim.checker.recordViolation(ruleForgotten, "%s is accepted, its status gets 404", u.job.id)
		case err == nil && response.Status == 200:
			u.checkAnswer(response, sentAt)
		}
		u.sim.schedule(2*time.Second, u.poll)
	})
}

// checkAnswer compares an answer to a request that was sent at sentAt with the earlier answers.
func (u *simUser) checkAnswer(response http1.Response, sentAt time.Duration) {
	job, checker := u.job, u.sim.checker
	phase := phaseOf(response)
	if job.reportedPhase != "" && phase != job.reportedPhase && sentAt < u.lastPendingAt {
		return // the two requests overlapped, so this answer may be the older one
	}
	if !job.ended() {
		u.lastPendingAt = u.sim.now
	} else if phase != job.reportedPhase {
		checker.recordViolation(ruleWentBack, "%s was reported as %s, now as %q", job.id, job.reportedPhase, phase)
	}
	if !job.ended() && (phase == "done" || phase == "cancelled") {
		defer u.sendBurstQueries()
	}
	switch phase {
	case "done":
		if len(job.completed) < job.tasks {
			checker.recordViolation(ruleNotDone, "%s is reported as done with %d of %d tasks completed", job.id, len(job.completed), job.tasks)
		}
		job.reportedPhase = "done"
	case "cancelled":
		if !job.cancelRequested {
			checker.recordViolation(ruleWentBack, "%s is reported as cancelled without a request", job.id)
		}
		if job.cancelledAt == 0 {
			job.cancelledAt = u.sim.now
		}
		job.reportedPhase = "cancelled"
	}
}

// sendBurstQueries sends, if users do so on this day, four requests to every controller within
// 33 ms, alternately queries and repeated submissions. It is called right after the job was
// accepted, ended or cancelled: no answer to a later request may show an older state.
func (u *simUser) sendBurstQueries() {
	if !u.sim.users.burstQueries {
		return
	}
	for _, controller := range u.sim.controllers {
		for i := range 4 {
			u.sim.schedule(time.Duration(i*u.sim.rng.IntN(12))*time.Millisecond, func() { u.queryOnce(controller, i%2 == 1) })
		}
	}
}

// queryOnce queries the job at one controller, or repeats its submission there.
func (u *simUser) queryOnce(controller *simController, resubmit bool) {
	sentAt := u.sim.now
	method, path, body := "GET", "/work/"+u.job.id, []byte(nil)
	if resubmit {
		method, path, body = "POST", "/work", u.job.body()
	}
	controller.request("users", method, path, body, 2*time.Second, func(response http1.Response, err error) {
		if err != nil {
			return
		}
		switch response.Status {
		case 400, 404, 422:
			u.sim.checker.recordViolation(ruleForgotten, "%s %s gets %d for %s, which is accepted", method, path, response.Status, u.job.id)
		case 200, 201:
			u.checkAnswer(response, sentAt)
		}
	})
}

// phaseOf returns the job's phase in an answer, or "".
func phaseOf(response http1.Response) string {
	var status struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(response.Body, &status)
	return status.Phase
}

// invalidRequestSender sends requests to one controller that must be refused or have no effect.
type invalidRequestSender struct {
	sim        *simulation
	controller *simController
}

// sendInvalidRequests sends at an interval, to the controllers in turn: queries of a job that
// nobody has submitted, jobs that fit no machine, exceed the team's limit or lack a field,
// cancellations of jobs that are done, and repeated submissions.
func (s *simulation) sendInvalidRequests(interval time.Duration) {
	sender := &invalidRequestSender{sim: s, controller: s.controllers[int(s.now/interval)%len(s.controllers)]}
	sender.askForUnknownJob()
	sender.submitImpossibleJobs()
	for i := range 40 {
		if job := s.jobs[jobID(i)]; job != nil && job.accepted {
			sender.repeatRequest(job)
		}
	}
	s.schedule(interval, func() { s.sendInvalidRequests(interval) })
}

// ask sends a request and passes its answer to check, unless the request failed or the
// controller is overloaded (429) or unavailable (503).
func (u *invalidRequestSender) ask(method, path string, body []byte, check func(status int, phase string)) {
	u.controller.request("users", method, path, body, 5*time.Second, func(response http1.Response, err error) {
		if err == nil && response.Status != 429 && response.Status != 503 {
			check(response.Status, phaseOf(response))
		}
	})
}

// askForUnknownJob queries a job that nobody has submitted, which must get 404.
func (u *invalidRequestSender) askForUnknownJob() {
	u.ask("GET", "/work/wk-999999", nil, func(status int, _ string) {
		if status != 404 {
			u.sim.checker.recordViolation(ruleInvented, "the status of a job that nobody submitted gets %d, want 404", status)
		}
	})
}

// submitImpossibleJobs submits two jobs that can never run, and one that lacks a field.
func (u *invalidRequestSender) submitImpossibleJobs() {
	fitsNoMachine := jobSpec{id: "wk-999998", team: "red", tasks: 1, cpus: 17}
	aboveLimit := jobSpec{id: "wk-999997", team: "red", tasks: int(u.sim.teamLimit) + 1, cpus: 1, service: true}
	complete := jobSpec{id: "wk-999996", team: "red", tasks: 1, cpus: 1}
	for _, submission := range []struct {
		body []byte
		want int
	}{
		{fitsNoMachine.body(), 422},
		{aboveLimit.body(), 422},
		{bytes.Replace(complete.body(), []byte(`"cpus":1,`), nil, 1), 400},
	} {
		u.ask("POST", "/work", submission.body, func(status int, _ string) {
			if status != submission.want {
				u.sim.checker.recordViolation(ruleInvalidAccepted, "the submission %s gets %d, want %d", submission.body, status, submission.want)
			}
		})
	}
}

// repeatRequest cancels a job that is done, or submits an accepted one again. Neither may have
// an effect.
func (u *invalidRequestSender) repeatRequest(job *simJob) {
	if job.reportedPhase == "done" {
		u.ask("POST", "/work/"+job.id+"/cancel", nil, func(status int, phase string) {
			if status != 200 || phase != "done" {
				u.sim.checker.recordViolation(ruleWentBack, "a cancellation of %s, which is done, gets %d with phase %q, want 200 with phase \"done\"", job.id, status, phase)
			}
		})
		return
	}
	u.ask("POST", "/work", job.body(), func(status int, _ string) {
		if status != 200 && status != 201 {
			u.sim.checker.recordViolation(ruleForgotten, "a repeated submission of %s gets %d, want 200 or 201", job.id, status)
		}
	})
}

// expectAnswersWithin queries every accepted job at every controller until it answers, and
// records a violation for each query without an answer within the limit.
func (s *simulation) expectAnswersWithin(limit time.Duration) {
	for _, controller := range s.controllers {
		for _, job := range s.jobs {
			if job.accepted {
				s.expectAnswer(controller, job, limit)
			}
		}
	}
}

// expectAnswer queries one job at one controller until it answers.
func (s *simulation) expectAnswer(controller *simController, job *simJob, limit time.Duration) {
	answered := false
	s.unanswered++
	var ask func()
	ask = func() {
		controller.request("users", "GET", "/work/"+job.id, nil, 2*time.Second, func(response http1.Response, err error) {
			if err != nil || response.Status != 200 {
				s.schedule(time.Second, ask)
				return
			}
			answered = true
			s.unanswered--
		})
	}
	ask()
	s.schedule(limit, func() {
		if !answered {
			s.checker.recordViolation(ruleForgotten, "%s does not answer the status of %s within %v", controller.name, job.id, limit)
		}
	})
}

// userBehavior is what users do in addition to submitting, polling and cancelling.
type userBehavior struct {
	burstQueries       bool // they query all controllers within milliseconds and repeat submissions; see sendBurstQueries
	cancelAtCompletion bool // they cancel each job at the moment of its completion
}
