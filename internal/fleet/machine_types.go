package fleet

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// machineTypes are the types of machines that can be rented, with their prices. It is nil
// until they have been read.
type machineTypes []jobs.MachineType

// find returns the type with the given name, nil if there is none.
func (t machineTypes) find(name string) *jobs.MachineType {
	for i := range t {
		if t[i].Name == name {
			return &t[i]
		}
	}
	return nil
}

// update adds or replaces the types of the latest answer. Known types are replaced in place:
// their prices change, but not the machines' properties, and other packages retain the slices.
func (t *machineTypes) update(newest []jobs.MachineType) {
	for _, machineType := range newest {
		if known := t.find(machineType.Name); known != nil {
			*known = machineType
		} else {
			*t = append(slices.Clip(*t), machineType)
		}
	}
}

// Start begins to read the machine types, and reads them again at intervals to keep the prices
// current.
func (f *Fleet) Start() { f.readMachineTypes(0) }

// MachineTypes returns the machine types, nil until they have been read.
func (f *Fleet) MachineTypes() []jobs.MachineType { return f.types }

// MachineType returns the machine type with the given name, nil if there is none.
func (f *Fleet) MachineType(name string) *jobs.MachineType { return f.types.find(name) }

func (f *Fleet) readMachineTypes(attempt int) {
	f.cloud.readMachineTypes(func(newest []jobs.MachineType, err error) {
		if err != nil {
			f.log.Debug("machine types not read", "err", err)
			delay := f.cloud.retryDelay(attempt, tuning.MaxMachineTypesRetryDelay)
			f.runtime.After(delay, func() { f.readMachineTypes(attempt + 1) })
			return
		}
		f.types.update(newest)
		f.runtime.After(tuning.MachineTypesInterval, func() { f.readMachineTypes(0) })
	})
}

// rentableKinds yields the kinds of machines that can currently be rented as far as is known,
// spot machines before ordinary ones of the same type and zone. Kinds whose rental is paused
// and partitioned zones are left out.
func (f *Fleet) rentableKinds() iter.Seq2[MachineKind, *jobs.MachineType] {
	return func(yield func(MachineKind, *jobs.MachineType) bool) {
		for i := range f.types {
			machineType := &f.types[i]
			for _, zone := range machineType.Zones {
				for _, spot := range []bool{true, false} {
					kind := MachineKind{machineType.Name, zone, spot}
					if f.runtime.Now() < f.rentals.pausedUntil[kind] || f.isPartitioned(zone) {
						continue
					}
					if !yield(kind, machineType) {
						return
					}
				}
			}
		}
	}
}

// IsRentable reports whether machines that could run a job can currently be rented in a zone,
// as far as is known.
func (f *Fleet) IsRentable(spec *jobs.Spec, zone string) bool {
	for kind := range f.rentableKinds() {
		if kind.Zone == zone && f.emptyMachine(kind).CouldRun(spec, zone) {
			return true
		}
	}
	return false
}

// bootTime returns the nominal boot time of a machine type.
func bootTime(machineType *jobs.MachineType) time.Duration {
	return time.Duration(machineType.BootSeconds * float64(time.Second))
}

// ChooseZones chooses the zones for a job whose tasks must or must not share one: one zone if
// they must, otherwise up to two.
func (f *Fleet) ChooseZones(spec *jobs.Spec) []string {
	zones := f.CandidateZones(spec)
	if spec.SameZone {
		return zones[:min(1, len(zones))]
	}
	return zones[:min(2, len(zones))]
}

// CandidateZones returns the zones where a job may run, those with the most available
// processors first.
func (f *Fleet) CandidateZones(spec *jobs.Spec) []string {
	const perType = 0.001 // weight of a zone without machines; each processor weighs 1
	weight := map[string]float64{}
	for i := range f.types {
		machineType := &f.types[i]
		if !machineType.CanRun(spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				weight[zone] += perType
			}
		}
	}
	f.EachAvailable(func(machine *AvailableMachine) {
		if machine.CouldRun(spec, "") {
			weight[machine.Zone] += machine.MachineType.CPUs
		}
	})
	zones := make([]string, 0, len(weight))
	for zone := range weight {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), cmp.Compare(a, b))
	})
	return zones
}
