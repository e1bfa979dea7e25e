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

// errNoRoom says that no open machine has room for a task. If nothing else of the machine
// can be granted either, one is rented in its place.
var errNoRoom = errors.New("no room")

// pendingMove is a task, or a gang as a whole, that has to leave a closed machine.
type pendingMove struct {
	spec            *jobs.Spec
	ref             TaskRef
	runningFor      time.Duration // 0 if it has not begun to run
	destinationZone string        // the only zone where it may go, "" for any
	tasksOnClosed   int           // tasks of it on closed machines, which need room elsewhere
	closedFor       time.Duration // how long the machine has been closed
}

// lostCPUSeconds is how much work is lost when it is halted, in seconds of a processor.
func (m *pendingMove) lostCPUSeconds() float64 {
	seconds := m.runningFor.Seconds()
	if m.spec.CheckpointIntervalSeconds > 0 {
		seconds = m.spec.CheckpointSeconds
	}
	return seconds * disturbanceOf(m.spec, m.ref).CPUs
}

// requiredCPUs is the processors of the room that it needs on open machines.
func (m *pendingMove) requiredCPUs() float64 { return float64(m.tasksOnClosed) * m.spec.CPUs }

// isAboutToEnd reports whether it should end so soon that it is waited for, for at most
// maxWait from the closing of the machine on.
func (m *pendingMove) isAboutToEnd(maxWait time.Duration) bool {
	wait := maxWait - m.closedFor
	remainingSeconds := m.spec.EstimateSeconds - m.runningFor.Seconds()
	return wait > 0 && m.runningFor > 0 && !m.spec.IsService() && remainingSeconds > 0 && remainingSeconds <= wait.Seconds()
}

// grantMoves lets tasks of the closed machines be halted, as far as budgets and room go.
func (r *round) grantMoves(drain *Drain) {
	drain.EachMachine(func(position entryPosition, machine *Machine) {
		if machine.State != MachineClosed {
			return
		}
		r.grantMachine(drain, machine)
		if r.withoutRoom[machine.ID] && machine.RentalAttempts < tuning.MaxDrainRentalAttempts && r.stuck.stuckFor(machine.ID) > tuning.DrainNoRoomAfter {
			r.editMachine(drain, position, stepReopened, reopenMachine)
		}
	})
}

// reopenMachine is the edit that has a machine take tasks until there is one more in its
// place. The room of an earlier replacement has been taken by other work.
func reopenMachine(m *Machine) {
	m.State = MachineReplacing
	if m.Replacement != "" {
		m.Replacement, m.RentalAttempts = "", m.RentalAttempts+1
	}
}

// grantMachine grants what may leave a machine now, and notes what the rest waits for.
func (r *round) grantMachine(drain *Drain, machine *Machine) {
	if r.cluster.IsGone(machine.ID) {
		return
	}
	info, isKnown := r.cluster.Machine(machine.ID)
	if !isKnown {
		r.addWaitReason(drain, unknownMachineReason(machine))
		return
	}
	if reason := r.missingKnowledge(); reason != "" {
		r.addWaitReason(drain, reason)
		return
	}
	closed := r.reports.closedMachine(info.Shard, info.ID)
	if closed == nil {
		r.addWaitReason(drain, fmt.Sprintf("machine %s does not report: its tasks count as disturbed until they are proven gone", machine.ID))
		return
	}
	moves := r.pendingMoves(machine, info, closed)
	granted := r.grantableMoves(drain, machine, moves)
	r.stuck.note(machine.ID, len(moves) > 0 && len(granted) == 0)
	if len(granted) == 0 {
		return
	}
	grant := Grant{Machine: machine.ID, Tasks: granted}
	if r.changes.put(GrantKey(drain.ID, r.nextGrantNumber(drain)), 0, grant) {
		r.steps = append(r.steps, drainStep{drainID: drain.ID, machineID: machine.ID, name: stepGranted, grant: &grant})
	}
}

