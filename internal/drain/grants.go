package drain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// move is a task, or a gang as a whole, that stands on a closed machine.
type move struct {
	spec            *jobs.Spec
	ref             TaskRef
	runningFor      time.Duration
	destinationZone string // where it has to go
	tasksHere       int    // tasks of it on closed machines, which need room elsewhere
	closedFor       time.Duration
}

// lostCPUSeconds is how much work is lost when it is stopped, in seconds of a processor.
func (m *move) lostCPUSeconds() float64 {
	seconds := m.runningFor.Seconds()
	if m.spec.CheckpointIntervalSeconds > 0 {
		seconds = m.spec.CheckpointSeconds
	}
	return seconds * disturbanceOf(m.spec, m.ref).CPUs
}

// grantMoves lets tasks of the closed machines be stopped, as far as budgets and room go.
func (r *round) grantMoves(drain *Drain) {
	drain.EachMachine(func(page, position int, machine *Machine) {
		if machine.State != MachineClosed {
			return
		}
		r.grantMachine(drain, machine)
		if r.withoutRoom[machine.ID] && machine.Tries < tuning.MaxDrainRentalAttempts && r.stuckFor(machine.ID) > tuning.DrainNoRoomAfter {
			r.editMachine(drain, page, position, "reopened until a machine is rented for its work", reopenMachine)
		}
	})
}

// reopenMachine is the change that has a machine take tasks until there is one more in its
// place. The room of an earlier one has been taken by other work.
func reopenMachine(machine *Machine) {
	machine.State = MachineReplacing
	if machine.Replacement != "" {
		machine.Replacement, machine.Tries = "", machine.Tries+1
	}
}

func (r *round) grantMachine(drain *Drain, machine *Machine) {
	if r.coordinator.cluster.IsGone(machine.ID) {
		return
	}
	info, known := r.coordinator.cluster.Machine(machine.ID)
	if !known {
		r.addWaitReason(drain, "machine %s is not known at present", machine.ID)
		return
	}
	if r.unknownShard >= 0 {
		r.addUnknownReason(drain)
		return
	}
	closed := r.closedMachine(info)
	if closed == nil {
		r.addWaitReason(drain, "machine %s does not report: its tasks count as disturbed until they are proven gone", machine.ID)
		return
	}
	var grant Grant
	moves := r.pendingMoves(machine, info, closed)
	for i := range moves {
		if reason := r.refusal(machine, &moves[i]); reason != "" {
			r.addWaitReason(drain, "%s", reason)
			continue
		}
		if (len(grant.Tasks)+1)*maxTaskRefBytes > r.coordinator.state.MaxValueBytes()-maxMachineBytes || r.operationsLeft <= 0 {
			break // the rest with the next round
		}
		r.reserve(&moves[i])
		grant.Tasks = append(grant.Tasks, moves[i].ref)
	}
	r.noteStuck(machine.ID, len(moves) > 0 && len(grant.Tasks) == 0)
	if len(grant.Tasks) == 0 {
		return
	}
	grant.Machine = machine.ID
	if r.put(GrantKey(drain.ID, r.nextGrantNumber(drain)), 0, grant) {
		r.steps = append(r.steps, step{drainID: drain.ID, machineID: machine.ID, name: stepGranted, grant: &grant})
	}
}

func (r *round) addUnknownReason(drain *Drain) {
	if r.unknownShard >= len(r.coordinator.reports) {
		r.addWaitReason(drain, "a record of a drain does not parse: what it grants is not known")
		return
	}
	r.addWaitReason(drain, "the owner of block %d has not told how its work stands, or knows no drains", r.unknownShard)
}

func (r *round) noteStuck(machine string, stuck bool) {
	if !stuck {
		delete(r.coordinator.stuckSince, machine)
	} else if _, isNoted := r.coordinator.stuckSince[machine]; !isNoted {
		r.coordinator.stuckSince[machine] = r.coordinator.rt.Now()
	}
}

// closedMachine is what its owner reports of a closed machine; nil if it does not.
func (r *round) closedMachine(info MachineInfo) *ClosedMachine {
	report := r.coordinator.reports[info.Shard].report
	i := slices.IndexFunc(report.Machines, func(machine ClosedMachine) bool { return machine.ID == info.ID })
	if i < 0 {
		return nil
	}
	return &report.Machines[i]
}

// nextGrantNumber is a number that no grant of the drain has. One that is used again does no
// harm: a late copy of an earlier grant names attempts that are over.
func (r *round) nextGrantNumber(drain *Drain) uint64 {
	number := uint64(1)
	if taken := drain.grantNumbers(); len(taken) > 0 {
		number = taken[len(taken)-1] + 1
	}
	for slices.ContainsFunc(r.operations, func(operation statestore.Operation) bool { return operation.PutKey == GrantKey(drain.ID, number) }) {
		number++
	}
	return number
}

