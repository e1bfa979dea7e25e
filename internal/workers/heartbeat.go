package workers

import "encoding/json"

// Statuses of the answers to heartbeats: what the worker does follows from them (protocol,
// "Workers -> controller nodes").
const (
	statusAnswered = 200 // renews the worker's lease
	statusNotOwner = 503 // the worker tries the next node
)

// HandleHeartbeat takes a worker's heartbeat in and returns the HTTP status and the body of
// its answer. Anything but 200 neither renews the worker's lease nor carries commands.
func (r *Registry) HandleHeartbeat(heartbeat *Heartbeat) (status int, body []byte) {
	token := r.lease.Token()
	if token == 0 || heartbeat.Token > token || r.released[heartbeat.WorkerID] {
		return statusNotOwner, NotOwnerBody
	}
	worker := r.ensureWorker(heartbeat.WorkerID)
	if worker.isStale(heartbeat) {
		return statusNotOwner, NotOwnerBody
	}
	r.noteReporting(worker, heartbeat)
	if heartbeat.Token >= token || heartbeat.Token > worker.Token {
		worker.UnacknowledgedHeartbeats = 0
	} else {
		worker.UnacknowledgedHeartbeats++
	}
	if !r.tasks.IsLoaded() {
		return r.answerWithoutRecords(worker, heartbeat)
	}
	commands := r.reconcileHeartbeat(worker, heartbeat)
	r.detectDeafness(worker)
	worker.delivery.pendingHalts = nil
	outlivesCancellation := r.mayOutliveCancellation(worker, heartbeat)
	if outlivesCancellation {
		// Directly, also for tasks that the records don't have.
		worker.delivery.pendingHalts = r.haltsOfCancelledTasks(heartbeat)
		r.commandsDue[worker] = true
	}
	if worker.Unreachable || outlivesCancellation {
		// Not answered, so that its lease surely runs from the last answer
		// that it can have heard, and its tasks are settled by that.
		return statusNotOwner, NotOwnerBody
	}
	r.renewLease(worker, heartbeat)
	return encodeAnswer(token, commands)
}

// noteReporting notes that a worker reports, and what machine it is on.
func (r *Registry) noteReporting(worker *Worker, heartbeat *Heartbeat) {
	now := r.runtime.Now()
	worker.LastHeartbeatAt = now
	r.ensureZone(heartbeat.Zone).lastHeartbeatAt = now
	if !worker.HasReported || worker.MachineTypeName != heartbeat.MachineType || worker.Addr != heartbeat.Addr {
		r.setMachine(worker, heartbeat)
	}
	if worker.MachineType == nil {
		worker.MachineType = r.scheduler.MachineType(heartbeat.MachineType)
	}
}

func (r *Registry) setMachine(worker *Worker, heartbeat *Heartbeat) {
	worker.HasReported = true
	worker.Machine = Machine{
		Addr: heartbeat.Addr, Zone: heartbeat.Zone, Spot: heartbeat.Spot,
		MachineTypeName: heartbeat.MachineType, MachineType: r.scheduler.MachineType(heartbeat.MachineType),
	}
}

// answerWithoutRecords answers while the task records are still being read: the worker's
// tasks live on, and those of cancelled jobs end.
func (r *Registry) answerWithoutRecords(worker *Worker, heartbeat *Heartbeat) (status int, body []byte) {
	worker.Session, worker.Sequence, worker.Token = heartbeat.Session, heartbeat.Sequence, heartbeat.Token
	if r.mayOutliveCancellation(worker, heartbeat) {
		return statusNotOwner, NotOwnerBody
	}
	r.renewLease(worker, heartbeat)
	return encodeAnswer(r.lease.Token(), r.haltsOfCancelledTasks(heartbeat))
}

func encodeAnswer(token uint64, commands []Command) (status int, body []byte) {
	if commands == nil {
		commands = []Command{}
	}
	body, err := json.Marshal(CommandMessage{Token: token, Commands: commands})
	if err != nil {
		return statusNotOwner, NotOwnerBody
	}
	return statusAnswered, body
}
