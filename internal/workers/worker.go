package workers

import (
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// Worker is the registry's state of one worker and the machine that it runs on. Times are
// those of the event loop's clock.
type Worker struct {
	ID string
	Machine
	SessionState
	Load
	Reachability
	Health
	delivery commandDelivery
	images   ImageCache
	gone     goneTasks
	ended    endedAttempts
	// unrecorded are the attempts that the newest message lists as alive although the records do
	// not place them here.
	unrecorded []taskAttempt
}

// Machine describes the machine that a worker runs on, as reported in its heartbeats.
type Machine struct {
	Addr            string // host:port at which the worker accepts commands
	Zone            string
	Spot            bool
	MachineTypeName string
	MachineType     *jobs.MachineType // nil while no type of that name is known
}

// SessionState is the state of the communication with a worker: its session, the highest
// fencing token that it has shown, and the lease that its tasks depend on.
type SessionState struct {
	HasReported     bool          // to this process
	Session         uint64        // of its newest heartbeat
	SessionSeenAt   time.Duration // when a message of that session first arrived
	Sequence        uint64        // of its newest heartbeat
	Token           uint64        // highest token that it has shown
	LastHeartbeatAt time.Duration // when its newest heartbeat arrived
	// LeaseRenewedAt is the latest time from which the worker's lease may run: no
	// heartbeat received later was answered so as to renew the lease. See lease.go.
	LeaseRenewedAt time.Duration
	LeaseExpired   bool // the lease expired without a heartbeat; its tasks are considered gone
}

// newestHeartbeat returns the number of the worker's newest heartbeat.
func (s *SessionState) newestHeartbeat() taskstate.MessageNumber {
	return taskstate.MessageNumber{Session: s.Session, Sequence: s.Sequence}
}

// isStale reports whether a heartbeat is no newer than one that was processed already. Such a
// heartbeat was delayed on its way: its task list is outdated, and the worker no longer waits
// for the answer.
func (s *SessionState) isStale(heartbeat *Heartbeat) bool {
	return heartbeat.Session < s.Session ||
		(heartbeat.Session == s.Session && heartbeat.Sequence <= s.Sequence && s.HasReported)
}

// Load describes the tasks on a machine and the resources that they use or that are reserved.
type Load struct {
	Tasks map[*taskstate.Task]bool // placed here
	// FetchingTasks is the number of Tasks whose image has not been reported to be on the
	// machine.
	FetchingTasks int
	UnknownTasks  int             // tasks that the worker lists but the records do not place here
	Used          resource.Vector // by Tasks
	ServiceCPUs   float64         // CPUs used by replicas of services
	Reserved      resource.Vector // for expected gangs
	Hold          Hold            // for overdue work
	IdleSince     time.Duration   // when the last of Tasks was removed, or the worker was added
}

// Hold keeps the room of a machine for overdue work of a job until it suffices. The zero value holds
// nothing.
type Hold struct {
	JobID string
	// MinPriority is the lowest priority of other work that is placed on the machine.
	MinPriority jobs.Priority
}

// IsSet reports whether the machine is held.
func (h Hold) IsSet() bool { return h.JobID != "" }

// Accepts reports whether work of a priority, other than that of the job, is placed on the machine.
func (h Hold) Accepts(priority jobs.Priority) bool { return priority >= h.MinPriority }

// AcceptsJob reports whether tasks of a job are placed on the machine.
func (h Hold) AcceptsJob(jobID string, priority jobs.Priority) bool {
	return h.Accepts(priority) || h.JobID == jobID
}

// forgetTasks removes the tasks of an earlier term. ServiceCPUs is not reset: it only
// influences where placement puts services, and is reset when the machine becomes empty.
func (l *Load) forgetTasks() {
	l.Tasks = map[*taskstate.Task]bool{}
	l.Used, l.UnknownTasks, l.FetchingTasks = resource.Vector{}, 0, 0
}

// isEmpty reports whether there is no task on the machine according to both the records and
// the worker.
func (l *Load) isEmpty() bool { return len(l.Tasks) == 0 && l.UnknownTasks == 0 }

// Reachability is the evidence on whether answers and commands reach a worker. The arrival of
// its heartbeats does not prove that.
type Reachability struct {
	// Unreachable means that the worker's heartbeats arrive but our answers do not reach
	// it. The worker gets no tasks and no answers until it answers a probe.
	Unreachable bool
	// UnacknowledgedHeartbeats counts consecutive heartbeats that do not show the token
	// under which the previous one was answered.
	UnacknowledgedHeartbeats int
	// LostLaunches counts consecutive launches that no heartbeat has listed.
	LostLaunches     int
	unreachableSince time.Duration
	probedAt         time.Duration // when an unreachable worker was last probed
}

// seemsUnreachable reports whether the evidence suffices to consider the worker unreachable.
func (h *Reachability) seemsUnreachable() bool {
	return h.UnacknowledgedHeartbeats >= tuning.UnreachableAfterHeartbeats || h.LostLaunches >= tuning.UnreachableAfterLaunches
}

func (h *Reachability) markUnreachable(now time.Duration) {
	h.Unreachable, h.unreachableSince, h.probedAt = true, now, now
}

func (h *Reachability) markReachable() {
	h.Unreachable, h.UnacknowledgedHeartbeats, h.LostLaunches = false, 0, 0
}

// Health holds the reasons not to place tasks on a worker that is reachable.
type Health struct {
	DrainReason         string          // why it gets no new tasks, "" if it is not drained
	TerminationAt       time.Duration   // when the cloud reclaims the spot machine, 0 without a notice
	RefusesUntil        time.Duration   // it gets no tasks before, since it refused one as full
	ConsecutiveFailures int             // tasks that failed on it since one last completed
	FailedJobs          map[string]bool // IDs of the jobs of those tasks
	lastFailureAt       time.Duration
}

// drain stops new tasks on the worker. It reports whether the worker was not drained before;
// if it was, the first reason is retained.
func (h *Health) drain(reason string) bool {
	if h.DrainReason != "" {
		return false
	}
	h.DrainReason = reason
	return true
}

// recordFailure records that a task of a job has failed on the worker.
func (h *Health) recordFailure(job *taskstate.Job, now time.Duration) {
	h.ConsecutiveFailures++
	h.FailedJobs[job.Spec.ID] = true
	h.lastFailureAt = now
}

// recordSuccess records that a task has completed on the worker. Only a task that was placed after
// the last failure shows that the worker is sound: a faulty one may complete what it had started.
func (h *Health) recordSuccess(task *taskstate.Task) {
	if task.PlacedAt > h.lastFailureAt {
		h.ConsecutiveFailures = 0
		clear(h.FailedJobs)
	}
}

// commandDelivery is the state of the direct messages to a worker.
type commandDelivery struct {
	token        uint64        // highest token that a message to the worker has carried, see Registry.commandToken
	inFlight     bool          // a direct message is in flight, and no other may be sent
	unansweredAt time.Duration // when a direct message last went unanswered
	// taskProbeDue is set when a direct message is due even without commands, for the task
	// list in its answer.
	taskProbeDue       bool
	announcementQueued bool // see Registry.announceQueue
	// pendingHalts are added to the next direct message. They halt the tasks of cancelled
	// jobs in a heartbeat that must not be answered, including tasks that are not in the
	// records.
	pendingHalts []Command
}

// Free returns the resources of the machine that are available to new tasks. It is zero while
// the machine's type is not known or while the worker lists tasks that the records do not place
// here.
func (w *Worker) Free() resource.Vector {
	if w.MachineType == nil || w.UnknownTasks > 0 {
		return resource.Vector{}
	}
	return w.MachineType.Resources().Minus(w.Used)
}

// AddTask adds a task to the machine's load.
func (w *Worker) AddTask(task *taskstate.Task) {
	spec := task.Job.Spec
	w.Tasks[task] = true
	w.Used = w.Used.Plus(spec.Resources())
	if spec.IsService() {
		w.ServiceCPUs += spec.CPUs
	}
	w.UseImage(spec.Image, spec.ImageGB)
}

// RemoveTask removes a task from the machine's load.
func (w *Worker) RemoveTask(task *taskstate.Task) {
	spec := task.Job.Spec
	delete(w.Tasks, task)
	w.Used = w.Used.Minus(spec.Resources())
	if spec.IsService() {
		w.ServiceCPUs -= spec.CPUs
	}
	if len(w.Tasks) == 0 { // clears rounding errors of the floating-point sums
		w.Used, w.ServiceCPUs = resource.Vector{}, 0
	}
}

// HasImage reports whether the machine has, or is fetching, an image.
func (w *Worker) HasImage(image string) bool { return w.images.Contains(image) }

// UseImage records that a task with an image of the given size, in gigabytes, starts on the
// machine.
func (w *Worker) UseImage(image string, sizeGB float64) {
	w.images.Use(image, sizeGB, w.MachineType)
}
