package controller

import (
	"time"
)

// submitMixedJobs submits jobs of several kinds over the first seconds: long ones, short
// ones, services, some bound to a zone.
func (s *simulation) submitMixedJobs(number int, length time.Duration) {
	for i := range number {
		job := newJob(jobSpec{
			id: jobID(i), team: teamOf(i), tasks: 1 + s.rng.IntN(3), cpus: 1, runTime: length,
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

// cancelServicesAt has all services that still run cancelled, so that every job ends.
func (s *simulation) cancelServicesAt(at time.Duration) {
	s.schedule(at, func() {
		for _, job := range s.jobs {
			if job.service && job.cancel != nil {
				job.cancel()
			}
		}
	})
}

// cancelRunningJobs has users cancel so many running jobs.
func (s *simulation) cancelRunningJobs(number int) {
	cancelled := 0
	for i := range 1000 {
		if job := s.jobs[jobID(i)]; job != nil && cancelled < number && job.cancel != nil && !job.cancelRequested && !job.ended() && job.startedAt > 0 {
			job.cancel()
			cancelled++
		}
	}
}

// cancelledBetween counts the jobs whose users were told within a time that they are
// cancelled.
func (s *simulation) cancelledBetween(from, to time.Duration) int {
	n := 0
	for _, job := range s.jobs {
		if job.cancelledAt > from && job.cancelledAt <= to {
			n++
		}
	}
	return n
}

// usedCPUs is what a team's tasks take now.
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
