package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// exchangeExpensive sees to it that work which may run on spot machines runs there. Ordinary
// ones, several times as dear, are rented for a burst, or are up at the start, and
// while anything waits they are always busy, so that they never went back. While
// nothing waits, spot machines are rented for what runs on dear ones; when they have
// the room, those get no more tasks and go back as they run empty. What stays is what
// other work needs, and room besides for more of it.
func (f *Fleet) exchangeExpensive(term int) {
	now := f.runtime.Now()
	d := f.movableJob
	if d == nil {
		f.worthwhileSince = 0
		return
	}
	best, cost := f.cheapestSpot(d)
	v := f.surveyMovable(d, cost)
	base := f.steadyWork(v.movableCPUs)
	each := 0.0
	if t := f.MachineType(best.MachineType); t != nil {
		each = float64(tasksOn(t, d)) * d.CPUs
	}
	if each == 0 || base < max(tuning.MinSteadyWorkShare*f.peakCPUs, tuning.MinExchangeSpotMachines*each) {
		f.worthwhileSince = 0 // it comes and goes: machines booted for it would come too late
		return
	}
	if v.workWaits || f.dispatchStalledAt > 0 && now-f.dispatchStalledAt < tuning.StalledDispatchGrace || now-f.termBeganAt < tuning.ExchangeDelay {
		f.worthwhileSince = 0 // every machine is needed as it is
		return
	}
	wanted := min(f.drainExpensive(v), base-v.spotCPUs-v.bootingSpotCPUs)
	if wanted < each {
		f.worthwhileSince = 0
		return
	}
	// A burst that is soon over is not worth it.
	if f.worthwhileSince == 0 {
		f.worthwhileSince = now
	}
	if now-f.worthwhileSince < tuning.ExchangeDelay || !f.spendCall() {
		return
	}
	f.rentalCounter++
	number := min(tuning.MaxRentalMachines, int(wanted/each))
	f.sendRental(term, rentalRequest{fmt.Sprintf("r-%d-%d", f.leases.LeaderToken(), f.rentalCounter), best.MachineType, best.Zone, true, number}, 0)
}

// cheapestSpot is the kind of the cheapest spot machines that can be had, by what a task
// costs there.
func (f *Fleet) cheapestSpot(d *jobs.Spec) (best MachineKind, cost float64) {
	cost = math.Inf(1)
	for i := range f.machineTypes {
		t := &f.machineTypes[i]
		each := tasksOn(t, d)
		for _, zone := range t.Zones {
			k := MachineKind{t.Name, zone, true}
			if each == 0 || f.runtime.Now() < f.pausedUntil[k] || f.isPartitioned(zone) || !f.emptyMachine(k).CouldRun(d, "") {
				continue
			}
			if c := t.SpotPrice / float64(each); c < cost {
				best, cost = k, c
			}
		}
	}
	return best, cost
}

// expensiveMachine is an ordinary machine whose work could run on spot machines.
type expensiveMachine struct {
	m     *machine
	price float64 // of a task there
}

// movableSurvey is the processors that matter for the exchange.
type movableSurvey struct {
	expensive                 []expensiveMachine // the dearest first
	spotCPUs, bootingSpotCPUs float64            // of spot machines, there and to come
	ordinaryCPUs, boundCPUs   float64            // of ordinary machines; of work that must be there
	movableCPUs               float64            // of work that could be anywhere
	workWaits                 bool               // work waits for room
}

// surveyMovable looks at all machines; cost is that of a task on the cheapest spot
// machines.
func (f *Fleet) surveyMovable(d *jobs.Spec, cost float64) *movableSurvey {
	v := &movableSurvey{}
	f.EachAvailable(func(r *AvailableMachine) {
		each := tasksOn(r.MachineType, d)
		use := float64(each) * d.CPUs
		if r.Booting {
			if r.Spot {
				v.bootingSpotCPUs += use
			}
			return
		}
		load := f.loads.MachineLoad(r.ID)
		bound := load.CPUs - load.MovableCPUs
		v.movableCPUs += load.MovableCPUs
		if r.Spot {
			v.spotCPUs += use
			return
		}
		v.ordinaryCPUs += r.MachineType.CPUs
		v.boundCPUs += bound
		price := r.MachineType.Price / float64(max(each, 1))
		if each > 0 && bound < epsilon && price > tuning.MinExchangePriceRatio*cost {
			v.expensive = append(v.expensive, expensiveMachine{f.machines[r.ID], price})
		}
	})
	for i := range f.demands {
		if n := &f.demands[i]; n.Tasks > 0 {
			v.workWaits = true
			if n.Spec.Spot {
				v.movableCPUs += float64(n.Tasks) * n.Spec.CPUs
			}
		}
	}
	slices.SortFunc(v.expensive, func(a, b expensiveMachine) int {
		return cmp.Or(cmp.Compare(b.price, a.price), cmp.Compare(a.m.id, b.m.id))
	})
	return v
}

// steadyWork is the least of such work that there was of late. Work comes in waves: what
// goes must leave room for the most there was, and what is rented is for what there was
// all the time.
func (f *Fleet) steadyWork(work float64) float64 {
	now := f.runtime.Now()
	f.peakCPUs = max(work, f.peakCPUs*math.Exp2(-float64(now-f.peakUpdatedAt)/float64(tuning.ExchangePeakHalfLife)))
	f.peakUpdatedAt = now
	if now-f.windowBeganAt >= tuning.ExchangeWindow {
		f.windowBeganAt, f.leastCPUs[1], f.leastCPUs[0] = now, f.leastCPUs[0], work
	}
	f.leastCPUs[0] = min(f.leastCPUs[0], work)
	return min(f.leastCPUs[0], f.leastCPUs[1])
}

// drainExpensive drains the dear machines that can be done without, and returns the processors
// of those in whose place spot machines would have to be rented.
func (f *Fleet) drainExpensive(v *movableSurvey) (wanted float64) {
	for _, x := range v.expensive {
		t := f.MachineType(x.m.kind.MachineType)
		switch {
		case x.m.returning || x.m.drainReason != "" || f.keptIdle[x.m.id] || v.ordinaryCPUs-t.CPUs < v.boundCPUs*(1+tuning.ExchangeReserveShare):
		case v.spotCPUs+v.ordinaryCPUs-t.CPUs >= f.peakCPUs+v.boundCPUs*(1+tuning.ExchangeReserveShare):
			v.ordinaryCPUs -= t.CPUs
			x.m.drainReason = "dear"
		default:
			wanted += t.CPUs
		}
	}
	return wanted
}
