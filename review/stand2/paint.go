package main

import (
	"fmt"
	"time"
)

// paint returns a small deployment with the settings of the colour matching cluster.
func paint() deployment {
	teams := []team{}
	for i := range 6 {
		teams = append(teams, team{Name: paintTeam(i), CPUs: 64, CPUsMax: 192})
	}
	all := []string{"danang", "haiphong", "hoankiem", "longbien"}
	d := deployment{
		zones: all, areas: []string{"haiphong", "hoankiem", "haiphong"}, teams: teams,
		report: 3, lease: 36, cancelS: 66, state: stateLimits{rps: 80, writeRPS: 15, txnOps: 12}, valueKB: 8,
		cloudRPS: 3, listLag: 10, share: 0.096, mem: 98, sockets: 700,
		types: []machineType{
			{Label: "chimau", CPUs: 4, MemoryGB: 16, CacheGB: 30, PullRate: 0.6, Price: 0.31, SpotPrice: 0.09, StartupS: 20, Yards: []string{"hoankiem", "longbien"}},
			{Label: "thungson", CPUs: 16, MemoryGB: 128, CacheGB: 50, PullRate: 0.6, Price: 1.43, SpotPrice: 0.39, StartupS: 35, Yards: all},
			{
				Label: "bonkhuay", CPUs: 64, MemoryGB: 256, CacheGB: 70, PullRate: 0.6, Price: 4.94, SpotPrice: 1.4, StartupS: 25,
				Yards: []string{"haiphong", "danang", "longbien"},
			},
		},
		capacity: map[place]int{},
		boot:     2 * time.Second,
		objectives: []map[string]any{
			{"kind": "finished", "class": "tintbatch", "within_s": 180.0, "share": 0.65},
			{"kind": "finished", "class": "tintbatch", "within_s": 350.0, "share": 0.85},
			{"kind": "deadline", "class": "rushtint", "share": 0.96, "times": 1.0},
			{"kind": "wait", "class": "rushtint", "within_s": 3.0, "share": 0.96},
			{"kind": "guarantee", "within_s": 5.0, "share": 0.92},
		},
	}
	for _, t := range d.types {
		for _, yard := range t.Yards {
			d.capacity[place{t.Label, yard, false}], d.capacity[place{t.Label, yard, true}] = 1, 1
		}
	}
	return d
}

func paintTeam(i int) string { return fmt.Sprintf("labteam-%02d", i) }

// tintbatch returns an array of the colour matching cluster.
func tintbatch(number int, crew string, tasks int, runS float64) *job {
	return &job{
		ID: fmt.Sprintf("wk-%06d", number), Lane: "tintbatch", Crew: crew, Shape: "array", Urgency: "standard",
		Pieces: tasks, CPUs: 16, MemoryGB: 32, Kit: "img-01", PullGB: 1.2, Loaners: true, ExpectS: runS, runS: runS,
	}
}

func init() { cases["zone-without-capacity"] = zoneWithoutCapacity }

// zoneWithoutCapacity submits an array whose tasks must be in one zone. With the disruption the cloud has
// no machine left in the zone that comes first.
func zoneWithoutCapacity(record *recorder, trouble bool) error {
	d := paint()
	if trouble {
		for where := range d.capacity {
			if where.yard == "danang" {
				d.capacity[where] = 0
			}
		}
	}
	w, err := begin(record, d)
	if err != nil {
		return err
	}
	defer w.stop()
	array := tintbatch(412, paintTeam(0), 1, 20)
	array.SamePlace = true
	if err := w.submitAll(array); err != nil {
		return err
	}
	if !w.follow(array.ID, "done", lastPollS) && w.startsOf(array.ID) == 0 {
		record.breaks("nothing_ran", "no task was started in %d s", lastPollS)
	}
	return nil
}
