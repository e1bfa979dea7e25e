package drain

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/tuning"
)

// errNoRoom reports that no open machine has room for a task. If no other task of the closed
// machine can be granted either, a machine is rented in its place.
var errNoRoom = errors.New("no room")

// pendingMove is a task, or a gang as a whole, that has to leave a closed machine and is not
// granted yet.
type pendingMove struct {
	spec            *jobs.Spec
	ref             TaskRef
	runningFor      time.Duration // 0 if it does not run yet
	destinationZone string        // the only zone that it may move to, "" for any
	tasksOnClosed   int           // its tasks on closed machines, which need room elsewhere
	closedFor       time.Duration // how long the machine has been closed
}

// lostCPUSeconds estimates the work that is lost when the task or gang is halted, in processor
// seconds: the time since its start, or that of a checkpoint if it writes any.
func (m *pendingMove) lostCPUSeconds() float64 {
	seconds := m.runningFor.Seconds()
	if m.spec.CheckpointIntervalSeconds > 0 {
		seconds = m.spec.CheckpointSeconds
	}
	return seconds * disturbanceOf(m.spec, m.ref).CPUs
}

// requiredCPUs returns the number of processors that the move needs on open machines.
func (m *pendingMove) requiredCPUs() float64 { return float64(m.tasksOnClosed) * m.spec.CPUs }

// isAboutToEnd reports whether the task is expected to end within maxWait of the closing of
// its machine, so that the drain waits for its end instead of halting it.
func (m *pendingMove) isAboutToEnd(maxWait time.Duration) bool {
	remainingWait := maxWait - m.closedFor
	remainingSeconds := m.spec.EstimateSeconds - m.runningFor.Seconds()
	return remainingWait > 0 && m.runningFor > 0 && !m.spec.IsService() && remainingSeconds > 0 && remainingSeconds <= remainingWait.Seconds()
}

// grantMoves grants moves off the drain's closed machines, within the limits of budgets and
// room. A machine that has had no room for its tasks for DrainNoRoomAfter is reopened.
func (r *reconcilePass) grantMoves(drain *Drain) {
	drain.EachMachine(func(position entryPosition, machine *Machine) {
		if machine.State != MachineClosed {
			return
		}
		r.grantMachine(drain, machine)
		if r.machinesWithoutRoom[machine.ID] && machine.RentalAttempts < tuning.MaxDrainRentalAttempts && r.stuck.stuckFor(machine.ID) > tuning.DrainNoRoomAfter {
			r.editMachine(drain, position, stepReopened, reopenMachine)
		}
	})
}

// reopenMachine is the edit of a machine's entry that opens the machine to new tasks until a
// replacement is up. An earlier replacement is dropped, since other work has used up its
// room.
func reopenMachine(m *Machine) {
	m.State = MachineReplacing
	if m.Replacement != "" {
		m.Replacement, m.RentalAttempts = "", m.RentalAttempts+1
	}
}

// grantMachine grants the moves off a machine that are allowed now and records the wait
// reasons of the others.
func (r *reconcilePass) grantMachine(drain *Drain, machine *Machine) {
	if r.cluster.IsGone(machine.ID) {
		return
	}
	info, isKnown := r.cluster.Machine(machine.ID)
	if !isKnown {
		r.addWaitReason(drain, missingMachineReason(machine))
		return
	}
	if reason := r.grantBlocker(); reason != "" {
		r.addWaitReason(drain, reason)
		return
	}
	closed := r.reports.closedMachine(info.Shard, info.ID)
	if closed == nil {
		r.addWaitReason(drain, fmt.Sprintf("machine %s is missing from the drain report of shard %d: nothing more is granted on it, and without heartbeats its tasks count as disturbed until they are proven gone", machine.ID, info.Shard))
		return
	}
	moves := r.pendingMoves(machine, info, closed)
	granted := r.grantableMoves(drain, machine, moves)
	r.stuck.update(machine.ID, len(moves) > 0 && len(granted) == 0)
	if len(granted) == 0 {
		return
	}
	grant := Grant{Machine: machine.ID, Tasks: granted}
	if r.changes.put(GrantKey(drain.ID, r.unusedGrantNumber(drain)), 0, grant) {
		r.steps = append(r.steps, drainStep{drainID: drain.ID, machineID: machine.ID, name: stepGranted, grant: &grant})
	}
}

// grantableMoves returns the moves that are allowed now, reserves budget and room for them,
// and records the wait reasons of the others. Moves that do not fit into one record are
// left to the next pass.
func (r *reconcilePass) grantableMoves(drain *Drain, machine *Machine, moves []pendingMove) []TaskRef {
	var granted []TaskRef
	for index := range moves {
		move := &moves[index]
		if err := r.checkMove(machine, move); err != nil {
			if errors.Is(err, errNoRoom) {
				r.machinesWithoutRoom[machine.ID] = true
			}
			r.addWaitReason(drain, err.Error())
			continue
		}
		if (len(granted)+1)*maxTaskRefBytes > r.state.MaxValueBytes()-maxMachineBytes || r.changes.capacity <= 0 {
			break
		}
		r.reserve(move)
		granted = append(granted, move.ref)
	}
	return granted
}

// grantBlocker returns the reason why no drain may be granted anything, "" if there is none.
func (r *reconcilePass) grantBlocker() string {
	if r.hasUnreadableRecord {
		return "a record of a drain cannot be decoded, so its grants are unknown: nothing is granted to any drain"
	}
	if r.shardWithoutReport != noShard {
		return fmt.Sprintf("the owner of shard %d has sent no current drain report (drains may be off in its settings): nothing is granted to any drain", r.shardWithoutReport)
	}
	return ""
}

