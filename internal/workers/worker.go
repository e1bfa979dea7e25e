package workers

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// Worker is what the registry knows of one worker and the machine that it runs on.
// Moments are by the event loop's clock.
type Worker struct {
	ID string
	Machine
	SessionState
	Load
	Reachability
	Health
	delivery commandDelivery
	images   ImageCache
}

// Machine is what a worker's heartbeats say of the machine that it runs on.
type Machine struct {
	Addr            string // host:port where the worker takes commands
	Zone            string
	Spot            bool
	MachineTypeName string
	MachineType     *jobs.MachineType // nil while no type of that name is known
}

// SessionState is how far the conversation with a worker has come: its session, the
// fencing token that it has shown, and the lease by which its tasks live.
type SessionState struct {
	HasReported     bool          // to this process
	Session         uint64        // of its newest heartbeat
	Sequence        uint64        // of its newest heartbeat
	Token           uint64        // highest that it has shown
	LastHeartbeatAt time.Duration // when its newest heartbeat came
	// LeaseRenewedAt is the latest moment from which the worker's lease may run: no
	// answer that renews it was given to a heartbeat received later. See lease.go.
	LeaseRenewedAt time.Duration
	LeaseExpired   bool // without a heartbeat; its tasks were taken for gone
}

// isStale tells whether a heartbeat is no newer than one that was taken in: it was held
// back on its way, its list of tasks is old, and nobody waits for its answer.
func (s *SessionState) isStale(heartbeat *Heartbeat) bool {
	return heartbeat.Session < s.Session ||
		(heartbeat.Session == s.Session && heartbeat.Sequence <= s.Sequence && s.HasReported)
}

// Load is what the tasks on a machine take of it, and what is reserved besides.
type Load struct {
	Tasks map[*taskstate.Task]bool // placed here
	// FetchingTasks counts those of Tasks that have not got their image yet, as far as
	// one can tell.
	FetchingTasks int
	UnknownTasks  int             // tasks that the worker lists and the records don't
	Used          resource.Vector // by Tasks
	ServiceCPUs   float64         // processors that replicas of services use
	Reserved      resource.Vector // for gangs that are expected
	IdleSince     time.Duration   // when the last of Tasks left, or the worker came
}

// forgetTasks forgets the tasks of an earlier term. ServiceCPUs is left: it only steers
// where placement puts services, and starts anew when the machine runs empty.
func (l *Load) forgetTasks() {
	l.Tasks = map[*taskstate.Task]bool{}
	l.Used, l.UnknownTasks, l.FetchingTasks = resource.Vector{}, 0, 0
}

// isEmpty tells whether no task is on the machine, as far as records and worker know.
func (l *Load) isEmpty() bool { return len(l.Tasks) == 0 && l.UnknownTasks == 0 }

// Hearing tells whether the answers and commands sent to a worker reach it. That its
// heartbeats arrive is no proof of it.
type Reachability struct {
	// Deaf: the worker's heartbeats arrive, but our answers don't reach it. It gets no
	// tasks and no answers until it answers a probe.
	Unreachable bool
	// UnacknowledgedHeartbeats counts heartbeats in a row that do not show the token
	// under which the one before was answered.
	UnacknowledgedHeartbeats int
	// LostLaunches counts launches in a row that no heartbeat has ever listed.
	LostLaunches int
	deafSince    time.Duration
	probedAt     time.Duration // when a deaf worker was last asked whether it hears
}

// seemsDeaf tells whether the evidence is enough to take the worker for deaf.
func (h *Reachability) seemsDeaf() bool {
	return h.UnacknowledgedHeartbeats >= tuning.DeafHeartbeats || h.LostLaunches >= tuning.DeafLaunches
}

func (h *Reachability) markDeaf(now time.Duration) {
	h.Unreachable, h.deafSince, h.probedAt = true, now, now
}

func (h *Reachability) markHearing() {
	h.Unreachable, h.UnacknowledgedHeartbeats, h.LostLaunches = false, 0, 0
}

// Health is what speaks against giving a worker tasks, though it hears.
type Health struct {
	DrainReason         string          // why it gets no more tasks, "" if it may
	TerminationAt       time.Duration   // when the cloud takes the spot machine, 0: no notice
	RefusesUntil        time.Duration   // it gets no tasks before: it said it is full
	ConsecutiveFailures int             // tasks that failed here since one was done
	FailedJobs          map[string]bool // jobs of those tasks
}

// drain stops new tasks on the worker; the first reason stays. It tells whether this is the
// first.
func (h *Health) drain(reason string) bool {
	if h.DrainReason != "" {
		return false
	}
	h.DrainReason = reason
	return true
}

func (h *Health) noteFailure(job *taskstate.Job) {
	h.ConsecutiveFailures++
	h.FailedJobs[job.Spec.ID] = true
}

func (h *Health) noteSuccess() {
	h.ConsecutiveFailures = 0
	clear(h.FailedJobs)
}

// commandDelivery is what is to be told to a worker directly, and what came of it.
type commandDelivery struct {
	inFlight           bool          // a direct message is under way, and no other may leave
	unansweredAt       time.Duration // when a direct message last went unanswered
	probesTasks        bool          // its tasks are to be asked for, also without a command
	announcementQueued bool          // see Registry.announceQueue
	// pendingHalts go with the next direct message: halts of tasks that the records
	// don't have, when the heartbeat that lists them must not be answered.
	pendingHalts []Command
}

// Free returns what new tasks may take of the machine: nothing while its type, or what
// runs there, is not known.
func (w *Worker) Free() resource.Vector {
	if w.MachineType == nil || w.UnknownTasks > 0 {
		return resource.Vector{}
	}
	return w.MachineType.Resources().Minus(w.Used)
}

// AddTask notes that a task takes resources of the machine.
func (w *Worker) AddTask(task *taskstate.Task) {
	spec := task.Job.Spec
	w.Tasks[task] = true
	w.Used = w.Used.Plus(spec.Resources())
	if spec.IsService() {
		w.ServiceCPUs += spec.CPUs
	}
	w.UseImage(spec.Image, spec.ImageGB)
}

// RemoveTask notes that a task takes nothing of the machine any more.
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

// UseImage notes that a task with an image of a size in gigabytes starts on the machine.
func (w *Worker) UseImage(image string, sizeGB float64) {
	w.images.Use(image, sizeGB, w.MachineType)
}
