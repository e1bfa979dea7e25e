package controller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// soakPlan is what the seed of a soak determines: its deployment, its load and its faults. What
// the real clock leaves open is the order of events that are close to each other, and so which
// machine or controller a fault meets.
type soakPlan struct {
	seed    uint64
	workers int // machines that can be rented
	shards  int
	limit   float64 // of each team, in processors
	fetch   time.Duration
	writes  float64   // that the state service accepts per second
	fillers []soakJob // one of each team, which bring the teams to their limits and hold them there until both are
	burst   []soakJob // that come at once, behind the fillers
	jobs    []soakJob
	faults  []soakFault
	until   time.Duration // end of the faults, since the teams were at their limits
}

// soakJob is a job of the load.
type soakJob struct {
	// at is the time of the submission: of a filler or a job of the burst since the start, of any
	// other since the teams were at their limits.
	at          time.Duration
	cancelAfter time.Duration // since the acceptance, 0: never
	spec        jobSpec
}

// soakFault is one occurrence of a fault.
type soakFault struct {
	at    time.Duration // since the teams were at their limits
	name  faultName
	drawn injection
}

// String returns the plan for a report.
func (p *soakPlan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d machines, %d shards, limit %g cpus, fetch %v, %g writes/s, %d jobs\n",
		p.seed, p.workers, p.shards, p.limit, p.fetch, p.writes, len(p.burst)+len(p.jobs))
	for _, fault := range p.faults {
		fmt.Fprintf(&text, "  %8.3f %s (variant %d, %v)\n", fault.at.Seconds(), fault.name, fault.drawn.variant, fault.drawn.duration)
	}
	return text.String()
}

const (
	ownerPaused         faultName = "owner is paused"
	leaderPaused        faultName = "leader is paused"
	stateAnswersLost    faultName = "answers of the state service to the owner are lost"
	peersReset          faultName = "connections of the leader to its peers are reset"
	workersCutFromAll   faultName = "workers are partitioned from all controllers"
	machinesDeafThenNew faultName = "workers receive nothing for longer than a lease, then answers to transactions are lost"
)

// processFaults are the faults that only real processes can have.
var processFaults = []fault{
	{ownerPaused, func(sim *simulation, drawn injection) {
		if controller := sim.ownerOfShard0(); controller != nil {
			sim.realProcesses.pause(controller, drawn.duration)
		}
	}},
	{leaderPaused, func(sim *simulation, drawn injection) {
		if controller := sim.leader(); controller != nil {
			sim.realProcesses.pause(controller, drawn.duration)
		}
	}},
	{stateAnswersLost, func(sim *simulation, drawn injection) {
		if controller := sim.ownerOfShard0(); controller != nil {
			sim.partitionFor("state>"+controller.name, drawn.duration)
		}
	}},
	{peersReset, func(sim *simulation, drawn injection) {
		leader := sim.leader()
		if leader == nil {
			return
		}
		for _, other := range sim.controllers {
			sim.partitionFor(leader.name+"|"+other.name+resetSuffix, drawn.duration)
			sim.partitionFor(other.name+"|"+leader.name+resetSuffix, drawn.duration)
		}
	}},
	{workersCutFromAll, func(sim *simulation, drawn injection) {
		for _, controller := range sim.controllers {
			sim.partitionFor("workers|"+controller.name, drawn.duration)
		}
	}},
	{machinesDeafThenNew, func(sim *simulation, drawn injection) {
		deaf := sim.settings.WorkerLease() + drawn.duration/2
		sim.inject(workersReceiveNothing, drawn.variant, deaf)
		sim.schedule(deaf, func() { sim.inject(commitAnswersLost, drawn.variant, 2*second) })
	}},
}

// partitionFor sets an entry of the network's partitions for a duration.
func (s *simulation) partitionFor(pair string, duration time.Duration) {
	s.network.partitions[pair] = true
	s.schedule(duration, func() { delete(s.network.partitions, pair) })
}

