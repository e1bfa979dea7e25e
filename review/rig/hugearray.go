package main

import (
	"time"
)

// playHugeArray plays case 2: a huge array of small tasks arrives while a task of another job
// runs. The array fits on the machine, but a report that lists it exceeds the limit of a request.
func playHugeArray(rec *record, root string, trouble bool, logs string) outcome {
	const patience = 90 * time.Second // one and a half times the run time of the task
	d, types := viensonmau()
	d.teams = append(d.teams, team{Name: "gomsu", CPUsMax: 192}) // the guest team of the site, without a guarantee
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
	j := &job{
		ID: "wk-000412", Lane: "tintbatch", Crew: "labteam-00", Shape: "array", Urgency: "standard",
		Pieces: 1, CPUs: 16, MemoryGB: 32, Kit: "img-02", PullGB: 2.5, ExpectS: 60, runTime: 60 * time.Second,
	}
	if !w.submit(j) {
		return outcome{exitNotRun, "the job is not accepted"}
	}
	for until := time.Now().Add(20 * time.Second); w.running() == 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return outcome{exitNotRun, "the task does not start"}
		}
	}
	started := rec.now()
	huge := &job{
		ID: "wk-000500", Lane: "sacdo", Crew: "gomsu", Shape: "array", Urgency: "low",
		Pieces: 2000, CPUs: 0.02, MemoryGB: 0.1, Kit: "img-03", PullGB: 0.5, ExpectS: 60, runTime: 60 * time.Second,
	}
	if trouble {
		rec.say("DISRUPTION one huge array of %d tasks of %.2f CPUs", huge.Pieces, huge.CPUs)
		if !w.submit(huge) {
			return outcome{exitNotRun, "the huge array is not accepted"}
		}
	}
	for len(openJobs(w, []*job{j})) > 0 && rec.now() < started+patience+15*time.Second && rec.now() < 114*time.Second {
		time.Sleep(200 * time.Millisecond)
	}
	machines := w.cloud.workers()
	for _, wk := range machines {
		wk.mu.Lock()
		rec.say("machine %s: session %d, %d tasks, largest report %d bytes, %d reports answered with 413", wk.id(), wk.shift, len(wk.pieces), wk.largest, wk.tooLarge)
		wk.mu.Unlock()
	}
	missing, _ := w.missingTasks(huge)
	if trouble {
		rec.say("of the %d tasks of the huge array, %d have not completed", huge.Pieces, len(missing))
	}
	phase, starts := w.poll(j), w.started(j.ID+"/0")
	switch {
	case len(openJobs(w, []*job{j})) == 0:
		return outcome{exitHeld, "the job is done"}
	case trouble && starts < 3:
		return outcome{exitNotRun, "the task of 60 s had no two starts to complete"}
	}
	rec.breaks("each runs to completion", "job %s of one task of 60 s is called %q %.0f s after its first start; it was started %d times and killed each time",
		j.ID, phase, (rec.now() - started).Seconds(), starts)
	return outcome{exitBroken, "an accepted job does not complete"}
}
