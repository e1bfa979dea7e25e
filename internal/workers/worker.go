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
	inFlight           bool          // a direct message is under way
	unansweredAt       time.Duration // when a direct message last went unanswered
	pendingHalts       []Command     // that an answer may not carry, see Registry.outlives
	probeTasks         bool          // how its tasks are is to be asked directly
	announcementQueued bool          // to be told of the token
}

// Free is what new tasks may take.
func (w *Worker) Free() resource.Vector {
	if w.MachineType == nil || w.UnknownTasks > 0 {
		return resource.Vector{}
	}
	return w.MachineType.Resources().Minus(w.Used)
}

// AddTask notes that a task takes room on the machine.
func (w *Worker) AddTask(task *taskstate.Task) {
	spec := task.Job.Spec
	w.Tasks[task] = true
	w.Used = w.Used.Plus(spec.Resources())
	if spec.IsService() {
		w.ServiceCPUs += spec.CPUs
	}
	w.UseImage(spec.Image, spec.ImageGB)
}

// RemoveTask notes that a task has left its room on the machine.
func (w *Worker) RemoveTask(task *taskstate.Task) {
	spec := task.Job.Spec
	delete(w.Tasks, task)
	w.Used = w.Used.Minus(spec.Resources())
	if spec.IsService() {
		w.ServiceCPUs -= spec.CPUs
	}
	if len(w.Tasks) == 0 { // sums of decimal amounts are not exact
		w.Used, w.ServiceCPUs = resource.Vector{}, 0
	}
}

// HasImage tells whether the machine has, or is fetching, an image.
func (w *Worker) HasImage(image string) bool { return w.images.Contains(image) }

// Images lists the images that the machine has.
func (w *Worker) Images() []string {
	names := make([]string, len(w.images))
	for i, image := range w.images {
		names[i] = image.name
	}
	return names
}

// UseImage notes that a task with an image starts on the machine.
func (w *Worker) UseImage(image string, sizeGB float64) { w.images.Use(image, sizeGB, w.MachineType) }

// clear forgets the tasks of an earlier term. ServiceCPUs is left: it only steers
// where placement puts services, and starts anew when the machine runs empty.
func (l *Load) clear() {
	l.Tasks = map[*taskstate.Task]bool{}
	l.Used, l.UnknownTasks, l.FetchingTasks = resource.Vector{}, 0, 0
}
