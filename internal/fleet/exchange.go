package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// exchange sees to it that work which may run on spot machines runs there. Ordinary
// ones, several times as dear, are rented for a burst, or are up at the start, and
// while anything waits they are always busy, so that they never went back. While
// nothing waits, spot machines are rented for what runs on dear ones; when they have
// the room, those get no more tasks and go back as they run empty. What stays is what
// other work needs, and room besides for more of it.
func (f *Fleet) exchange(term int) {
	now := f.rt.Now()
	d := f.movable
	if d == nil {
		f.wanting = 0
		return
	}
	best, cost := f.cheapestSpot(d)
	v := f.surveyMovable(d, cost)
	base := f.steadyWork(v.work)
	each := 0.0
	if t := f.MachineType(best.MachineType); t != nil {
		each = float64(tasksOn(t, d)) * d.CPUs
	}
	if each == 0 || base < max(tuning.MinSteadyWorkShare*f.peak, tuning.MinExchangeSpotMachines*each) {
		f.wanting = 0 // it comes and goes: machines booted for it would come too late
		return
	}
	if v.waits || f.stalled > 0 && now-f.stalled < tuning.StalledDispatchGrace || now-f.begun < tuning.ExchangeDelay {
		f.wanting = 0 // every machine is needed as it is
		return
	}
	wanted := min(f.drainDear(v), base-v.spot-v.coming)
	if wanted < each {
		f.wanting = 0
		return
	}
	// A burst that is soon over is not worth it.
	if f.wanting == 0 {
		f.wanting = now
	}
	if now-f.wanting < tuning.ExchangeDelay || !f.afford() {
		return
	}
	f.counter++
	number := min(tuning.MaxRentalMachines, int(wanted/each))
	f.hire(term, hire{fmt.Sprintf("r-%d-%d", f.lease.LeaderToken(), f.counter), best.MachineType, best.Zone, true, number}, 0)
}

// cheapestSpot is the kind of the cheapest spot machines that can be had, by what a task
// costs there.
func (f *Fleet) cheapestSpot(d *jobs.Spec) (best MachineKind, cost float64) {
	cost = math.Inf(1)
	for i := range f.types {
		t := &f.types[i]
		each := tasksOn(t, d)
		for _, zone := range t.Zones {
			k := MachineKind{t.Name, zone, true}
			if each == 0 || f.rt.Now() < f.pauses[k] || f.cutOff(zone) || !f.empty(k).CouldRun(d, "") {
				continue
			}
			if c := t.SpotPrice / float64(each); c < cost {
				best, cost = k, c
			}
		}
	}
	return best, cost
}

// dearMachine is an ordinary machine whose work could run on spot machines.
type dearMachine struct {
	m     *machine
	price float64 // of a task there
}

// movableSurvey is the processors that matter for the exchange.
type movableSurvey struct {
	dear             []dearMachine // the dearest first
	spot, coming     float64       // of spot machines, there and to come
	ordinary, others float64       // of ordinary machines; of work that must be there
	work             float64       // of work that could be anywhere
	waits            bool          // work waits for room
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
				v.coming += use
			}
			return
		}
		load := f.loads.MachineLoad(r.ID)
		bound := load.CPUs - load.Movable
		v.work += load.Movable
		if r.Spot {
			v.spot += use
			return
		}
		v.ordinary += r.MachineType.CPUs
		v.others += bound
		price := r.MachineType.Price / float64(max(each, 1))
		if each > 0 && bound < slack && price > tuning.MinExchangePriceRatio*cost {
			v.dear = append(v.dear, dearMachine{f.machines[r.ID], price})
		}
	})
	for i := range f.needs {
		if n := &f.needs[i]; n.Tasks > 0 {
			v.waits = true
			if n.Spec.Spot {
				v.work += float64(n.Tasks) * n.Spec.CPUs
			}
		}
	}
	slices.SortFunc(v.dear, func(a, b dearMachine) int {
		return cmp.Or(cmp.Compare(b.price, a.price), cmp.Compare(a.m.id, b.m.id))
	})
	return v
}

// steadyWork is the least of such work that there was of late. Work comes in waves: what
// goes must leave room for the most there was, and what is rented is for what there was
// all the time.
func (f *Fleet) steadyWork(work float64) float64 {
	now := f.rt.Now()
	f.peak = max(work, f.peak*math.Exp2(-float64(now-f.peaked)/float64(tuning.ExchangePeakHalfLife)))
	f.peaked = now
	if now-f.turned >= tuning.ExchangeWindow {
		f.turned, f.least[1], f.least[0] = now, f.least[0], work
	}
	f.least[0] = min(f.least[0], work)
	return min(f.least[0], f.least[1])
}

// drainDear drains the dear machines that can be done without, and returns the processors
// of those in whose place spot machines would have to be rented.
func (f *Fleet) drainDear(v *movableSurvey) (wanted float64) {
	for _, x := range v.dear {
		t := f.MachineType(x.m.kind.MachineType)
		switch {
		case x.m.release || x.m.drain != "" || f.kept[x.m.id] || v.ordinary-t.CPUs < v.others*(1+tuning.ExchangeReserveShare):
		case v.spot+v.ordinary-t.CPUs >= f.peak+v.others*(1+tuning.ExchangeReserveShare):
			v.ordinary -= t.CPUs
			x.m.drain = "dear"
		default:
			wanted += t.CPUs
		}
	}
	return wanted
}
