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
	id         string
	team       string
	tasks      int
	cpus       float64
	length     time.Duration
	spot       bool
	urgent     bool
	zone       string
	spread     bool
	oneZone    bool
	gang       bool
	service    bool          // runs until it is cancelled
	expect     int           // the user's estimate in seconds, 0 for 5
	apart      time.Duration // each task takes so much longer than the one before
	builds     []string      // allowed machine types, nil for any
	saveEvery  float64
	saved      time.Duration // progress that a gang goes on from
	attempts   map[uint64]*simGang
	gangStarts int // attempts of which all tasks have run
	accepted   bool
	began      time.Duration // of its first task, 0: none yet
	cancelled  time.Duration // when its user was told, 0: never
	asked      bool          // to cancel
	callOff    func()        // has the user cancel it now; nil before it is accepted
	told       string
	done       map[int]bool
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
	if j.expect > 0 {
		estimate = j.expect
	}
	if j.service {
		shape, estimate = "daemon", 0
	}
	raw, err := json.Marshal(map[string]any{
		"id": j.id, "lane": "x", "crew": j.team, "shape": shape, "urgency": urgency,
		"pieces": j.tasks, "cpus": j.cpus, "cards": 0, "memoryGb": 1, "kit": "img-" + j.id[len(j.id)-1:], "pullGb": 2.5, "builds": j.builds,
		"yard": zone, "samePlace": j.oneZone, "spread": j.spread, "loaners": j.spot, "expectS": estimate, "snapshotS": j.saveEvery, "flushS": 1, "dueS": nil,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// started checks the rules at the start of a task.
func (w *world) started(k *worker, t *simTask, j *simJob) {
	w.starts++
	if j.began == 0 {
		j.began = w.now
	}
	used := 0.0
	zones := map[string]int{}
	for _, o := range w.workers {
		if o.dead {
			continue
		}
		for _, x := range o.tasks {
			if x.phase == "ended" {
				continue
			}
			id, _, _ := strings.Cut(x.ref, "/")
			if w.jobs[id].team == j.team {
				used += w.jobs[id].cpus
			}
			if id == j.id {
				zones[o.zone]++
			}
			if x.ref == t.ref && x != t {
				w.breaks("ran_twice: %s starts on %s while on %s", t.ref, k.host, o.host)
			}
		}
	}
	if limit := 24.0; used > limit+1e-9 {
		w.breaks("quota: team %s uses %g of %g", j.team, used, limit)
	}
	if (k.spot && !j.spot) || (j.zone != "" && j.zone != k.zone) || (j.builds != nil && !slices.Contains(j.builds, k.build)) {
		w.breaks("wrong_place: %s on %s", t.ref, k.host)
	}
	if j.oneZone && len(zones) > 1 {
		w.breaks("wrong_place: %s in two zones", j.id)
	}
	for _, n := range zones {
		if j.spread && n > (j.tasks+1)/2 {
			w.breaks("wrong_place: %s has %d of %d tasks in one zone", j.id, n, j.tasks)
		}
	}
	if j.cancelled > 0 {
		w.offStarts++
		if late := w.now - j.cancelled; late > time.Duration(w.set.Deployment.Workers.CancelS*float64(time.Second)) || (w.prompt && late > 3*time.Second) {
			w.breaks("ran_cancelled: %s starts on %s %v after", t.ref, k.host, late)
		}
	}
}

// look is what users do who look closely: right after a job was accepted, ended or
// was called off they ask all nodes, again and again within milliseconds, and repeat
// the submission. No answer to a question asked after that may be older.
func (w *world) look(j *simJob, hear func(http1.Response, time.Duration)) {
	if !w.looks {
		return
	}
	for _, n := range w.nodes {
		for i := range 4 {
			w.after(time.Duration(i*w.rng.IntN(12))*time.Millisecond, func() {
				asked := w.now
				method, path, body := "GET", "/work/"+j.id, []byte(nil)
				if i%2 == 1 {
					method, path, body = "POST", "/work", j.body()
				}
				n.request("users", method, path, body, 2*time.Second, func(a http1.Response, err error) {
					switch {
					case err != nil:
					case a.Status == 404 || a.Status == 400 || a.Status == 422:
						w.breaks("forgotten: %s %s of %s gets %d", method, path, j.id, a.Status)
					case a.Status == 200 || a.Status == 201:
						hear(a, asked)
					}
				})
			})
		}
	}
}

// odd is what users send who are mistaken: questions about jobs that nobody has
// submitted, cancellations of jobs that are done, repeats of submissions, and jobs that
// fit no machine or lack a field.
func (w *world) odd(every time.Duration) {
	n := w.nodes[int(w.now/every)%len(w.nodes)]
	ask := func(method, path string, body []byte, fn func(status int, phase string)) {
		n.request("users", method, path, body, 5*time.Second, func(a http1.Response, err error) {
			var s struct {
				Phase string `json:"phase"`
			}
			_ = json.Unmarshal(a.Body, &s)
			if err == nil && a.Status != 429 && a.Status != 503 {
				fn(a.Status, s.Phase)
			}
		})
	}
	ask("GET", "/work/wk-999999", nil, func(status int, _ string) {
		if status != 404 {
			w.breaks("invented: a job that nobody submitted gets %d", status)
		}
	})
	large := &simJob{id: "wk-999998", team: "red", tasks: 1, cpus: 17}
	whole := &simJob{id: "wk-999997", team: "red", tasks: 25, cpus: 1, service: true}
	lacking := bytes.Replace((&simJob{id: "wk-999996", team: "red", tasks: 1, cpus: 1}).body(), []byte(`"cpus":1,`), nil, 1)
	for i, body := range [][]byte{large.body(), whole.body(), lacking} {
		ask("POST", "/work", body, func(status int, _ string) {
			if want := []int{422, 422, 400}[i]; status != want {
				w.breaks("accepted though it can't be: %s gets %d, not %d", body, status, want)
			}
		})
	}
	for i := range 40 {
		j := w.jobs[fmt.Sprintf("wk-%06d", i)]
		switch {
		case j == nil || !j.accepted:
		case j.told == "done":
			ask("POST", "/work/"+j.id+"/cancel", nil, func(status int, phase string) {
				if status != 200 || phase != "done" {
					w.breaks("went_back: a cancellation of %s, which is done, gets %d %s", j.id, status, phase)
				}
			})
		default:
			ask("POST", "/work", j.body(), func(status int, _ string) {
				if status != 200 && status != 201 {
					w.breaks("forgotten: a repeat of %s gets %d", j.id, status)
				}
			})
		}
	}
	w.after(every, func() { w.odd(every) })
}

// user submits a job, perhaps cancels it, and polls until it is over.
func (w *world) user(j *simJob, cancelAfter time.Duration) {
	w.jobs[j.id] = j
	node := func() *simNode { return w.nodes[w.rng.IntN(len(w.nodes))] }
	var submit, poll, cancel func()
	var hear func(a http1.Response, asked time.Duration)
	submit = func() {
		node().request("users", "POST", "/work", j.body(), 5*time.Second, func(a http1.Response, err error) {
			if err == nil && (a.Status == 200 || a.Status == 201) {
				j.accepted = true
				j.callOff = func() {
					if !j.asked {
						j.asked = true
						cancel()
					}
				}
				w.look(j, hear)
				w.after(time.Second, poll)
				if cancelAfter > 0 {
					w.after(cancelAfter, j.callOff)
				}
				return
			}
			if err == nil && (a.Status == 400 || a.Status == 422) {
				w.breaks("%s refused with %d: %s", j.id, a.Status, a.Body)
				return
			}
			w.after(time.Second, submit)
		})
	}
	var told time.Duration // when j.told was heard
	hear = func(a http1.Response, asked time.Duration) {
		var s struct {
			Phase string `json:"phase"`
		}
		_ = json.Unmarshal(a.Body, &s)
		if j.told != "" && s.Phase != j.told && asked < told {
			return // on its way while the other was
		}
		if j.told == "" {
			told = w.now
		}
		if j.told != "" && s.Phase != j.told {
			w.breaks("went_back: %s was %s, now %s", j.id, j.told, s.Phase)
		}
		if was := j.told; was == "" && (s.Phase == "done" || s.Phase == "cancelled") {
			defer w.look(j, hear)
		}
		switch s.Phase {
		case "done":
			if len(j.done) < j.tasks {
				w.breaks("not_done: %s called done with %d of %d", j.id, len(j.done), j.tasks)
			}
			j.told = "done"
		case "cancelled":
			if !j.asked {
				w.breaks("went_back: %s called cancelled unasked", j.id)
			}
			if j.cancelled == 0 {
				j.cancelled = w.now
			}
			j.told = "cancelled"
		}
	}
	cancel = func() {
		asked := w.now
		node().request("users", "POST", "/work/"+j.id+"/cancel", nil, 5*time.Second, func(a http1.Response, err error) {
			if err == nil && a.Status == 200 {
				hear(a, asked)
				return
			}
			w.after(time.Second, cancel)
		})
	}
	poll = func() {
		asked := w.now
		node().request("users", "GET", "/work/"+j.id, nil, 2*time.Second, func(a http1.Response, err error) {
			switch {
			case err == nil && a.Status == 404:
				w.breaks("forgotten: %s", j.id)
			case err == nil && a.Status == 200:
				hear(a, asked)
			}
			w.after(2*time.Second, poll) // goes on after the end: it must not go back
		})
	}
	submit()
}

// asked asks every node about every accepted job until it has answered, and
// notes the nodes that have not within a while.
func (w *world) asked(within time.Duration) {
	for _, n := range w.nodes {
		for _, j := range w.jobs {
			if !j.accepted {
				continue
			}
			answered := false
			var ask func()
			ask = func() {
				n.request("users", "GET", "/work/"+j.id, nil, 2*time.Second, func(a http1.Response, err error) {
					if answered = answered || (err == nil && a.Status == 200); !answered {
						w.after(time.Second, ask)
					}
				})
			}
			ask()
			w.after(within, func() {
				if !answered {
					w.breaks("forgotten: %s does not answer for %s", n.name, j.id)
				}
			})
		}
	}
}
