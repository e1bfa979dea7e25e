package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lemonmoor/internal/http1"
)

// simJob is a job and what its user has been told.
type simJob struct {
	id                string
	team              string
	tasks             int
	cpus              float64
	runTime           time.Duration
	spot              bool
	urgent            bool
	zone              string
	spread            bool
	sameZone          bool
	gang              bool
	service           bool          // runs until it is cancelled
	estimateSeconds   int           // the user's estimate in seconds, 0 for 5
	runTimeStep       time.Duration // each task takes so much longer than the one before
	machineTypes      []string      // allowed machine types, nil for any
	checkpointSeconds float64
	checkpoint        time.Duration // progress that a gang goes on from
	attempts          map[uint64]*simGang
	gangStarts        int // attempts of which all tasks have run
	accepted          bool
	startedAt         time.Duration // of its first task, 0: none yet
	cancelledAt       time.Duration // when its user was told, 0: never
	cancelRequested   bool          // to cancel
	cancel            func()        // has the user cancel it now; nil before it is accepted
	reportedPhase     string
	completed         map[int]bool
}

func (j *simJob) body() []byte {
	var zone any
	if j.zone != "" {
		zone = j.zone
	}
	urgency := "standard"
	if j.urgent {
		urgency = "urgent"
	}
	shape := "array"
	if j.gang {
		shape = "gang"
	}
	estimate := 5
	if j.estimateSeconds > 0 {
		estimate = j.estimateSeconds
	}
	if j.service {
		shape, estimate = "daemon", 0
	}
	raw, err := json.Marshal(map[string]any{
		"id": j.id, "lane": "x", "crew": j.team, "shape": shape, "urgency": urgency,
		"pieces": j.tasks, "cpus": j.cpus, "cards": 0, "memoryGb": 1, "kit": "img-" + j.id[len(j.id)-1:], "pullGb": 2.5, "builds": j.machineTypes,
		"yard": zone, "samePlace": j.sameZone, "spread": j.spread, "loaners": j.spot, "expectS": estimate, "snapshotS": j.checkpointSeconds, "flushS": 1, "dueS": nil,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// started checks the rules at the start of a task.
func (s *simulation) checkStart(worker *simWorker, task *simTask, job *simJob) {
	s.starts++
	if job.startedAt == 0 {
		job.startedAt = s.now
	}
	used := 0.0
	zones := map[string]int{}
	for _, other := range s.workers {
		if other.dead {
			continue
		}
		for _, existing := range other.tasks {
			if existing.phase == "ended" {
				continue
			}
			id, _, _ := strings.Cut(existing.name, "/")
			if s.jobs[id].team == job.team {
				used += s.jobs[id].cpus
			}
			if id == job.id {
				zones[other.zone]++
			}
			if existing.name == task.name && existing != task {
				s.violated("ran_twice: %s starts on %s while on %s", task.name, worker.id, other.id)
			}
		}
	}
	if limit := 24.0; used > limit+1e-9 {
		s.violated("quota: team %s uses %g of %g", job.team, used, limit)
	}
	if (worker.spot && !job.spot) || (job.zone != "" && job.zone != worker.zone) || (job.machineTypes != nil && !slices.Contains(job.machineTypes, worker.machineType)) {
		s.violated("wrong_place: %s on %s", task.name, worker.id)
	}
	if job.sameZone && len(zones) > 1 {
		s.violated("wrong_place: %s in two zones", job.id)
	}
	for _, n := range zones {
		if job.spread && n > (job.tasks+1)/2 {
			s.violated("wrong_place: %s has %d of %d tasks in one zone", job.id, n, job.tasks)
		}
	}
	if job.cancelledAt > 0 {
		s.startsAfterCancellation++
		if late := s.now - job.cancelledAt; late > time.Duration(s.settings.Deployment.Workers.CancelS*float64(time.Second)) || (s.commandsPrompt && late > 3*time.Second) {
			s.violated("ran_cancelled: %s starts on %s %v after", task.name, worker.id, late)
		}
	}
}

// look is what users do who look closely: right after a job was accepted, ended or
// was called off they ask all nodes, again and again within milliseconds, and repeat
// the submission. No answer to a question asked after that may be older.
func (s *simulation) askAllRepeatedly(job *simJob, hear func(http1.Response, time.Duration)) {
	if !s.pollClosely {
		return
	}
	for _, controller := range s.controllers {
		for i := range 4 {
			s.after(time.Duration(i*s.rng.IntN(12))*time.Millisecond, func() {
				asked := s.now
				method, path, body := "GET", "/work/"+job.id, []byte(nil)
				if i%2 == 1 {
					method, path, body = "POST", "/work", job.body()
				}
				controller.request("users", method, path, body, 2*time.Second, func(response http1.Response, err error) {
					switch {
					case err != nil:
					case response.Status == 404 || response.Status == 400 || response.Status == 422:
						s.violated("forgotten: %s %s of %s gets %d", method, path, job.id, response.Status)
					case response.Status == 200 || response.Status == 201:
						hear(response, asked)
					}
				})
			})
		}
	}
}

// odd is what users send who are mistaken: questions about jobs that nobody has
// submitted, cancellations of jobs that are done, repeats of submissions, and jobs that
// fit no machine or lack a field.
func (s *simulation) sendMistakenRequests(every time.Duration) {
	controller := s.controllers[int(s.now/every)%len(s.controllers)]
	ask := func(method, path string, body []byte, fn func(status int, phase string)) {
		controller.request("users", method, path, body, 5*time.Second, func(response http1.Response, err error) {
			var status struct {
				Phase string `json:"phase"`
			}
			_ = json.Unmarshal(response.Body, &status)
			if err == nil && response.Status != 429 && response.Status != 503 {
				fn(response.Status, status.Phase)
			}
		})
	}
	ask("GET", "/work/wk-999999", nil, func(status int, _ string) {
		if status != 404 {
			s.violated("invented: a job that nobody submitted gets %d", status)
		}
	})
	large := &simJob{id: "wk-999998", team: "red", tasks: 1, cpus: 17}
	whole := &simJob{id: "wk-999997", team: "red", tasks: 25, cpus: 1, service: true}
	lacking := bytes.Replace((&simJob{id: "wk-999996", team: "red", tasks: 1, cpus: 1}).body(), []byte(`"cpus":1,`), nil, 1)
	for i, body := range [][]byte{large.body(), whole.body(), lacking} {
		ask("POST", "/work", body, func(status int, _ string) {
			if want := []int{422, 422, 400}[i]; status != want {
				s.violated("accepted though it can't be: %s gets %d, not %d", body, status, want)
			}
		})
	}
	for i := range 40 {
		job := s.jobs[fmt.Sprintf("wk-%06d", i)]
		switch {
		case job == nil || !job.accepted:
		case job.reportedPhase == "done":
			ask("POST", "/work/"+job.id+"/cancel", nil, func(status int, phase string) {
				if status != 200 || phase != "done" {
					s.violated("went_back: a cancellation of %s, which is done, gets %d %s", job.id, status, phase)
				}
			})
		default:
			ask("POST", "/work", job.body(), func(status int, _ string) {
				if status != 200 && status != 201 {
					s.violated("forgotten: a repeat of %s gets %d", job.id, status)
				}
			})
		}
	}
	s.after(every, func() { s.sendMistakenRequests(every) })
}

// user submits a job, perhaps cancels it, and polls until it is over.
func (s *simulation) submitAndPoll(job *simJob, cancelAfter time.Duration) {
	s.jobs[job.id] = job
	node := func() *simController { return s.controllers[s.rng.IntN(len(s.controllers))] }
	var submit, poll, cancel func()
	var hear func(response http1.Response, asked time.Duration)
	submit = func() {
		node().request("users", "POST", "/work", job.body(), 5*time.Second, func(response http1.Response, err error) {
			if err == nil && (response.Status == 200 || response.Status == 201) {
				job.accepted = true
				job.cancel = func() {
					if !job.cancelRequested {
						job.cancelRequested = true
						cancel()
					}
				}
				s.askAllRepeatedly(job, hear)
				s.after(time.Second, poll)
				if cancelAfter > 0 {
					s.after(cancelAfter, job.cancel)
				}
				return
			}
			if err == nil && (response.Status == 400 || response.Status == 422) {
				s.violated("%s refused with %d: %s", job.id, response.Status, response.Body)
				return
			}
			s.after(time.Second, submit)
		})
	}
	var told time.Duration // when j.told was heard
	hear = func(response http1.Response, asked time.Duration) {
		var status struct {
			Phase string `json:"phase"`
		}
		_ = json.Unmarshal(response.Body, &status)
		if job.reportedPhase != "" && status.Phase != job.reportedPhase && asked < told {
			return // on its way while the other was
		}
		if job.reportedPhase == "" {
			told = s.now
		}
		if job.reportedPhase != "" && status.Phase != job.reportedPhase {
			s.violated("went_back: %s was %s, now %s", job.id, job.reportedPhase, status.Phase)
		}
		if was := job.reportedPhase; was == "" && (status.Phase == "done" || status.Phase == "cancelled") {
			defer s.askAllRepeatedly(job, hear)
		}
		switch status.Phase {
		case "done":
			if len(job.completed) < job.tasks {
				s.violated("not_done: %s called done with %d of %d", job.id, len(job.completed), job.tasks)
			}
			job.reportedPhase = "done"
		case "cancelled":
			if !job.cancelRequested {
				s.violated("went_back: %s called cancelled unasked", job.id)
			}
			if job.cancelledAt == 0 {
				job.cancelledAt = s.now
			}
			job.reportedPhase = "cancelled"
		}
	}
	cancel = func() {
		asked := s.now
		node().request("users", "POST", "/work/"+job.id+"/cancel", nil, 5*time.Second, func(response http1.Response, err error) {
			if err == nil && response.Status == 200 {
				hear(response, asked)
				return
			}
			s.after(time.Second, cancel)
		})
	}
	poll = func() {
		asked := s.now
		node().request("users", "GET", "/work/"+job.id, nil, 2*time.Second, func(response http1.Response, err error) {
			switch {
			case err == nil && response.Status == 404:
				s.violated("forgotten: %s", job.id)
			case err == nil && response.Status == 200:
				hear(response, asked)
			}
			s.after(2*time.Second, poll) // goes on after the end: it must not go back
		})
	}
	submit()
}

// asked asks every node about every accepted job until it has answered, and
// notes the nodes that have not within a while.
func (s *simulation) expectAnswersWithin(within time.Duration) {
	for _, controller := range s.controllers {
		for _, job := range s.jobs {
			if !job.accepted {
				continue
			}
			answered := false
			var ask func()
			ask = func() {
				controller.request("users", "GET", "/work/"+job.id, nil, 2*time.Second, func(response http1.Response, err error) {
					if answered = answered || (err == nil && response.Status == 200); !answered {
						s.after(time.Second, ask)
					}
				})
			}
			ask()
			s.after(within, func() {
				if !answered {
					s.violated("forgotten: %s does not answer for %s", controller.name, job.id)
				}
			})
		}
	}
}
