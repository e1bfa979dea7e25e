package workers

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
)

// Worker is one machine.
type Worker struct {
	ID              string
	Addr            string
	Zone            string
	Spot            bool
	MachineTypeName string
	MachineType     *jobs.MachineType

	// HasReported: its worker has reported to this process.
	HasReported       bool
	Session, Sequence uint64
	Token             uint64        // highest the worker has shown
	LastHeartbeatAt   time.Duration // its newest report
	KnownSince        time.Duration // when this process first knew of it
	// LeaseRenewedAt bounds from when the worker's lease last ran: no answer that
	// renews it was given to a report received later.
	LeaseRenewedAt    time.Duration
	TerminationAt time.Duration // when the cloud takes it, 0: no notice
	DrainReason  string        // why it gets no more tasks, "" if it does
	LeaseExpired bool          // its lease has run out unheard
	IdleSince    time.Duration // since when it has had no tasks

	Tasks map[*taskstate.Task]bool // placed here
	// FetchingTasks counts those of them that do not run yet: they wait for their
	// image, as far as one can tell.
	FetchingTasks int
	// UnknownTasks holds tasks that the worker lists and the records do not.
	UnknownTasks int
	CPUs         float64 // taken by Tasks
	GPUs         float64
	MemoryGB     float64
	// ServiceCPUs is the part of CPUs that replicas of services take.
	ServiceCPUs float64

	// ReservedCPUs, ReservedGPUs and ReservedMemoryGB are kept for gangs to come.
	ReservedCPUs, ReservedGPUs, ReservedMemoryGB float64

	RefusesUntil time.Duration // no tasks before, after it said it is full
	// UnacknowledgedHeartbeats counts reports in a row that were answered under a token which
	// the next did not show, Lost launches in a row that never showed: proof
	// that it reports, but does not hear. Deaf: found so, and when.
	UnacknowledgedHeartbeats int
	LostLaunches             int
	Deaf                     bool
	deaf                     time.Duration
	probed                   time.Duration

	missed              time.Duration // when an order last went unanswered
	ConsecutiveFailures int           // tasks that failed here since one ran well
	FailedJobs          map[string]bool
	orderInFlight       bool      // a direct order is under way
	ends                []Command // halts that an answer may not carry, see Registry.outlives
	probeTasks          bool      // how its tasks are is to be asked directly
	announcing          bool      // to be told of the token
	images              ImageCache
}

// Free is what new tasks may take.
func (h *Worker) Free() (cpus, cards, memory float64) {
	if h.MachineType == nil || h.UnknownTasks > 0 {
		return 0, 0, 0
	}
	return h.MachineType.CPUs - h.CPUs, h.MachineType.GPUs - h.GPUs, h.MachineType.MemoryGB - h.MemoryGB
}

// AddTask notes that a task takes room on the machine.
func (h *Worker) AddTask(k *taskstate.Task) {
	d := k.Job.Spec
	h.Tasks[k] = true
	h.CPUs += d.CPUs
	h.GPUs += d.GPUs
	h.MemoryGB += d.MemoryGB
	if d.IsService() {
		h.ServiceCPUs += d.CPUs
	}
	h.UseImage(d.Image, d.ImageGB)
}

// RemoveTask notes that a task has left its room on the machine.
func (h *Worker) RemoveTask(k *taskstate.Task) {
	d := k.Job.Spec
	delete(h.Tasks, k)
	h.CPUs -= d.CPUs
	h.GPUs -= d.GPUs
	h.MemoryGB -= d.MemoryGB
	if d.IsService() {
		h.ServiceCPUs -= d.CPUs
	}
	if len(h.Tasks) == 0 { // sums of decimal amounts are not exact
		h.CPUs, h.GPUs, h.MemoryGB, h.ServiceCPUs = 0, 0, 0, 0
	}
}

// HasImage tells whether the machine has, or is fetching, an image.
func (h *Worker) HasImage(image string) bool { return h.images.Contains(image) }

// Images lists the images that the machine has.
func (h *Worker) Images() []string {
	names := make([]string, len(h.images))
	for i, c := range h.images {
		names[i] = c.name
	}
	return names
}

// UseImage notes that a task with an image starts on the machine.
func (h *Worker) UseImage(image string, gb float64) { h.images.Use(image, gb, h.MachineType) }
