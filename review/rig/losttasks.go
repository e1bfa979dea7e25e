package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// playLostTasks plays case 1: the leading controller crashes while arrays are handed out. Every
// accepted array has to be done in the end.
func playLostTasks(rec *record, root string, trouble bool, logs string) outcome {
	const (
		loadFrom   = 4 * time.Second
		loadUntil  = 18 * time.Second
		initial    = 36  // pricefix jobs at the start of the site's days
		rate       = 4.2 // jobs a second: the site's 1.07 times a job_burst of factor 4.0
		waitLimit  = 90 * time.Second
		crashEvery = 3200 * time.Millisecond
		crashes    = 4
		backAfter  = 500 * time.Millisecond
	)
	d, types := ndiayeGrown()
	w, err := newWorld(rec, root, d, types)
	if err != nil {
		return outcome{exitNotRun, err.Error()}
	}
	defer w.close(logs)
	yards := []string{"plateau", "rufisque", "plateau", "plateau", "rufisque", "rufisque"}
	for i := range 18 {
		w.cloud.addRunning(types[0], yards[i%len(yards)], 1)
	}
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return outcome{exitNotRun, err.Error()}
		}
	}
	time.Sleep(loadFrom - rec.now())
	if !w.waitForLeader(10 * time.Second) {
		return outcome{exitNotRun, "no controller leads"}
	}

	var submitting sync.WaitGroup
	var mu sync.Mutex
	var jobs []*job
	submitting.Add(1)
	go func() {
		defer submitting.Done()
		for i := 0; rec.now() < loadUntil; i++ {
			if i >= initial {
				time.Sleep(seconds(1 / rate))
			}
			j := &job{
				ID: fmt.Sprintf("wk-%06d", 100+i), Lane: "pricefix", Crew: d.teams[i%3].Name, Shape: "array", Urgency: "urgent", Spread: true,
				Pieces: 4 + rand.IntN(5), CPUs: 4, MemoryGB: 13, Kit: fmt.Sprintf("img-%02d", i%8), PullGB: 0.2, ExpectS: 5,
				runTime: seconds(2 + 2*rand.Float64()),
			}
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			submitting.Add(1)
			go func() { defer submitting.Done(); w.submit(j) }()
		}
	}()
	for crash := range crashes {
		time.Sleep(loadFrom + crashEvery*time.Duration(crash+1) - rec.now())
		if !trouble || !w.waitForLeader(3*time.Second) {
			continue
		}
		leader := w.node(w.state.leader())
		w.kill(leader)
		time.Sleep(backAfter)
		if err := w.start(leader); err != nil {
			return outcome{exitNotRun, err.Error()}
		}
	}
	submitting.Wait()
	over := rec.now()
	rec.say("the troubles are over, %d jobs were submitted", len(jobs))

	// Small jobs go on, so that machines stay rented. They also show that work is served.
	background := time.NewTicker(2 * time.Second)
	defer background.Stop()
	var later []*job
	second := time.NewTicker(time.Second)
	defer second.Stop()
	waiting := map[*job]time.Duration{} // since when a machine has had room for it without a gap
	for k := 0; ; {
		open := openJobs(w, jobs)
		if len(open) == 0 {
			break
		}
		select {
		case <-background.C:
			if rec.now() < over+waitLimit-10*time.Second {
				yard := d.machineZones[k%2]
				j := &job{
					ID: fmt.Sprintf("wk-%06d", 90000+k), Lane: "pricefix", Crew: d.teams[k%3].Name, Shape: "array", Urgency: "urgent",
					Pieces: 2, CPUs: 4, MemoryGB: 13, Kit: "img-00", PullGB: 0.2, ExpectS: 8, Yard: &yard, runTime: 8 * time.Second,
				}
				k++
				later = append(later, j)
				go w.submit(j)
			}
		case <-second.C:
		}
		longest := time.Duration(0)
		for _, j := range open {
			w.mu.Lock()
			underLimit := w.usage[j.Crew]+j.CPUs <= teamLimit(d, j.Crew)
			w.mu.Unlock()
			if !w.hasRoom(j) || !underLimit {
				delete(waiting, j)
				continue
			}
			if _, known := waiting[j]; !known {
				waiting[j] = rec.now()
			}
			longest = max(longest, rec.now()-waiting[j])
		}
		if longest > waitLimit || rec.now() > 116*time.Second {
			break
		}
	}
	served := len(later) - len(openJobs(w, later))
	rec.say("of %d small jobs submitted after the troubles, %d are done", len(later), served)
	lost := 0
	for _, j := range openJobs(w, jobs) {
		missing, never := w.missingTasks(j)
		phase := ""
		for range 3 {
			if phase = w.poll(j); phase != "" {
				break
			}
		}
		since, known := waiting[j]
		waited := rec.now() - since
		rec.say("job %s, accepted at %.1f s, is called %q: tasks %s of %d have not completed, %d of them never started; a machine has had room for them for %.0f s",
			j.ID, j.accepted.Seconds(), phase, strings.Trim(fmt.Sprint(missing), "[]"), j.Pieces, never, waited.Seconds())
		if known && waited > waitLimit {
			lost++
			rec.breaks("accepted work must run", "job %s waits although a machine has had room for over 90 s", j.ID)
		}
	}
	switch {
	case lost > 0:
		return outcome{exitBroken, fmt.Sprintf("%d accepted jobs never run", lost)}
	case len(rec.broken) > 0:
		return outcome{exitBroken, "another rule is broken"}
	case len(openJobs(w, jobs)) > 0:
		return outcome{exitNotRun, "jobs are left without 90 s of room"}
	}
	return outcome{exitHeld, "all accepted jobs are done"}
}

func teamLimit(d deployment, name string) float64 {
	for _, t := range d.teams {
		if t.Name == name {
			return t.CPUsMax
		}
	}
	return 0
}

// openJobs returns the accepted jobs with tasks that have not completed.
func openJobs(w *world, jobs []*job) []*job {
	var open []*job
	for _, j := range jobs {
		if missing, _ := w.missingTasks(j); j.accepted > 0 && len(missing) > 0 {
			open = append(open, j)
		}
	}
	return open
}
