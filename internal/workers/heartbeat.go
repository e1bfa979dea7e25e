package workers

import "encoding/json"

// Statuses of the answers to heartbeats, which determine what the worker does next (protocol,
// "Workers -> controller nodes").
const (
	statusAnswered = 200 // renews the worker's lease
	statusNotOwner = 503 // the worker tries the next node
)

// HandleHeartbeat processes a worker's heartbeat and returns the HTTP status and the body of
// the answer. Only an answer with status 200 renews the worker's lease and carries commands.
func (r *Registry) HandleHeartbeat(heartbeat *Heartbeat) (status int, body []byte) {
	token := r.lease.Token()
	if token == 0 || heartbeat.Token > r.lease.NewestToken() || r.released[heartbeat.WorkerID] {
		return statusNotOwner, NotOwnerBody
	}
	worker := r.ensureWorker(heartbeat.WorkerID)
	if worker.isStale(heartbeat) {
		return statusNotOwner, NotOwnerBody
	}
	r.recordHeartbeat(worker, heartbeat)
	if heartbeat.Token >= token || heartbeat.Token > worker.Token {
		worker.UnacknowledgedHeartbeats = 0
	} else {
		worker.UnacknowledgedHeartbeats++
	}
	if !r.tasks.IsLoaded() {
		return r.answerWithoutRecords(worker, heartbeat)
	}
	commands := r.reconcileHeartbeat(worker, heartbeat)
	r.detectUnreachable(worker)
	worker.delivery.pendingHalts = nil
	outlivesCancellation := r.mayOutliveCancellation(worker, heartbeat)
	if outlivesCancellation {
		// Halt them by a direct message, including tasks that are not in the records.
		worker.delivery.pendingHalts = r.haltsOfCancelledTasks(heartbeat)
		r.commandsDue[worker] = true
	}
	if worker.Unreachable || outlivesCancellation {
		// Not answered, so that the worker's lease cannot run from later than the last
		// answer that it may have received. The expiry of that lease proves its tasks gone.
		return statusNotOwner, NotOwnerBody
	}
	r.renewLease(worker, heartbeat)
	return r.encodeAnswer(worker, commands)
}

// recordHeartbeat records the arrival of a worker's heartbeat and the machine it describes.
func (r *Registry) recordHeartbeat(worker *Worker, heartbeat *Heartbeat) {
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

// answerWithoutRecords answers a heartbeat while the task records are still being read. The
// answer renews the worker's lease and halts tasks of cancelled jobs.
func (r *Registry) answerWithoutRecords(worker *Worker, heartbeat *Heartbeat) (status int, body []byte) {
	r.observeSession(worker, heartbeat.Session)
	worker.Sequence, worker.Token = heartbeat.Sequence, max(worker.Token, heartbeat.Token)
	if r.mayOutliveCancellation(worker, heartbeat) {
		return statusNotOwner, NotOwnerBody
	}
	r.renewLease(worker, heartbeat)
	return r.encodeAnswer(worker, r.haltsOfCancelledTasks(heartbeat))
}

// encodeAnswer returns the status and the body of an answer that renews the worker's lease and
// carries commands.
func (r *Registry) encodeAnswer(worker *Worker, commands []Command) (status int, body []byte) {
	if commands == nil {
		commands = []Command{}
	}
	body, err := json.Marshal(CommandMessage{Token: r.commandToken(worker), Commands: r.withoutUnsafeForgets(worker, commands)})
	if err != nil {
		return statusNotOwner, NotOwnerBody
	}
	return statusAnswered, body
}
