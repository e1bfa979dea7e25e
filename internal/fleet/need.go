package fleet

import (
	"time"

	"lemonmoor/internal/jobs"
)

// AvailableMachine is a machine that takes tasks or is about to.
type AvailableMachine struct {
	MachineKind
	ID          string
	Shard       int
	MachineType *jobs.MachineType
	Booting     bool
	// ReadyIn is how long it should still boot.
	ReadyIn time.Duration
}

// CouldRun tells whether the machine may run a task of the job at all.
func (r *AvailableMachine) CouldRun(d *jobs.Spec, zone string) bool {
	return r.MachineType.CanRun(d) && (d.Zone == "" || d.Zone == r.Zone) && (zone == "" || zone == r.Zone) && (d.Spot || !r.Spot)
}

// Demand is tasks of a job for which there is no room.
type Demand struct {
	Spec  *jobs.Spec
	Zone  string // fixed at hand-out, "" for any
	Tasks int
	// Rank is the job's place in the order in which work is handed out.
	Rank int
	// HeldByQuota is tasks of the job that the team's limit holds back: they cannot
	// use more machines now, but are part of the queue.
	HeldByQuota int
	// WaitedSeconds is for how many seconds the job has been there.
	WaitedSeconds float64
	// ObjectiveSlackSeconds is how many seconds they can still wait for each of the users' aims
	// that is not missed yet, without the one for work within a guarantee.
	ObjectiveSlackSeconds []float64
}

// objectiveWait is how long the tasks can wait for the next aim that a machine which is
// there after so many seconds can still meet; most if there is none. An aim that
// will be missed or met before a machine could be up is no reason to rent one:
// counted as one, jobs of five seconds had hundreds rented for the first minute.
func (n *Demand) objectiveWait(ready, most float64) float64 {
	for _, left := range n.ObjectiveSlackSeconds {
		if left > ready {
			most = min(most, left)
		}
	}
	return most
}

// cpus is what a task takes of a machine type, its memory counted as the
// processors that go with it.
func (n *Demand) cpus(t *jobs.MachineType) float64 {
	return max(n.Spec.CPUs, n.Spec.MemoryGB/t.MemoryGB*t.CPUs)
}

// MachineLoad is what the tasks placed on a machine take.
type MachineLoad struct {
	CPUs float64
	// MovableCPUs is the processors of tasks that could run on any spot machine.
	MovableCPUs float64
	// ServiceCPUs is the processors of replicas of services, which do not come free.
	ServiceCPUs float64
	// CPUsByPriority divides CPUs among the priorities of the tasks.
	CPUsByPriority [jobs.PriorityCritical + 1]float64
}

// Below is the processors taken by tasks of a lower priority.
func (l *MachineLoad) Below(p jobs.Priority) float64 {
	sum := 0.0
	for _, cpus := range l.CPUsByPriority[:p] {
		sum += cpus
	}
	return sum
}
