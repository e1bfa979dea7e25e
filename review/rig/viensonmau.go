package main

import "fmt"

// viensonmau returns the settings of the site viensonmau-mixlab.
func viensonmau() (deployment, []*machineType) {
	d := deployment{
		zones: []string{"haiphong", "hoankiem"}, machineZones: []string{"danang", "haiphong", "hoankiem", "longbien"},
		reportS: 3, leaseS: 36, cancelS: 66,
		state:    stateLimits{rps: 80, writeRPS: 15, valueKB: 8, txnOps: 12},
		cloudRPS: 3, listLagS: 10, coreShare: 0.096, memMB: 98, sockets: 700, skewMS: 250,
		objectives: []anyMap{
			{"kind": "finished", "class": "tintbatch", "within_s": 180.0, "share": 0.65},
			{"kind": "finished", "class": "tintbatch", "within_s": 350.0, "share": 0.85},
			{"kind": "deadline", "class": "rushtint", "share": 0.96, "times": 1.0},
			{"kind": "wait", "class": "rushtint", "within_s": 3.0, "share": 0.96},
			{"kind": "guarantee", "within_s": 5.0, "share": 0.92},
		},
	}
	for i := range 6 {
		d.teams = append(d.teams, team{Name: fmt.Sprintf("labteam-%02d", i), CPUs: 64, CPUsMax: 192})
	}
	yards := d.machineZones
	return d, []*machineType{
		{Label: "chimau", CPUs: 4, MemoryGB: 16, CacheGB: 35, PullGBPerS: 0.6, Price: 0.31, SpotPrice: 0.09, StartupS: 20, Yards: yards, maxOrdinary: 16},
		{Label: "thungson", CPUs: 16, MemoryGB: 128, CacheGB: 25, PullGBPerS: 0.5, Price: 1.43, SpotPrice: 0.39, StartupS: 35, Yards: yards, maxOrdinary: 8},
		{Label: "bonkhuay", CPUs: 64, MemoryGB: 256, CacheGB: 60, PullGBPerS: 0.5, Price: 4.94, SpotPrice: 1.4, StartupS: 25, Yards: yards, maxOrdinary: 8},
	}
}
