package workers

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
)

// Worker is what the registry knows of one worker and the machine that it runs on.
type Worker struct {
	ID string
	Machine
	SessionState
	Load
	Health
	commands commandDelivery
	images   ImageCache
}

// Machine is what a worker's heartbeats say of the machine that it runs on.
type Machine struct {
	Addr            string
	Zone            string
	Spot            bool
	MachineTypeName string
	MachineType     *jobs.MachineType // nil while no type of that name is known
}

// SessionState is how far the conversation with a worker has come: the session, the
// fencing token and the lease by which its tasks live.
type SessionState struct {
	HasReported       bool // to this process
	Session, Sequence uint64
	Token             uint64        // highest that the worker has shown
	LastHeartbeatAt   time.Duration // its newest heartbeat
	// LeaseRenewedAt bounds from when the worker's lease last ran: no answer that
	// renews it was given to a heartbeat received later.
	LeaseRenewedAt time.Duration
	LeaseExpired   bool // it has run out with no heartbeat
}

// Load is what the tasks on a machine take of it, and what is reserved besides.
type Load struct {
	Tasks map[*taskstate.Task]bool // placed here
	// FetchingTasks counts those of Tasks that do not run yet: they wait for their
	// image, as far as one can tell.
	FetchingTasks int
	UnknownTasks  int             // tasks that the worker lists and the records do not
	Used          resource.Vector // by Tasks
	ServiceCPUs   float64         // processors that replicas of services use
	Reserved      resource.Vector // for gangs that are expected
	IdleSince     time.Duration   // when the last of Tasks left
}

// Health is what speaks against giving a worker tasks.
type Health struct {
	TerminationAt time.Duration // when the cloud takes the spot machine, 0: no notice
	DrainReason   string        // why it gets no more tasks, "" if it does
	RefusesUntil  time.Duration // no tasks before, after it said it is full
	// UnacknowledgedHeartbeats counts heartbeats in a row that were answered under a
	// token which the next one did not show, LostLaunches launches in a row that never
	// showed: proof that its heartbeats arrive, but our answers don't.
	UnacknowledgedHeartbeats int
	LostLaunches             int
	Deaf                     bool // found so at deafSince
	deafSince                time.Duration
	probedAt                 time.Duration
	ConsecutiveFailures      int             // tasks that failed here since one ran well
	FailedJobs               map[string]bool // jobs of those tasks
}

// commandDelivery is what is to be told to a worker directly, and what came of it.
type commandDelivery struct {
	inFlight      bool          // a direct message is under way
	unansweredAt  time.Duration // when a direct message last went unanswered
	pendingHalts  []Command     // that an answer may not carry, see Registry.outlives
	probeTasks    bool          // how its tasks are is to be asked directly
	announcePends bool          // to be told of the token
}

// Free is what new tasks may take.
func (h *Worker) Free() resource.Vector {
	if h.MachineType == nil || h.UnknownTasks > 0 {
		return resource.Vector{}
	}
	return h.MachineType.Resources().Minus(h.Used)
}

// AddTask notes that a task takes room on the machine.
func (h *Worker) AddTask(k *taskstate.Task) {
	spec := k.Job.Spec
	h.Tasks[k] = true
	h.Used = h.Used.Plus(spec.Resources())
	if spec.IsService() {
		h.ServiceCPUs += spec.CPUs
	}
	h.UseImage(spec.Image, spec.ImageGB)
}

// RemoveTask notes that a task has left its room on the machine.
func (h *Worker) RemoveTask(k *taskstate.Task) {
	spec := k.Job.Spec
	delete(h.Tasks, k)
	h.Used = h.Used.Minus(spec.Resources())
	if spec.IsService() {
		h.ServiceCPUs -= spec.CPUs
	}
	if len(h.Tasks) == 0 { // sums of decimal amounts are not exact
		h.Used, h.ServiceCPUs = resource.Vector{}, 0
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

// clear forgets the tasks of an earlier term. ServiceCPUs is left: it only steers
// where placement puts services, and starts anew when the machine runs empty.
func (l *Load) clear() {
	l.Tasks = map[*taskstate.Task]bool{}
	l.Used, l.UnknownTasks, l.FetchingTasks = resource.Vector{}, 0, 0
}
