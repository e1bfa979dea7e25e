package main

import (
	"errors"
	"fmt"
	"time"
)

var errNotReady = errors.New("the controllers are not ready")

const lacquerZone = "binhduong"

// lacquer returns a small deployment with the settings of the lacquer works.
func lacquer() deployment {
	teams := []team{}
	for i := range 6 {
		teams = append(teams, team{Name: lacquerTeam(i), CPUs: 112, CPUsMax: 304})
	}
	yards := []string{lacquerZone}
	return deployment{
		zones: yards, areas: yards, teams: teams,
		report: 3, lease: 16, cancelS: 41, state: stateLimits{rps: 150, writeRPS: 50, txnOps: 16}, valueKB: 8,
		cloudRPS: 1.5, listLag: 12, share: 0.3, mem: 179, sockets: 1500,
		types: []machineType{
			{Label: "thachanh", CPUs: 16, MemoryGB: 128, CacheGB: 30, PullRate: 0.6, Price: 1.02, SpotPrice: 0.3, StartupS: 50, Yards: yards},
			{Label: "hongngoc", CPUs: 32, MemoryGB: 64, CacheGB: 50, PullRate: 0.3, Price: 1.38, SpotPrice: 0.35, StartupS: 35, Yards: yards},
			{Label: "luuhuynh", CPUs: 64, MemoryGB: 512, CacheGB: 70, PullRate: 0.4, Price: 4.17, SpotPrice: 1.27, StartupS: 50, Yards: yards},
		},
		capacity: map[place]int{
			{"thachanh", lacquerZone, false}: 11, {"thachanh", lacquerZone, true}: 8,
			{"hongngoc", lacquerZone, false}: 8, {"hongngoc", lacquerZone, true}: 2,
			{"luuhuynh", lacquerZone, false}: 2, {"luuhuynh", lacquerZone, true}: 1,
		},
		boot: 2 * time.Second,
		objectives: []map[string]any{
			{"kind": "up", "class": "glazewatch", "after_s": 45.0, "share": 0.998},
			{"kind": "up", "class": "glazewatch", "after_s": 45.0, "share": 0.992, "worst_s": 30.0},
			{"kind": "wait", "class": "glazewatch", "within_s": 4.0, "share": 0.92},
			{"kind": "deadline", "class": "layerbatch", "share": 0.97, "times": 1.0},
			{"kind": "deadline", "class": "layerbatch", "share": 0.992, "times": 1.5},
			{"kind": "guarantee", "within_s": 5.0, "share": 0.96},
		},
	}
}

func lacquerTeam(i int) string { return fmt.Sprintf("lacquerteam-%02d", i) }

// glazewatch returns a service of the lacquer works.
func glazewatch(number int, crew string, replicas int) *job {
	return &job{
		ID: fmt.Sprintf("wk-%06d", number), Lane: "glazewatch", Crew: crew, Shape: "daemon", Urgency: "urgent",
		Pieces: replicas, CPUs: 1, MemoryGB: 1.6, Kit: "img-01", PullGB: 0.6,
	}
}

// layerbatch returns an array of the lacquer works, whose tasks run as long as their owner expects.
func layerbatch(number int, crew string, tasks int, runS float64) *job {
	due := 3*runS + 10
	return &job{
		ID: fmt.Sprintf("wk-%06d", number), Lane: "layerbatch", Crew: crew, Shape: "array", Urgency: "standard",
		Pieces: tasks, CPUs: 4, MemoryGB: 7.1, Kit: "img-02", PullGB: 0.6, Loaners: true, ExpectS: runS, DueS: &due, runS: runS,
	}
}

// begin starts a deployment and waits until its controllers take requests.
func begin(record *recorder, d deployment) (*world, error) {
	w, err := newWorld(record, d, "info")
	if err != nil {
		return nil, err
	}
	if !w.waitUntilReady(15 * time.Second) {
		w.stop()
		return nil, errNotReady
	}
	return w, nil
}

// submitAll submits jobs and fails if one is not accepted.
func (w *world) submitAll(list ...*job) error {
	for _, j := range list {
		if !w.submit(j) {
			return fmt.Errorf("%s was not accepted", j.ID)
		}
	}
	return nil
}

// follow polls a job every 4 s until its phase is the wanted one, and reports whether that came by a time
// after the start of the run, in seconds.
func (w *world) follow(id, wanted string, untilS float64) bool {
	for end := w.record.started.Add(secondsOf(untilS)); time.Now().Before(end); {
		if _, s := w.poll(0, id); s.Phase == wanted {
			return true
		}
		time.Sleep(min(4*time.Second, max(0, time.Until(end))))
	}
	return false
}

const lastPollS = 108

const mustRun = "accepted job must run"

func init() {
	cases["array-behind-services"] = arrayBehindServices
	cases["service-beside-fragments"] = serviceBesideFragments
	cases["guarantee"] = guarantee
	cases["unknown-field"] = unknownField
	cases["urgent-at-limit"] = urgentAtLimit
}