// pendingMoves lists what has to leave a machine, the cheapest first.
func (r *round) pendingMoves(machine *Machine, info MachineInfo, closed *ClosedMachine) []move {
	closedFor := time.Duration(max(0, r.coordinator.rt.WallClock().UnixMilli()-machine.Since)) * time.Millisecond
	gangs := map[string]bool{}
	var moves []move
	for _, task := range closed.Tasks {
		spec, isOpen := r.coordinator.cluster.Job(task.Job)
		if !isOpen || gangs[task.Job] {
			continue
		}
		next := move{
			spec: spec, ref: TaskRef{Job: task.Job, Index: task.Index, Attempt: task.Attempt},
			runningFor: time.Duration(task.RunsMS) * time.Millisecond, destinationZone: spec.Zone, tasksHere: 1, closedFor: closedFor,
		}
		if spec.SameZone || spec.Spread {
			next.destinationZone = info.Zone
		}
		if spec.IsGang() {
			gangs[task.Job] = true
			next.ref.Index, next.ref.Gang = 0, spec.Tasks
			next.tasksHere = r.countTasksOnClosed(task.Job)
		}
		// A report can be older than what is known of the task: granted by it, one that
		// was done already was granted once more.
		if !r.isGranted(next.ref) && !r.coordinator.isSettled(next.ref) {
			moves = append(moves, next)
		}
	}
	slices.SortStableFunc(moves, func(a, b move) int { return cmp.Compare(a.lostCPUSeconds(), b.lostCPUSeconds()) })
	return moves
}

// countTasksOnClosed counts the tasks of a gang on closed machines.
func (r *round) countTasksOnClosed(job string) int {
	count := 0
	for i := range r.coordinator.reports {
		for _, machine := range r.coordinator.reports[i].report.Machines {
			for _, task := range machine.Tasks {
				if task.Job == job {
					count++
				}
			}
		}
	}
	return count
}

// isGranted tells whether an attempt is granted already.
func (r *round) isGranted(ref TaskRef) bool {
	if r.grantedNow[ref] {
		return true
	}
	return slices.ContainsFunc(r.coordinator.records.grantsOf(ref.Name()), func(h held) bool { return h.ref == ref })
}

// reserve counts a move as granted.
func (r *round) reserve(move *move) {
	r.usage.addGrant(move.spec, move.ref)
	r.usage.movingCPUs += float64(move.tasksHere) * move.spec.CPUs
	if move.ref.Gang == 0 {
		r.usage.replicasDown[move.ref.Job]++
	}
	r.grantedNow[move.ref] = true
}

// refusal is why a move has to wait, "" if it need not.
func (r *round) refusal(machine *Machine, move *move) string {
	remaining := move.spec.EstimateSeconds - move.runningFor.Seconds()
	if wait := r.coordinator.drainSettings.WaitOrDefault() - move.closedFor; wait > 0 && move.runningFor > 0 && !move.spec.IsService() && remaining > 0 && remaining <= wait.Seconds() {
		return fmt.Sprintf("tasks of %s are about to end", move.spec.ID)
	}
	budget := r.coordinator.budgets.ForTeam(move.spec.Team)
	if short := budget.Allows(move.spec.Team, r.usage.team(move.spec.Team), disturbanceOf(move.spec, move.ref)); short != nil {
		return short.String()
	}
	if move.spec.IsService() {
		if short := r.checkReplicas(move, budget); short != nil {
			return short.String()
		}
	}
	return r.checkRoom(machine, move)
}

// checkReplicas tells whether enough replicas of a service would stay up; nil if so.
func (r *round) checkReplicas(move *move, budget Budget) *Shortage {
	up := r.coordinator.cluster.PlacedReplicas(move.ref.Job) - r.usage.replicasDown[move.ref.Job] - 1
	if r.usage.replicasUnknown {
		up = 0
	}
	if up >= budget.ReplicasUp {
		return nil
	}
	return &Shortage{Team: move.spec.Team, Limit: limitReplicasUp, Service: move.spec.ID, Requested: float64(up), Max: float64(budget.ReplicasUp)}
}

// checkRoom is why there is no place for what is moved, "" if there is. That a machine
// might be rented for it is not enough: what the cloud has shows only when it is asked.
// Work of a higher priority goes first, but for the room of the machine's own
// replacement: if it takes that, there is none.
func (r *round) checkRoom(machine *Machine, move *move) string {
	if machine.Replacement == "" && r.coordinator.cluster.HasUrgentWaiting(move.spec.Priority()) {
		return fmt.Sprintf("work of a higher priority than %s waits for room", move.spec.ID)
	}
	room := float64(r.coordinator.cluster.CapacityFor(move.spec, move.destinationZone)) * move.spec.CPUs
	if room-r.usage.movingCPUs+slack >= float64(move.tasksHere)*move.spec.CPUs {
		return ""
	}
	r.withoutRoom[machine.ID] = true
	return fmt.Sprintf("no room for tasks of %s", move.spec.ID)
}