// unusedGrantNumber returns a number that no grant of the drain has now. The number of a
// removed grant may be reused: a node that still sees the removed grant finds only attempts
// in it that have ended.
func (r *reconcilePass) unusedGrantNumber(drain *Drain) uint64 {
	number := uint64(1)
	if usedNumbers := drain.grantNumbers(); len(usedNumbers) > 0 {
		number = usedNumbers[len(usedNumbers)-1] + 1
	}
	for r.changes.puts(GrantKey(drain.ID, number)) {
		number++
	}
	return number
}

// pendingMoves lists the moves off a machine that are not granted yet, those that lose the
// least work first.
func (r *reconcilePass) pendingMoves(machine *Machine, info MachineInfo, closed *ClosedMachine) []pendingMove {
	closedFor := time.Duration(max(0, r.rt.WallClock().UnixMilli()-machine.ClosedAtMS)) * time.Millisecond
	gangs := map[string]bool{}
	var moves []pendingMove
	for _, task := range closed.Tasks {
		spec, isOpen := r.cluster.Job(task.Job)
		if !isOpen || gangs[task.Job] {
			continue
		}
		next := pendingMove{
			spec: spec, ref: TaskRef{Job: task.Job, Index: task.Index, Attempt: task.Attempt},
			runningFor: time.Duration(task.RunningMS) * time.Millisecond, destinationZone: spec.Zone, tasksOnClosed: 1, closedFor: closedFor,
		}
		if spec.SameZone || spec.Spread {
			next.destinationZone = info.Zone
		}
		if spec.IsGang() {
			gangs[task.Job] = true
			next.ref.Index, next.ref.Gang = 0, spec.Tasks
			next.tasksOnClosed = r.reports.tasksOnClosedMachines(task.Job)
		}
		// The report may be older than the task's recorded status. Without the second check
		// a task that is already done would be granted again.
		if !r.isGranted(next.ref) && !r.disturbances.isSettled(next.ref) {
			moves = append(moves, next)
		}
	}
	slices.SortStableFunc(moves, func(a, b pendingMove) int { return cmp.Compare(a.lostCPUSeconds(), b.lostCPUSeconds()) })
	return moves
}

// isGranted reports whether an attempt is granted, by the records or by this pass.
func (r *reconcilePass) isGranted(ref TaskRef) bool {
	return r.grantedInPass[ref] || slices.Contains(r.records.grantsOf(ref.Name()), ref)
}

// reserve adds a granted move to the usage of budgets and room.
func (r *reconcilePass) reserve(move *pendingMove) {
	r.usage.addGrant(move.spec, move.ref)
	r.usage.movingCPUs += move.requiredCPUs()
	if move.ref.Gang == 0 {
		r.usage.replicasDown[move.ref.Job]++
	}
	r.grantedInPass[move.ref] = true
}

// checkMove returns why a move has to wait, nil if it may be granted now. Operators read the
// error texts.
func (r *reconcilePass) checkMove(machine *Machine, move *pendingMove) error {
	if move.isAboutToEnd(r.settings.WaitOrDefault()) {
		return fmt.Errorf("tasks of job %s are expected to end soon: they are not halted yet", move.spec.ID)
	}
	team := move.spec.Team
	budget := r.budgets.ForTeam(team)
	if err := budget.Allows(team, r.usage.team(team), disturbanceOf(move.spec, move.ref)); err != nil {
		return err
	}
	if move.spec.IsService() {
		if err := r.checkReplicas(move, budget); err != nil {
			return err
		}
	}
	return r.checkRoom(machine, move)
}

// checkReplicas returns a *ShortageError if the move leaves fewer replicas of the service up
// than the budget demands.
func (r *reconcilePass) checkReplicas(move *pendingMove, budget Budget) error {
	replicasUp := r.cluster.PlacedReplicas(move.ref.Job) - r.usage.replicasDown[move.ref.Job] - 1
	if r.usage.replicasUnknown {
		replicasUp = 0
	}
	if replicasUp >= budget.ReplicasUp {
		return nil
	}
	return &ShortageError{
		Team: move.spec.Team, Limit: limitReplicasUp, Service: move.spec.ID,
		Requested: float64(replicasUp), Max: float64(budget.ReplicasUp),
	}
}

// checkRoom returns an error if the open machines have no room for the moved tasks. Machines
// that might still be rented do not count, because the cloud's capacity is unknown until a
// machine is requested. Waiting work of a higher priority has precedence, except for the
// room of the machine's own replacement; if such work occupies that, the capacity check
// finds no room.
func (r *reconcilePass) checkRoom(machine *Machine, move *pendingMove) error {
	if machine.Replacement == "" && r.cluster.HasUrgentWaiting(move.spec.Priority()) {
		return fmt.Errorf("tasks of job %s are not moved while work of a higher priority waits for room", move.spec.ID)
	}
	availableCPUs := float64(r.cluster.CapacityFor(move.spec, move.destinationZone)) * move.spec.CPUs
	if availableCPUs-r.usage.movingCPUs+resource.Epsilon >= move.requiredCPUs() {
		return nil
	}
	return fmt.Errorf("%w for tasks of job %s on the open machines that they may move to", errNoRoom, move.spec.ID)
}
