package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// Start reads the machine types and keeps their prices current.
func (f *Fleet) Start() { f.readMachineTypes(0) }

// MachineTypes are the machine types, nil while unknown.
func (f *Fleet) MachineTypes() []jobs.MachineType { return f.machineTypes }

// MachineType finds a machine type.
func (f *Fleet) MachineType(label string) *jobs.MachineType {
	for i := range f.machineTypes {
		if f.machineTypes[i].Name == label {
			return &f.machineTypes[i]
		}
	}
	return nil
}

func (f *Fleet) readMachineTypes(try int) {
	f.runtime.CallHTTP(f.cloudAddress, http1.ClientRequest{Method: "GET", Target: "/machine_types"}, tuning.CloudRequestTimeout,
		func(ans http1.Response, err error) {
			var reply struct {
				Builds []jobs.MachineType `json:"builds"`
			}
			if err == nil && ans.Status == 200 {
				err = json.Unmarshal(ans.Body, &reply)
			}
			if err != nil || ans.Status != 200 || len(reply.Builds) == 0 {
				f.log.Debug("machine types not read", "status", ans.Status, "err", err)
				pause := min(time.Second<<min(try, 4), 10*time.Second)
				f.runtime.After(time.Duration(float64(pause)*(0.5+f.runtime.Rand())), func() { f.readMachineTypes(try + 1) })
				return
			}
			// Prices move; the machines' properties stay, and other slices
			// hold on to them.
			for _, n := range reply.Builds {
				if old := f.MachineType(n.Name); old != nil {
					*old = n
				} else {
					f.machineTypes = append(slices.Clip(f.machineTypes), n)
				}
			}
			f.runtime.After(tuning.MachineTypesInterval, func() { f.readMachineTypes(0) })
		})
}

// ChooseZones fixes zones for a job whose tasks must or must not share one.
func (f *Fleet) ChooseZones(d *jobs.Spec) []string {
	zones := f.CandidateZones(d)
	if d.SameZone {
		return zones[:min(1, len(zones))]
	}
	return zones[:min(2, len(zones))]
}

// CandidateZones lists the zones where a job may run, those with the most machines
// first.
func (f *Fleet) CandidateZones(d *jobs.Spec) []string {
	room := map[string]float64{}
	for i := range f.machineTypes {
		t := &f.machineTypes[i]
		if !t.CanRun(d) {
			continue
		}
		for _, z := range t.Zones {
			if d.Zone == "" || d.Zone == z {
				room[z] += 0.001 // any zone counts a little, one with machines more
			}
		}
	}
	f.EachAvailable(func(r *AvailableMachine) {
		if r.CouldRun(d, "") {
			room[r.Zone] += r.MachineType.CPUs
		}
	})
	zones := make([]string, 0, len(room))
	for z := range room {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b string) int {
		switch {
		case room[a] > room[b]:
			return -1
		case room[a] < room[b]:
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return zones
}
