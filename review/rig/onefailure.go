package main

import (
	"fmt"
	"sync"
	"time"
)

// playOneFailure plays case 3: a machine is faulty for some seconds and fails the one task that
// starts on it in that time. Afterwards it is sound and has room for the task.
func playOneFailure(rec *record, root string, trouble bool, logs string) outcome {
	const waitLimit = 90 * time.Second
	d, types := viensonmau()
	w, err := newWorld(rec, root, d, types)
	if err != nil {
		return outcome{exitNotRun, err.Error()}
	}
	defer w.close(logs)
	w.cloud.addRunning(types[2], "danang", 1)
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return outcome{exitNotRun, err.Error()}
		}
	}
	if !w.waitForLeader(10 * time.Second) {
		return outcome{exitNotRun, "no controller leads"}
	}

	// Urgent arrays of small tasks go on all the time, as rushtint does. They use a small part
	// of the machine. None of them starts in the spell.
	stop := make(chan struct{})
	var submitting sync.WaitGroup
	var mu sync.Mutex
	var small []*job
	submitting.Add(1)
	go func() {
		defer submitting.Done()
		for i := 0; ; i++ {
			j := &job{
				ID: fmt.Sprintf("wk-%06d", 1000+i), Lane: "rushtint", Crew: fmt.Sprintf("labteam-%02d", i%6), Shape: "array", Urgency: "urgent",
				Pieces: 5, CPUs: 1, MemoryGB: 2.6, Kit: "img-01", PullGB: 1, ExpectS: 20, runTime: 20 * time.Second,
			}
			mu.Lock()
			small = append(small, j)
			mu.Unlock()
			submitting.Add(1)
			go func() { defer submitting.Done(); w.submit(j) }()
			select {
			case <-stop:
				return
			case <-time.After(12 * time.Second):
			}
		}
	}()
	// The small tasks run before the spell begins.
	for until := time.Now().Add(20 * time.Second); w.running() < 5 && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
	sick := w.cloud.workers()[0]
	if trouble {
		rec.say("DISRUPTION machine %s fails every task that it starts", sick.id())
		sick.setSick(true)
	}
	j := &job{
		ID: "wk-000412", Lane: "tintbatch", Crew: "labteam-00", Shape: "array", Urgency: "standard",
		Pieces: 1, CPUs: 16, MemoryGB: 32, Kit: "img-02", PullGB: 2.5, ExpectS: 10, runTime: 10 * time.Second,
	}
	if !w.submit(j) {
		return outcome{exitNotRun, "the job is not accepted"}
	}
	if trouble {
		for until := time.Now().Add(20 * time.Second); sick.failures() == 0 && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
		sick.setSick(false)
		rec.say("the trouble is over, %d tasks have failed", sick.failures())
		if sick.failures() != 1 || w.started(j.ID+"/0") != 1 {
			close(stop)
			return outcome{exitNotRun, "another task than the one meant has failed"}
		}
	}
	var since time.Duration // since when a machine has had room for the task without a gap
	for len(openJobs(w, []*job{j})) > 0 && rec.now() < 116*time.Second {
		time.Sleep(500 * time.Millisecond)
		w.mu.Lock()
		underLimit := w.usage[j.Crew]+j.CPUs <= teamLimit(d, j.Crew)
		running := len(w.onHosts[j.ID+"/0"]) > 0
		w.mu.Unlock()
		switch {
		case running || !underLimit || !w.hasRoom(j):
			since = 0
		case since == 0:
			since = rec.now()
		}
		if since > 0 && rec.now()-since > waitLimit {
			break
		}
	}
	close(stop)
	phase := w.poll(j)
	mu.Lock()
	rec.say("of %d small jobs, %d are done; %d machines are rented", len(small), len(small)-len(openJobs(w, small)), len(w.cloud.workers()))
	mu.Unlock()
	if since > 0 && rec.now()-since > waitLimit {
		rec.breaks("no job is left waiting", "job %s is called %q; a machine has had room for its task for %.0f s without a gap", j.ID, phase, (rec.now() - since).Seconds())
		return outcome{exitBroken, "an accepted job is left waiting"}
	}
	if len(openJobs(w, []*job{j})) > 0 {
		return outcome{exitNotRun, "the job is not done, but no machine had room for 90 s"}
	}
	return outcome{exitHeld, "the job is done"}
}
