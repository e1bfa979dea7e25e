package workers

import "encoding/json"

// HandleHeartbeat takes a worker's report and gives its answer.
func (r *Registry) HandleHeartbeat(heartbeat *Heartbeat) (status int, body []byte) {
	token := r.lease.Token()
	if token == 0 || heartbeat.Token > token || r.released[heartbeat.WorkerID] {
		return 503, NotOwnerBody
	}
	now := r.runtime.Now()
	worker := r.ensureWorker(heartbeat.WorkerID)
	if heartbeat.Session < worker.Session || (heartbeat.Session == worker.Session && heartbeat.Sequence <= worker.Sequence && worker.HasReported) {
		// A report that was held back: its list is old, and nobody waits
		// for its answer.
		return 503, NotOwnerBody
	}
	worker.LastHeartbeatAt = now
	r.ensureZone(heartbeat.Zone).lastHeartbeatAt = now
	if !worker.HasReported || worker.MachineTypeName != heartbeat.MachineType || worker.Addr != heartbeat.Addr {
		worker.HasReported, worker.Addr, worker.MachineTypeName, worker.Zone, worker.Spot = true, heartbeat.Addr, heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot
		worker.MachineType = r.scheduler.MachineType(heartbeat.MachineType)
	}
	if worker.MachineType == nil {
		worker.MachineType = r.scheduler.MachineType(heartbeat.MachineType)
	}
	if heartbeat.Token >= token || heartbeat.Token > worker.Token {
		worker.UnacknowledgedHeartbeats = 0
	} else {
		worker.UnacknowledgedHeartbeats++
	}
	if !r.tasks.IsLoaded() {
		worker.Session, worker.Sequence, worker.Token = heartbeat.Session, heartbeat.Sequence, heartbeat.Token
		if r.mayOutliveCancellation(worker, heartbeat) {
			return 503, NotOwnerBody
		}
		r.renewLease(worker, heartbeat)
		return r.encodeAnswer(token, r.haltsOfCancelledTasks(heartbeat))
	}
	commands := r.reconcile(worker, heartbeat, true)
	r.detectDeafness(worker)
	worker.commands.pendingHalts = nil
	outlivesCancellation := r.mayOutliveCancellation(worker, heartbeat)
	if outlivesCancellation {
		worker.commands.pendingHalts = r.haltsOfCancelledTasks(heartbeat) // they go directly, tasks that the records do not have too
		r.commandsDue[worker] = true
	}
	if worker.Deaf || outlivesCancellation {
		// Not answered, so that its lease surely runs from the last answer
		// that it can have heard, and its tasks are settled by that.
		return 503, NotOwnerBody
	}
	r.renewLease(worker, heartbeat)
	return r.encodeAnswer(token, commands)
}

func (r *Registry) encodeAnswer(token uint64, commands []Command) (int, []byte) {
	if commands == nil {
		commands = []Command{}
	}
	body, err := json.Marshal(CommandMessage{Token: token, Commands: commands})
	if err != nil {
		return 503, NotOwnerBody
	}
	return 200, body
}
