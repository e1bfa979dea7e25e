package main

// ndiayeGrown returns the settings of the site ndiaye-vend-grid-grown, with far fewer machines.
func ndiayeGrown() (deployment, []*machineType) {
	d := deployment{
		zones: []string{"plateau", "rufisque"}, machineZones: []string{"plateau", "rufisque"},
		reportS: 10, leaseS: 45, cancelS: 65,
		state:    stateLimits{rps: 70, writeRPS: 25, valueKB: 8, txnOps: 12},
		cloudRPS: 4, listLagS: 6, coreShare: 0.24, memMB: 451, sockets: 5000, skewMS: 25,
		teams: []team{
			{Name: "depotcrew", CPUs: 25000, CPUsMax: 180000},
			{Name: "routeops", CPUs: 18000, CPUsMax: 50000},
			{Name: "cashdesk", CPUs: 25000, CPUsMax: 70000},
		},
		objectives: []anyMap{
			{"kind": "finished", "class": "routeplan", "within_s": 180.0, "share": 0.85},
			{"kind": "finished", "class": "routeplan", "within_s": 300.0, "share": 0.985},
			{"kind": "deadline", "class": "pricefix", "share": 0.85, "times": 1.0},
			{"kind": "deadline", "class": "pricefix", "share": 0.96, "times": 1.5},
			{"kind": "guarantee", "within_s": 10.0, "share": 0.88},
		},
	}
	return d, []*machineType{{
		Label: "baobab", CPUs: 32, MemoryGB: 128, CacheGB: 40, PullGBPerS: 0.2, Price: 2.19, SpotPrice: 0.73, StartupS: 30,
		Yards: d.machineZones, maxOrdinary: 30,
	}}
}
