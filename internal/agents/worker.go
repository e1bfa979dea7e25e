package agents

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/work"
)

// Worker is one machine.
type Worker struct {
	ID    string
	Addr  string
	Zone  string
	Spot  bool
	Build string
	Type  *jobs.MachineType

	// Up: its worker has reported to this process.
	Up                bool
	Session, Sequence uint64
	Token             uint64        // highest the worker has shown
	Heard             time.Duration // its newest report
	Known             time.Duration // when this process first knew of it
	// LeaseFrom bounds from when the worker's lease last ran: no answer that
	// renews it was given to a report received later.
	LeaseFrom time.Duration
	Notice    time.Duration // when the cloud takes it, 0: no notice
	Draining  string        // why it gets no more tasks, "" if it does
	Silent    bool          // its lease has run out unheard
	Idle      time.Duration // since when it has had no tasks

	Tasks map[*work.Task]bool // placed here
	// Fetching counts those of them that do not run yet: they wait for their
	// image, as far as one can tell.
	Fetching int
	// UnknownTasks holds tasks that the worker lists and the records do not.
	UnknownTasks int
	CPUs         float64 // taken by Tasks
	Cards        float64
	Memory       float64
	// ServiceCPUs is the part of CPUs that replicas of services take.
	ServiceCPUs float64

	// KeptCPUs, KeptCards and KeptMemory are kept for gangs to come.
	KeptCPUs, KeptCards, KeptMemory float64

	Refused time.Duration // no tasks before, after it said it is full
	// Unheard counts reports in a row that were answered under a token which
	// the next did not show, Lost launches in a row that never showed: proof
	// that it reports, but does not hear. Deaf: found so, and when.
	Unheard int
	Lost    int
	Deaf    bool
	deaf    time.Duration
	probed  time.Duration

	missed        time.Duration // when an order last went unanswered
	Failed        int           // tasks that failed here since one ran well
	FailedJ       map[string]bool
	orderInFlight bool    // a direct order is under way
	ends          []Order // halts that an answer may not carry, see Registry.outlives
	probeTasks    bool    // how its tasks are is to be asked directly
	announcing    bool    // to be told of the token
	images        Cache
}

// Free is what new tasks may take.
func (h *Worker) Free() (cpus, cards, memory float64) {
	if h.Type == nil || h.UnknownTasks > 0 {
		return 0, 0, 0
	}
	return h.Type.CPUs - h.CPUs, h.Type.Cards - h.Cards, h.Type.MemoryGB - h.Memory
}

// Add notes that a task takes room on the machine.
func (h *Worker) Add(k *work.Task) {
	d := k.Job.Desc
	h.Tasks[k] = true
	h.CPUs += d.CPUs
	h.Cards += d.Cards
	h.Memory += d.MemoryGB
	if d.Service() {
		h.ServiceCPUs += d.CPUs
	}
	h.Use(d.Image, d.ImageGB)
}

// Remove notes that a task has left its room on the machine.
func (h *Worker) Remove(k *work.Task) {
	d := k.Job.Desc
	delete(h.Tasks, k)
	h.CPUs -= d.CPUs
	h.Cards -= d.Cards
	h.Memory -= d.MemoryGB
	if d.Service() {
		h.ServiceCPUs -= d.CPUs
	}
	if len(h.Tasks) == 0 { // sums of decimal amounts are not exact
		h.CPUs, h.Cards, h.Memory, h.ServiceCPUs = 0, 0, 0, 0
	}
}

// Caches tells whether the machine has, or is fetching, an image.
func (h *Worker) Caches(image string) bool { return h.images.Has(image) }

// Images lists the images that the machine has.
func (h *Worker) Images() []string {
	names := make([]string, len(h.images))
	for i, c := range h.images {
		names[i] = c.name
	}
	return names
}

// Use notes that a task with an image starts on the machine.
func (h *Worker) Use(image string, gb float64) { h.images.Use(image, gb, h.Type) }
