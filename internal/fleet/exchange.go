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

// exchangeState is the state of the exchange of expensive machines between rounds. It concerns
// movable work, which could run on spot machines as well. Amounts are processors.
type exchangeState struct {
	peakCPUs        float64 // maximum of the movable work, with exponential decay
	peakUpdatedAt   time.Duration
	minCPUs         [2]float64 // minimum of the movable work in this window and in the previous one
	windowBeganAt   time.Duration
	worthwhileSince time.Duration // since when an exchange has been worthwhile, 0 if it is not
}

func (s *exchangeState) reset() {
	s.worthwhileSince, s.peakCPUs, s.minCPUs = 0, 0, [2]float64{}
}

// updateSteady records the current movable work, and returns its minimum over this window and
// the previous one. The amount of work varies in waves: machines are drained only as far as the
// remaining ones have room for the maximum, and spot machines are rented only for the minimum.
func (s *exchangeState) updateSteady(movableCPUs float64, now time.Duration) float64 {
	s.peakCPUs = max(movableCPUs, s.peakCPUs*math.Exp2(-float64(now-s.peakUpdatedAt)/float64(tuning.ExchangePeakHalfLife)))
	s.peakUpdatedAt = now
	if now-s.windowBeganAt >= tuning.ExchangeWindow {
		s.windowBeganAt, s.minCPUs[1], s.minCPUs[0] = now, s.minCPUs[0], movableCPUs
	}
	s.minCPUs[0] = min(s.minCPUs[0], movableCPUs)
	return min(s.minCPUs[0], s.minCPUs[1])
}

// exchangeExpensive moves work that may run on spot machines from ordinary machines, which are
// several times as expensive, to spot machines. Ordinary machines are rented for a burst or are
// up at the start. They are busy as long as any work waits, so without the exchange they would
// never become idle and be released.
//
// While nothing waits, spot machines are rented for the work on expensive machines. Once the
// spot machines have room for it, the expensive ones are assigned no more tasks and are
// released when they are empty. The machines that other work needs are retained, with a reserve
// for growth of that work.
func (f *Fleet) exchangeExpensive() {
	spec := f.demand.movableJob
	if spec == nil {
		f.exchange.worthwhileSince = 0
		return
	}
	kind, cost := f.cheapestSpot(spec)
	cpusEach := 0.0 // processors that tasks of the job can use on one such machine
	if machineType := f.MachineType(kind.MachineType); machineType != nil {
		cpusEach = float64(tasksOn(machineType, spec)) * spec.CPUs
	}
	neededCPUs, worthwhile := f.spotCPUsNeeded(f.surveyMovable(spec, cost), cpusEach)
	if !worthwhile {
		f.exchange.worthwhileSince = 0
		return
	}
	// A short burst is not worth an exchange.
	now := f.runtime.Now()
	if f.exchange.worthwhileSince == 0 {
		f.exchange.worthwhileSince = now
	}
	if now-f.exchange.worthwhileSince < tuning.ExchangeDelay || !f.cloud.spendCall() {
		return
	}
	f.rent(kind, min(tuning.MaxRentalMachines, int(neededCPUs/cpusEach)))
}

// cheapestSpot returns the rentable kind of spot machine with the lowest price per task of a
// job, and that price; +Inf if there is none.
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
	taskPrice float64 // machine price per task of the job
}

// movableSurvey is the input of the exchange in one round. Amounts are processors.
type movableSurvey struct {
	expensive       []expensiveMachine // highest price per task first
	spotCPUs        float64            // usable by the job on spot machines that are up
	bootingSpotCPUs float64            // usable by the job on spot machines that boot
	ordinaryCPUs    float64            // of all ordinary machines that are up
	unmovableCPUs   float64            // used on ordinary machines by work that cannot run elsewhere
	movableCPUs     float64            // used or waited for by work that could run on spot machines
	hasWaitingWork  bool               // work waits for room
}

// surveyMovable surveys all available machines and the demand. spotCost is the price per task of
// the job on the cheapest spot machines.
func (f *Fleet) surveyMovable(spec *jobs.Spec, spotCost float64) *movableSurvey {
	survey := &movableSurvey{}
	f.EachAvailable(func(available *AvailableMachine) { f.surveyMachine(survey, available, spec, spotCost) })
	for i := range f.demand.list {
		if demand := &f.demand.list[i]; demand.Tasks > 0 {
			survey.hasWaitingWork = true
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

// surveyMachine adds one machine to a survey.
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
	unmovableCPUs := load.CPUs - load.MovableCPUs
	survey.movableCPUs += load.MovableCPUs
	if available.Spot {
		survey.spotCPUs += usableCPUs
		return
	}
	survey.ordinaryCPUs += available.MachineType.CPUs
	survey.unmovableCPUs += unmovableCPUs
	taskPrice := available.MachineType.Price / float64(max(tasks, 1))
	if tasks > 0 && unmovableCPUs < resource.Epsilon && taskPrice > tuning.MinExchangePriceRatio*spotCost {
		survey.expensive = append(survey.expensive, expensiveMachine{f.machines.byID[available.ID], taskPrice})
	}
}

// spotCPUsNeeded drains the expensive machines that are not needed, and returns the number of
// processors of spot machines to rent so that further ones can be drained. An exchange is not
// worthwhile if fewer than cpusEach are needed, or if machines must not be exchanged now.
// cpusEach is the number of processors that the job can use on one spot machine, 0 if none can
// be rented.
func (f *Fleet) spotCPUsNeeded(survey *movableSurvey, cpusEach float64) (cpus float64, worthwhile bool) {
	now := f.runtime.Now()
	steadyCPUs := f.exchange.updateSteady(survey.movableCPUs, now)
	if cpusEach == 0 || steadyCPUs < max(tuning.MinSteadyWorkShare*f.exchange.peakCPUs, tuning.MinExchangeSpotMachines*cpusEach) {
		return 0, false // the work fluctuates: machines booted for it would be up too late
	}
	if survey.hasWaitingWork || f.demand.wasStalled(now) || now-f.term.beganAt < tuning.ExchangeDelay {
		return 0, false // every machine is needed
	}
	cpus = min(f.drainExpensive(survey), steadyCPUs-survey.spotCPUs-survey.bootingSpotCPUs)
	return cpus, cpus >= cpusEach
}

// drainExpensive drains the expensive machines that are not needed, and returns the processors
// of those that spot machines would have to replace first.
func (f *Fleet) drainExpensive(survey *movableSurvey) (neededCPUs float64) {
	reserved := survey.unmovableCPUs * (1 + tuning.ExchangeReserveShare)
	for _, expensive := range survey.expensive {
		m := expensive.machine
		cpus := f.MachineType(m.kind.MachineType).CPUs
		switch {
		case m.release.requested || m.drainReason != "" || f.machines.retainedIdle[m.id] || survey.ordinaryCPUs-cpus < reserved:
		case survey.spotCPUs+survey.ordinaryCPUs-cpus >= f.exchange.peakCPUs+reserved:
			survey.ordinaryCPUs -= cpus
			m.drainReason = drainExpensive
		default:
			neededCPUs += cpus
		}
	}
	return neededCPUs
}