// drawSoakPlan draws the plan of a soak whose faults begin within the given time.
func drawSoakPlan(seed uint64, length time.Duration) *soakPlan {
	rng := rand.New(rand.NewPCG(seed, 42))
	plan := &soakPlan{seed: seed, workers: 26, shards: 1 + rng.IntN(2), limit: 24, writes: []float64{15, 25, 60}[rng.IntN(3)]}
	plan.fetch = []time.Duration{0, 400 * millisecond, 1500 * millisecond}[rng.IntN(3)]
	jobsPerSecond := 1.6
	if seed%5 == 0 { // a few hundred machines
		plan.workers, plan.limit, plan.writes, jobsPerSecond = 220, 260, 60, 3.5
	}
	const (
		fillersAt = 2 * time.Second
		burstAt   = 3 * time.Second
		burst     = 24               // jobs
		burstRun  = 12 * time.Second // of the tasks of these jobs, at least
		alone     = 10 * time.Second // in which only cancellations go unheard, so that tasks start all the while
	)
	plan.until = alone + length
	for number := range soakTeams {
		plan.fillers = append(plan.fillers, soakJob{at: fillersAt, spec: fillerJob(1000+number, plan.limit)})
	}
	for i := range burst + int(jobsPerSecond*length.Seconds()) {
		job := drawSoakJob(rng, i, burstAt, plan.limit)
		// Part of a team's limit is kept for its urgent jobs, so only those bring it there.
		job.spec.urgent = i < burst || i%3 == 0
		if i < burst {
			job.spec.runTime = max(job.spec.runTime, burstRun)
			plan.burst = append(plan.burst, job)
			continue
		}
		job.at = alone + time.Duration(float64(i-burst)/jobsPerSecond*float64(second))
		plan.jobs = append(plan.jobs, job)
	}
	all := append(append([]fault{}, faults...), processFaults...)
	for at := alone; at < plan.until; {
		for range 2 + rng.IntN(2) { // that overlap
			drawn := injection{rng.IntN(8), time.Duration(1000+rng.IntN(17000)) * millisecond}
			if rng.IntN(4) == 0 { // longer than a lease, and the answers of an earlier owner
				drawn.duration += 16 * second
			}
			plan.faults = append(plan.faults, soakFault{at + time.Duration(rng.IntN(2500))*millisecond, all[rng.IntN(len(all))].name, drawn})
		}
		at += time.Duration(4000+rng.IntN(4000)) * millisecond
	}
	// Attempts end for every cause while copies of their launches are on their way, and jobs are
	// cancelled whose tasks are about to be launched.
	for i, name := range []faultName{cancelledUnheard, machinesFailTasks, cancelledUnheard, machinesFailTasks} {
		at := time.Duration(0)
		if i > 0 {
			at = alone + length*time.Duration(i)/4
		}
		plan.faults = append(plan.faults, soakFault{at, name, injection{rng.IntN(8), 8 * time.Second}})
	}
	// Links hold messages back while tasks are launched.
	for i := range 4 {
		at := alone + length*time.Duration(i)/4
		plan.faults = append(plan.faults, soakFault{at, linksHeld, injection{rng.IntN(8), time.Duration(2+rng.IntN(18)) * second}})
	}
	// Leaders change in series, while teams are at their limits.
	for i := range 3 {
		plan.faults = append(plan.faults, soakFault{alone + length/3 + time.Duration(i)*3500*millisecond, leaderRestartsAtOnce, injection{rng.IntN(20), second}})
	}
	return plan
}

// soakTeams is the number of teams of a soak.
const soakTeams = 2

// fillerJob returns an urgent job that fills its team's limit alone. Its tasks end one after the
// other. Its estimate is long, since the leader rents no machine for work that is soon over.
func fillerJob(number int, limit float64) jobSpec {
	const (
		lastEndsAfter   = 12 * time.Second
		estimateSeconds = 120
	)
	return jobSpec{
		id: jobID(number), team: teamOf(number), tasks: int(limit), cpus: 1, spot: true, urgent: true, estimateSeconds: estimateSeconds,
		runTime: second, runTimeStep: lastEndsAfter / time.Duration(limit),
	}
}

// drawSoakJob draws the job with a number. The teams' limits are the same, so that a job of
// either fits.
func drawSoakJob(rng *rand.Rand, number int, submittedAt time.Duration, limit float64) soakJob {
	spec := jobSpec{
		id: jobID(number), team: teamOf(number), tasks: 1 + rng.IntN(6), cpus: []float64{1, 1, 2}[rng.IntN(3)], spot: true,
		runTime: time.Duration(1000+rng.IntN(9000)) * millisecond,
	}
	if limit > teamLimitCPUs {
		spec.tasks *= 9
	}
	switch rng.IntN(9) {
	case 0:
		spec.spread = true
	case 1:
		spec.zone = []string{"a", "b"}[rng.IntN(2)]
	case 2:
		spec.sameZone = true
	case 3:
		spec.service, spec.tasks = true, 1+rng.IntN(3)
	case 4:
		spec.gang, spec.tasks, spec.cpus = true, 2+rng.IntN(4), 1
		spec.checkpointSeconds = float64(rng.IntN(2) * 2)
	}
	job := soakJob{at: submittedAt, spec: spec}
	if rng.IntN(4) == 0 {
		job.cancelAfter = time.Duration(100+rng.IntN(12000)) * millisecond
	}
	return job
}
