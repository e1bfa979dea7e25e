package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

func init() { cases["quiet"] = quiet }

// quiet submits a few drawn jobs, with machines for all of them, plays one drawn disruption, and notes
// the jobs that do not start.
func quiet(record *recorder, trouble bool) error {
	d := lacquer()
	d.zones = []string{"north", "south", "west"}
	for i := range d.types {
		d.types[i].Yards = d.zones
	}
	d.capacity = map[place]int{}
	for _, t := range d.types {
		for _, yard := range t.Yards {
			d.capacity[place{t.Label, yard, false}], d.capacity[place{t.Label, yard, true}] = 20, 20
		}
	}
	d.cloudRPS = 4
	for i := range d.teams {
		if os.Getenv("SHARDS") != "" { // three shards, one for each controller
			d.teams[i].CPUs, d.teams[i].CPUsMax = 2500, 7000
		}
	}
	for where := range d.capacity {
		if rand.IntN(4) == 0 && os.Getenv("LATE") == "" {
			d.capacity[where] = 0
		}
	}
	w, err := begin(record, d)
	if err != nil {
		return err
	}
	defer w.stop()
	late := os.Getenv("LATE") != "" // commits are late or unanswered, and direct commands held back, for 50 s
	if late {
		w.state.lossy = 0.15
		go func() {
			for time.Since(record.started) < 50*time.Second {
				time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
				w.mu.Lock()
				w.heldUntil = time.Now().Add(time.Duration(500+rand.IntN(5000)) * time.Millisecond)
				w.mu.Unlock()
			}
			w.state.mu.Lock()
			w.state.lossy = 0
			w.state.mu.Unlock()
			record.note("the troubles are over")
		}()
	}
	var list []*job
	for n := range 8 {
		j := layerbatch(1000+n, lacquerTeam(rand.IntN(6)), 1+rand.IntN(4), 5+rand.Float64()*10)
		j.Kit = fmt.Sprintf("img-%02d", rand.IntN(3))
		j.Loaners = rand.IntN(2) == 0
		j.Urgency = []string{"low", "standard", "urgent", "critical"}[rand.IntN(4)]
		j.CPUs = []float64{0.5, 1, 4, 12, 16, 30}[rand.IntN(6)]
		j.MemoryGB = []float64{0.5, 2, 8, 60}[rand.IntN(4)]
		switch rand.IntN(7) {
		case 0, 1:
		case 2, 3:
			j.Shape, j.Pieces, j.CPUs, j.SamePlace = "gang", 2+rand.IntN(8), min(j.CPUs, 16), rand.IntN(2) == 0
		case 4:
			j.Shape, j.ExpectS, j.DueS = "daemon", 0, nil
			if os.Getenv("LATE") != "" { // review/6 shows what becomes of larger ones
				j.CPUs, j.MemoryGB = 1, 1
			}
		}
		if rand.IntN(60) == 0 {
			yard := d.zones[rand.IntN(3)]
			j.Yard, j.Spread = &yard, false
		}
		if rand.IntN(5) == 0 {
			j.Builds = []string{"luuhuynh"}
		}
		if w.submit(j) {
			list = append(list, j)
		}
		time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
	}
	if trouble {
		c := w.controllers[rand.IntN(3)]
		switch rand.IntN(6) {
		case 0:
			w.kill(c)
			time.Sleep(time.Second)
			_ = w.start(c, "info")
		case 1:
			for _, c := range w.controllers {
				w.kill(c)
			}
			time.Sleep(time.Second)
			for _, c := range w.controllers {
				_ = w.start(c, "info")
			}
		case 2:
			w.state.setRefused(c.name, true)
			time.Sleep(15 * time.Second)
			w.state.setRefused(c.name, false)
		case 3:
			w.cloud.takeSpot()
		case 4:
			w.mu.Lock()
			var names []string
			for name := range w.running {
				names = append(names, name)
			}
			w.mu.Unlock()
			if len(names) > 0 {
				w.dieWith(names[rand.IntN(len(names))])
			}
		}
	}
	w.sleepUntil(125)
	if late {
		w.sleepUntil(145)
	}
	for _, j := range list {
		_, s := w.poll(0, j.ID)
		if s.Phase == "done" || j.Shape == "daemon" && s.Running == j.Pieces {
			continue
		}
		record.breaks("stuck", "%s %s %s %d x %g/%g, same %v spread %v loaners %v builds %v yard %v: %s", j.ID, j.Shape, j.Urgency, j.Pieces, j.CPUs, j.MemoryGB,
			j.SamePlace, j.Spread, j.Loaners, j.Builds, j.Yard != nil, s.Phase)
	}
	return nil
}
