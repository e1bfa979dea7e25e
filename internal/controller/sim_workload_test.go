package controller

import (
	"time"
)

// submitMixedJobs submits jobs of several kinds within the next 8 s: jobs that run for runTime,
// jobs that run for 1 to 20 s, services, and jobs bound to a zone.
func (s *simulation) submitMixedJobs(count int, runTime time.Duration) {
	for i := range count {
		job := newJob(jobSpec{
			id: jobID(i), team: teamOf(i), tasks: 1 + s.rng.IntN(3), cpus: 1, runTime: runTime,
			spot: s.rng.IntN(2) == 0, urgent: i%3 == 0,
		})
		switch i % 6 {
		case 1:
			job.runTime = time.Duration(1+s.rng.IntN(20)) * second
		case 2:
			job.service = true
		case 3:
			job.zone = []string{"a", "b"}[s.rng.IntN(2)]
		}
		s.schedule(time.Duration(s.rng.IntN(8000))*millisecond, func() { s.submitAndPoll(job, 0) })
	}
}

// cancelServicesAt has the users of all accepted services cancel them after a delay, so that
// every job ends.
func (s *simulation) cancelServicesAt(delay time.Duration) {
	s.schedule(delay, func() {
		for _, job := range s.jobs {
			if job.service && job.cancel != nil {
				job.cancel()
			}
		}
	})
}

// cancelRunningJobs has users cancel up to count running jobs, in the order of their numbers.
func (s *simulation) cancelRunningJobs(count int) {
	cancelled := 0
	for i := range 1000 {
		if job := s.jobs[jobID(i)]; job != nil && cancelled < count && job.cancel != nil && !job.cancelRequested && !job.ended() && job.startedAt > 0 {
			job.cancel()
			cancelled++
		}
	}
}

// cancelWaitingJobs has users cancel up to count accepted jobs of which no task has started, in the
// order of their numbers.
func (s *simulation) cancelWaitingJobs(count int) {
	cancelled := 0
	for i := range 1000 {
		if job := s.jobs[jobID(i)]; job != nil && cancelled < count && job.cancel != nil && !job.cancelRequested && !job.ended() && job.startedAt == 0 {
			job.cancel()
			cancelled++
		}
	}
}

// cancelledBetween returns the number of jobs whose users were first told of the cancellation
// after from and not after to.
func (s *simulation) cancelledBetween(from, to time.Duration) int {
	n := 0
	for _, job := range s.jobs {
		if job.cancelledAt > from && job.cancelledAt <= to {
			n++
		}
	}
	return n
}

// usedCPUs returns the processors that a team's tasks use on all machines.
func (s *simulation) usedCPUs(team string) float64 {
	sum := 0.0
	for _, worker := range s.workers {
		for _, task := range worker.tasks {
			if job := s.jobs[task.jobID()]; task.phase != phaseEnded && !worker.dead && job.team == team {
				sum += job.cpus
			}
		}
	}
	return sum
}