// arrayBehindServices plays an array on a spot machine and services on an ordinary one. With the
// disruption the spot machine is taken.
func arrayBehindServices(record *recorder, trouble bool) error {
	w, err := begin(record, lacquer())
	if err != nil {
		return err
	}
	defer w.stop()
	array := layerbatch(500, lacquerTeam(0), 1, 30)
	if err := w.submitAll(array); err != nil {
		return err
	}
	if !w.follow(array.ID, "running", 25) {
		return errors.New("the array does not run")
	}
	for i := range 30 {
		if err := w.submitAll(glazewatch(100+i, lacquerTeam(i%6), 1)); err != nil {
			return err
		}
	}
	w.sleepUntil(24)
	if trouble {
		w.cloud.takeSpot()
	}
	if !w.follow(array.ID, "done", lastPollS) {
		record.breaks(mustRun, "%s is not done at %d s, %d starts", array.ID, lastPollS, w.startsOf(array.ID))
	}
	return nil
}

// serviceBesideFragments plays two services whose replicas are of different sizes. With the disruption
// the machine of the larger one dies.
func serviceBesideFragments(record *recorder, trouble bool) error {
	d := lacquer()
	w, err := begin(record, d)
	if err != nil {
		return err
	}
	defer w.stop()
	large := glazewatch(100, lacquerTeam(0), 1)
	large.CPUs = 32
	small := glazewatch(101, lacquerTeam(1), 1)
	if err := w.submitAll(large); err != nil {
		return err
	}
	if !w.follow(large.ID, "running", 25) {
		return errors.New("the large service does not run")
	}
	if err := w.submitAll(small); err != nil {
		return err
	}
	if !w.follow(small.ID, "running", 40) {
		return errors.New("the small service does not run")
	}
	if trouble {
		w.dieWith(large.ID + "/0")
	}
	w.sleepUntil(lastPollS)
	if !w.isOn(large.ID + "/0") {
		record.breaks(mustRun, "%s does not run at %d s", large.ID, lastPollS)
	}
	return nil
}

// guarantee plays a team that borrows beyond its guarantee, and another one that needs its own. With the
// disruption the cloud has fewer machines to give.
func guarantee(record *recorder, trouble bool) error {
	d := lacquer()
	for i := range d.teams {
		d.teams[i].CPUs, d.teams[i].CPUsMax = 16, 64
	}
	if trouble {
		for where := range d.capacity {
			d.capacity[where] = 0
		}
		d.capacity[place{"hongngoc", lacquerZone, false}] = 1
	}
	w, err := begin(record, d)
	if err != nil {
		return err
	}
	defer w.stop()
	for i := range 8 {
		if err := w.submitAll(glazewatch(100+i, lacquerTeam(0), 4)); err != nil {
			return err
		}
	}
	w.sleepUntil(25)
	own := glazewatch(500, lacquerTeam(1), 4)
	if err := w.submitAll(own); err != nil {
		return err
	}
	if !w.follow(own.ID, "running", lastPollS) {
		record.breaks(mustRun, "%s of a team within its guarantee does not run at %d s", own.ID, lastPollS)
	}
	return nil
}

// unknownField plays an array. With the disruption the workers' reports have a field that the protocol
// does not know.
func unknownField(record *recorder, trouble bool) error {
	w, err := begin(record, lacquer())
	if err != nil {
		return err
	}
	defer w.stop()
	if trouble {
		w.mu.Lock()
		w.release = "2026.12.1"
		w.mu.Unlock()
	}
	array := layerbatch(500, lacquerTeam(0), 2, 10)
	if err := w.submitAll(array); err != nil {
		return err
	}
	if !w.follow(array.ID, "done", lastPollS) && w.startsOf(array.ID) == 0 {
		record.breaks("nothing_ran", "no task was started in %d s", lastPollS)
	}
	return nil
}

// urgentAtLimit plays services of a team, an urgent array with a task that needs a whole large machine, and
// a small array. With the disruption three times as many services come.
func urgentAtLimit(record *recorder, trouble bool) error {
	w, err := begin(record, lacquer())
	if err != nil {
		return err
	}
	defer w.stop()
	services := 21
	if trouble {
		services = 63
	}
	for i := range services {
		if err := w.submitAll(glazewatch(100+i, lacquerTeam(0), 4)); err != nil {
			return err
		}
	}
	w.sleepUntil(30)
	large := layerbatch(500, lacquerTeam(0), 1, 20)
	large.Urgency, large.CPUs, large.MemoryGB, large.Loaners = "urgent", 64, 64, true
	small := layerbatch(501, lacquerTeam(0), 1, 10)
	if err := w.submitAll(large, small); err != nil {
		return err
	}
	if !w.follow(small.ID, "done", lastPollS) && w.startsOf(small.ID) == 0 {
		record.breaks(mustRun, "%s has not started at %d s", small.ID, lastPollS)
	}
	return nil
}
