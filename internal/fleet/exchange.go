package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/tuning"
)

// exchangeState is what the exchange of expensive machines remembers of movable work: work
// that could as well run on spot machines. Amounts are processors.
type exchangeState struct {
	peakCPUs        float64 // the most movable work of late
	peakUpdatedAt   time.Duration
	leastCPUs       [2]float64 // the least of it, in this window and the one before
	windowBeganAt   time.Duration
	worthwhileSince time.Duration // since when spot machines would be cheaper, 0: they would not
}

func (s *exchangeState) reset() {
	s.worthwhileSince, s.peakCPUs, s.leastCPUs = 0, 0, [2]float64{}
}

// updateSteady takes the movable work of now in, and returns the least that there was of late.
// Work comes in waves: what is drained must leave room for the most there was, and what is
// rented is for what there was all the time.
func (s *exchangeState) updateSteady(movableCPUs float64, now time.Duration) float64 {
	s.peakCPUs = max(movableCPUs, s.peakCPUs*math.Exp2(-float64(now-s.peakUpdatedAt)/float64(tuning.ExchangePeakHalfLife)))
	s.peakUpdatedAt = now
	if now-s.windowBeganAt >= tuning.ExchangeWindow {
		s.windowBeganAt, s.leastCPUs[1], s.leastCPUs[0] = now, s.leastCPUs[0], movableCPUs
	}
	s.leastCPUs[0] = min(s.leastCPUs[0], movableCPUs)
	return min(s.leastCPUs[0], s.leastCPUs[1])
}

// exchangeExpensive sees to it that work which may run on spot machines runs there. Ordinary
// ones, several times as expensive, are rented for a burst, or are up at the start, and while
// anything waits they are always busy, so that they never went back. While nothing waits, spot
// machines are rented for what runs on expensive ones; when they have the room, those get no
// more tasks and are released as they run empty. What stays is what other work needs, and room
// besides for more of it.
func (f *Fleet) exchangeExpensive() {
	spec := f.demand.movableJob
	if spec == nil {
		f.exchange.worthwhileSince = 0
		return
	}
	kind, cost := f.cheapestSpot(spec)
	cpusEach := 0.0 // that tasks of the job use on such a machine
	if machineType := f.MachineType(kind.MachineType); machineType != nil {
		cpusEach = float64(tasksOn(machineType, spec)) * spec.CPUs
	}
	needed, worthwhile := f.spotCPUsNeeded(f.surveyMovable(spec, cost), cpusEach)
	if !worthwhile {
		f.exchange.worthwhileSince = 0
		return
	}
	// A burst that is soon over is not worth it.
	now := f.runtime.Now()
	if f.exchange.worthwhileSince == 0 {
		f.exchange.worthwhileSince = now
	}
	if now-f.exchange.worthwhileSince < tuning.ExchangeDelay || !f.cloud.spendCall() {
		return
	}
	f.rent(kind, min(tuning.MaxRentalMachines, int(needed/cpusEach)))
}

// cheapestSpot returns the kind of the cheapest spot machines that can be had, by what a task
// costs there.
func (f *Fleet) cheapestSpot(spec *jobs.Spec) (cheapest MachineKind, cost float64) {
	cost = math.Inf(1)
	for kind, machineType := range f.rentableKinds() {
		tasks := tasksOn(machineType, spec)
		if !kind.Spot || tasks == 0 || !f.emptyMachine(kind).CouldRun(spec, "") {
			continue
		}
		if taskCost := machineType.SpotPrice / float64(tasks); taskCost < cost {
			cheapest, cost = kind, taskCost
		}
	}
	return cheapest, cost
}

// expensiveMachine is an ordinary machine whose work could run on spot machines.
type expensiveMachine struct {
	machine   *machine
	taskPrice float64 // of a task there
}

// movableSurvey is what matters for the exchange. Amounts are processors.
type movableSurvey struct {
	expensive       []expensiveMachine // the most expensive first
	spotCPUs        float64            // of spot machines that are up
	bootingSpotCPUs float64            // of spot machines that boot
	ordinaryCPUs    float64            // of ordinary machines that are up
	boundCPUs       float64            // of work on ordinary machines that must be there
	movableCPUs     float64            // of work that could be anywhere, also of what waits
	workWaits       bool               // work waits for room
}