// grantableMoves reserves the budget and room for those of the moves that may happen now,
// and notes what the others wait for. What does not fit into one record is left to the
// next round.
func (r *round) grantableMoves(drain *Drain, machine *Machine, moves []pendingMove) []TaskRef {
	var granted []TaskRef
	for i := range moves {
		if err := r.refusal(machine, &moves[i]); err != nil {
			if errors.Is(err, errNoRoom) {
				r.withoutRoom[machine.ID] = true
			}
			r.addWaitReason(drain, err.Error())
			continue
		}
		if (len(granted)+1)*maxTaskRefBytes > r.state.MaxValueBytes()-maxMachineBytes || r.changes.capacity <= 0 {
			break
		}
		r.reserve(&moves[i])
		granted = append(granted, moves[i].ref)
	}
	return granted
}

// missingKnowledge is why nothing can be granted to any drain, "" if something can.
func (r *round) missingKnowledge() string {
	if r.hasUnreadableRecord {
		return "a record of a drain does not parse: what it grants is not known"
	}
	if r.shardWithoutReport != noShard {
		return fmt.Sprintf("the owner of block %d has not told how its work stands, or knows no drains", r.shardWithoutReport)
	}
	return ""
}

// nextGrantNumber is a number that no grant of the drain has. One that is used again does
// no harm: a late copy of an earlier grant names attempts that are over.
func (r *round) nextGrantNumber(drain *Drain) uint64 {
	number := uint64(1)
	if taken := drain.grantNumbers(); len(taken) > 0 {
		number = taken[len(taken)-1] + 1
	}
	for r.changes.puts(GrantKey(drain.ID, number)) {
		number++
	}
	return number
}

// pendingMoves lists what has to leave a machine and is not granted, the cheapest first.
func (r *round) pendingMoves(machine *Machine, info MachineInfo, closed *ClosedMachine) []pendingMove {
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
		// A report can be older than what is known of the task: granted by it, one that
		// was done already was granted once more.
		if !r.isGranted(next.ref) && !r.disturbances.isSettled(next.ref) {
			moves = append(moves, next)
		}
	}
	slices.SortStableFunc(moves, func(a, b pendingMove) int { return cmp.Compare(a.lostCPUSeconds(), b.lostCPUSeconds()) })
	return moves
}

// isGranted reports whether an attempt is granted already.
func (r *round) isGranted(ref TaskRef) bool {
	return r.grantedNow[ref] || slices.Contains(r.records.grantsOf(ref.Name()), ref)
}

// reserve counts a move as granted.
func (r *round) reserve(move *pendingMove) {
	r.usage.addGrant(move.spec, move.ref)
	r.usage.movingCPUs += move.requiredCPUs()
	if move.ref.Gang == 0 {
		r.usage.replicasDown[move.ref.Job]++
	}
	r.grantedNow[move.ref] = true
}

// refusal is why a move has to wait, nil if it need not. The texts are for operators.
func (r *round) refusal(machine *Machine, move *pendingMove) error {
	if move.isAboutToEnd(r.settings.WaitOrDefault()) {
		return fmt.Errorf("tasks of %s are about to end", move.spec.ID)
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

// checkReplicas returns a *ShortageError if too few replicas of a service would stay up.
func (r *round) checkReplicas(move *pendingMove, budget Budget) error {
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

// checkRoom returns why there is no place for what is moved, nil if there is. That a
// machine might be rented for it is not enough: what the cloud has shows only when it is
// asked. Work of a higher priority goes first, but for the room of the machine's own
// replacement: if it takes that, there is none.
func (r *round) checkRoom(machine *Machine, move *pendingMove) error {
	if machine.Replacement == "" && r.cluster.HasUrgentWaiting(move.spec.Priority()) {
		return fmt.Errorf("work of a higher priority than %s waits for room", move.spec.ID)
	}
	availableCPUs := float64(r.cluster.CapacityFor(move.spec, move.destinationZone)) * move.spec.CPUs
	if availableCPUs-r.usage.movingCPUs+resource.Epsilon >= move.requiredCPUs() {
		return nil
	}
	return fmt.Errorf("%w for tasks of %s", errNoRoom, move.spec.ID)
}
