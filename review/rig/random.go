package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Options of the random runs.
var (
	randomSite = flag.String("site", "ndiaye-vend-grid-grown", "random runs: site, or viensonmau-mixlab")
	lateShare  = flag.Float64("late", 0.03, "random runs: share of commits that are carried out late")
	lostShare  = flag.Float64("lost", 0.03, "random runs: share of commits whose answer is lost")
)

// playRandom plays a run with random jobs and disruptions, with short leases so that much
// happens. It is no case: it was used to look for faults.
func playRandom(rec *record, root string, trouble bool, logs string) outcome {
	const until = 55 * time.Second
	d, types := ndiayeGrown()
	if *randomSite == "viensonmau-mixlab" {
		d, types = viensonmau()
	}
	d.reportS, d.leaseS, d.cancelS = 2, 14, 32
	w, err := newWorld(rec, root, d, types)
	if err != nil {
		return outcome{exitNotRun, err.Error()}
	}
	defer w.close(logs)
	for i := range 14 {
		w.cloud.addRunning(types[len(types)-1], d.machineZones[i%len(d.machineZones)], 1)
	}
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return outcome{exitNotRun, err.Error()}
		}
	}
	if !w.waitForLeader(10 * time.Second) {
		return outcome{exitNotRun, "no controller leads"}
	}
	stopCheck := make(chan struct{})
	go w.checkCancelled(stopCheck)
	users := &randomUsers{world: w}
	users.wait.Add(1)
	go users.run(until)
	if trouble {
		w.state.onCommit = func(string, *commitRequest) (commitAction, time.Duration) {
			switch x := rand.Float64(); {
			case rec.now() > until:
				return commitPass, 0
			case x < *lateShare:
				return commitLate, seconds(2 + 10*rand.Float64())
			case x < *lateShare+*lostShare:
				return commitLoseAnswer, 0
			}
			return commitPass, 0
		}
		for rec.now() < until {
			time.Sleep(seconds(1 + 3*rand.Float64()))
			randomDisruption(w)
		}
	}
	users.wait.Wait()
	rec.say("the troubles are over")
	for rec.now() < 108*time.Second && len(users.openJobs()) > 0 {
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	for _, j := range users.jobs {
		if j.accepted == 0 {
			continue
		}
		phase := w.poll(j)
		missing, never := w.missingTasks(j)
		if j.Shape == "daemon" || j.cancelAsked || phase == "done" {
			continue
		}
		rec.breaks("accepted work must run", "%s %s, called %q: tasks %v have not completed, %d of them never started", j.Shape, j.ID, phase, missing, never)
	}
	close(stopCheck)
	if len(rec.summary()) > 0 {
		return outcome{exitBroken, "a rule is broken"}
	}
	return outcome{exitHeld, "the rules held"}
}

// randomUsers submit random jobs, cancel some and ask for their state.
type randomUsers struct {
	world *world
	wait  sync.WaitGroup
	mu    sync.Mutex
	jobs  []*job
}

func (u *randomUsers) run(until time.Duration) {
	defer u.wait.Done()
	w := u.world
	for i := 0; w.rec.now() < until; i++ {
		time.Sleep(seconds(rand.Float64() * 1.3))
		j := &job{
			ID: fmt.Sprintf("wk-%06d", 100+i), Lane: "pricefix", Crew: w.deploy.teams[rand.IntN(len(w.deploy.teams))].Name, Shape: "array",
			Urgency: []string{"low", "standard", "urgent", "critical"}[rand.IntN(4)], Pieces: 1 + rand.IntN(10), CPUs: float64(1 + rand.IntN(8)),
			MemoryGB: 8, Kit: fmt.Sprintf("img-%02d", rand.IntN(6)), PullGB: 0.1, ExpectS: 5, runTime: seconds(1 + 8*rand.Float64()),
		}
		switch rand.IntN(8) {
		case 0:
			j.Spread = true
		case 1:
			j.SamePlace = true
		case 2:
			yard := w.deploy.machineZones[rand.IntN(len(w.deploy.machineZones))]
			j.Yard = &yard
		case 3:
			j.Shape, j.Pieces, j.CPUs = "daemon", 1+rand.IntN(3), 1
		case 4, 5:
			j.Shape, j.Pieces, j.CPUs, j.SamePlace = "gang", 2+rand.IntN(8), float64(1+rand.IntN(4)), rand.IntN(2) == 0
		}
		u.mu.Lock()
		u.jobs = append(u.jobs, j)
		u.mu.Unlock()
		u.wait.Add(1)
		go u.follow(j)
	}
}

func (u *randomUsers) follow(j *job) {
	defer u.wait.Done()
	if !u.world.submit(j) {
		return
	}
	if j.Shape == "daemon" || rand.IntN(4) == 0 {
		time.Sleep(seconds(rand.Float64() * 8))
		u.world.cancel(j, 40*time.Second)
	}
	for k := range 4 {
		time.Sleep(seconds(rand.Float64() * float64(k+1)))
		u.world.poll(j)
	}
}

// openJobs returns the accepted jobs that have to be done and are not.
func (u *randomUsers) openJobs() []*job {
	u.mu.Lock()
	defer u.mu.Unlock()
	var jobs []*job
	for _, j := range u.jobs {
		if j.Shape != "daemon" && !j.cancelAsked {
			jobs = append(jobs, j)
		}
	}
	return openJobs(u.world, jobs)
}

// randomDisruption causes one disruption and waits for its end, except for those of machines.
func randomDisruption(w *world) {
	n := w.nodes[rand.IntN(len(w.nodes))]
	if leader := w.node(w.state.leader()); leader != nil && rand.IntN(2) == 0 {
		n = leader
	}
	switch rand.IntN(9) {
	case 0, 1:
		w.kill(n)
		time.Sleep(seconds([]float64{0.3, 6}[rand.IntN(2)]))
		if err := w.start(n); err != nil {
			w.rec.say("controller %s does not start: %v", n.name, err)
		}
	case 2, 3:
		w.signal(n, syscall.SIGSTOP)
		time.Sleep(seconds(1 + 16*rand.Float64()))
		w.signal(n, syscall.SIGCONT)
	case 4:
		w.rec.say("DISRUPTION the state service is down")
		w.state.setDown(true)
		time.Sleep(seconds(2 + 10*rand.Float64()))
		w.state.setDown(false)
	case 5:
		w.rec.say("DISRUPTION the state service refuses %s", n.name)
		w.state.setRefused(n.name, true)
		time.Sleep(seconds(2 + 14*rand.Float64()))
		w.state.setRefused(n.name, false)
	default:
		workers := w.cloud.workers()
		for range min(len(workers), 1+rand.IntN(3)) {
			wk := workers[rand.IntN(len(workers))]
			kind := rand.IntN(4)
			w.rec.say("DISRUPTION machine %s %s", wk.id(), []string{"hangs", "is deaf", "is mute", "gets commands late"}[kind])
			set := func(on bool) {
				wk.mu.Lock()
				defer wk.mu.Unlock()
				switch kind {
				case 0:
					wk.hung = on
				case 1:
					wk.deaf = on
				case 2:
					wk.mute = on
				case 3:
					wk.delayOrders = 0
					if on {
						wk.delayOrders = seconds(2 + 14*rand.Float64())
					}
				}
			}
			set(true)
			time.AfterFunc(seconds(2+20*rand.Float64()), func() { set(false) })
		}
	}
}