// surveyMovable looks at all machines; spotCost is that of a task on the cheapest spot
// machines.
func (f *Fleet) surveyMovable(spec *jobs.Spec, spotCost float64) *movableSurvey {
	survey := &movableSurvey{}
	f.EachAvailable(func(available *AvailableMachine) { f.surveyMachine(survey, available, spec, spotCost) })
	for i := range f.demand.list {
		if demand := &f.demand.list[i]; demand.Tasks > 0 {
			survey.workWaits = true
			if demand.Spec.Spot {
				survey.movableCPUs += float64(demand.Tasks) * demand.Spec.CPUs
			}
		}
	}
	slices.SortFunc(survey.expensive, func(a, b expensiveMachine) int {
		return cmp.Or(cmp.Compare(b.taskPrice, a.taskPrice), cmp.Compare(a.machine.id, b.machine.id))
	})
	return survey
}

func (f *Fleet) surveyMachine(survey *movableSurvey, available *AvailableMachine, spec *jobs.Spec, spotCost float64) {
	tasks := tasksOn(available.MachineType, spec)
	usableCPUs := float64(tasks) * spec.CPUs
	if available.Booting {
		if available.Spot {
			survey.bootingSpotCPUs += usableCPUs
		}
		return
	}
	load := f.loads.MachineLoad(available.ID)
	boundCPUs := load.CPUs - load.MovableCPUs
	survey.movableCPUs += load.MovableCPUs
	if available.Spot {
		survey.spotCPUs += usableCPUs
		return
	}
	survey.ordinaryCPUs += available.MachineType.CPUs
	survey.boundCPUs += boundCPUs
	taskPrice := available.MachineType.Price / float64(max(tasks, 1))
	if tasks > 0 && boundCPUs < resource.Epsilon && taskPrice > tuning.MinExchangePriceRatio*spotCost {
		survey.expensive = append(survey.expensive, expensiveMachine{f.machines.byID[available.ID], taskPrice})
	}
}

// spotCPUsNeeded drains the expensive machines that can be done without, and returns for how
// many processors spot machines should be rented so that others can be. Not worthwhile: for
// less than one, or nothing may be exchanged now. cpusEach is what the work uses of a spot
// machine, 0 if none can be had.
func (f *Fleet) spotCPUsNeeded(survey *movableSurvey, cpusEach float64) (cpus float64, worthwhile bool) {
	now := f.runtime.Now()
	steady := f.exchange.updateSteady(survey.movableCPUs, now)
	if cpusEach == 0 || steady < max(tuning.MinSteadyWorkShare*f.exchange.peakCPUs, tuning.MinExchangeSpotMachines*cpusEach) {
		return 0, false // it comes and goes: machines booted for it would come too late
	}
	if survey.workWaits || f.demand.wasStalled(now) || now-f.term.beganAt < tuning.ExchangeDelay {
		return 0, false // every machine is needed as it is
	}
	cpus = min(f.drainExpensive(survey), steady-survey.spotCPUs-survey.bootingSpotCPUs)
	return cpus, cpus >= cpusEach
}

// drainExpensive drains the expensive machines that can be done without, and returns the
// processors of those in whose place spot machines would have to be rented.
func (f *Fleet) drainExpensive(survey *movableSurvey) (neededCPUs float64) {
	reserved := survey.boundCPUs * (1 + tuning.ExchangeReserveShare)
	for _, expensive := range survey.expensive {
		m := expensive.machine
		cpus := f.MachineType(m.kind.MachineType).CPUs
		switch {
		case m.release.requested || m.drainReason != "" || f.machines.keptIdle[m.id] || survey.ordinaryCPUs-cpus < reserved:
		case survey.spotCPUs+survey.ordinaryCPUs-cpus >= f.exchange.peakCPUs+reserved:
			survey.ordinaryCPUs -= cpus
			m.drainReason = drainExpensive
		default:
			neededCPUs += cpus
		}
	}
	return neededCPUs
}
