package drain

import (
	"cmp"
	"fmt"
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// advance adds a drain's next steps to the pass.
func (r *reconcilePass) advance(drain *Drain) {
	r.removeSettledGrants(drain)
	if !drain.Head.Phase.Active() {
		return
	}
	remaining := r.markReleasedMachines(drain)
	if remaining == 0 && len(drain.Grants) == 0 {
		r.finish(drain)
		return
	}
	if drain.Head.Phase == PhasePaused {
		r.addWaitReason(drain, "paused by an operator")
		return
	}
	r.advanceReplacements(drain)
	r.closeNextMachines(drain)
	r.grantMoves(drain)
}

// removeSettledGrants removes the grants of which no task is disturbed any longer.
func (r *reconcilePass) removeSettledGrants(drain *Drain) {
	for _, number := range drain.grantNumbers() {
		grant := drain.Grants[number]
		conditions, isSettled := r.removalConditions(drain, grant)
		if isSettled && r.changes.remove(GrantKey(drain.ID, number), grant.Revision) {
			for _, condition := range conditions {
				r.changes.require(condition)
			}
		}
	}
}

// removalConditions reports whether no task of a grant is disturbed any longer, and returns
// the conditions for the commit that removes the grant. A task of a cancelled drain that was
// never halted counts as undisturbed only on condition that the owner that reported it still
// holds the shard: another owner might not know of the cancellation and halt the task.
func (r *reconcilePass) removalConditions(drain *Drain, grant *StoredGrant) (conditions []statestore.Condition, isSettled bool) {
	for _, ref := range grant.Tasks {
		if r.disturbances.isSettled(ref) {
			continue
		}
		shardIndex, token, isUntouched := r.reports.shardReportingUntouched(ref)
		if !isUntouched || drain.Head.Phase != PhaseCancelled {
			return nil, false
		}
		condition := statestore.Condition{Key: r.cluster.ShardKey(shardIndex), Revision: token}
		if !slices.Contains(conditions, condition) {
			conditions = append(conditions, condition)
		}
	}
	return conditions, true
}

// markReleasedMachines marks the machines that no longer exist as released and returns the
// number of the others.
func (r *reconcilePass) markReleasedMachines(drain *Drain) (remaining int) {
	drain.EachMachine(func(position entryPosition, machine *Machine) {
		if machine.State == MachineReleased {
			return
		}
		if r.cluster.IsGone(machine.ID) && r.editMachine(drain, position, stepReleased, func(m *Machine) { m.State = MachineReleased }) {
			return
		}
		remaining++
	})
	return remaining
}

// finish sets the phase of a drain whose machines are all released to PhaseDone.
func (r *reconcilePass) finish(drain *Drain) {
	head := drain.Head
	head.Phase, head.EndedAtMS, head.Released = PhaseDone, r.rt.WallClock().UnixMilli(), head.Machines
	if r.changes.put(HeadKey(drain.ID), drain.Revision, head) {
		r.steps = append(r.steps, drainStep{drainID: drain.ID, name: stepDone})
	}
}

// rentalName returns the name under which a machine's replacement is requested. It is
// unique to the drain, the machine and the attempt: the creation time distinguishes drains
// with the same ID.
func rentalName(drain *Drain, machine *Machine) string {
	return fmt.Sprintf("drain-%s-%d-%s-%d", drain.ID, drain.Head.CreatedAtMS, machine.ID, machine.RentalAttempts)
}

// advanceReplacements requests the replacements and closes each machine whose replacement
// is up. A replacement that is lost is requested again.
func (r *reconcilePass) advanceReplacements(drain *Drain) {
	drain.EachMachine(func(position entryPosition, machine *Machine) {
		if machine.State != MachineReplacing || r.cluster.IsGone(machine.ID) {
			return
		}
		if machine.Replacement == "" {
			r.rentReplacement(drain, position, machine)
			return
		}
		info, isKnown := r.cluster.Machine(machine.Replacement)
		switch {
		case isKnown && info.HasReported && info.AcceptsTasks:
			r.editMachine(drain, position, stepClosed, r.closeMachine)
		case r.cluster.IsGone(machine.Replacement):
			r.editMachine(drain, position, stepReplacementLost, func(m *Machine) { m.Replacement, m.RentalAttempts = "", m.RentalAttempts+1 })
		default:
			r.addWaitReason(drain, fmt.Sprintf("replacement %s for machine %s is not up yet or does not accept tasks: machine %s stays open", machine.Replacement, machine.ID, machine.ID))
		}
	})
}

// rentReplacement requests a machine's replacement, or looks up the outcome of the request,
// and records the replacement once its ID is known.
func (r *reconcilePass) rentReplacement(drain *Drain, position entryPosition, machine *Machine) {
	info, isKnown := r.cluster.Machine(machine.ID)
	if !isKnown {
		r.addWaitReason(drain, missingMachineReason(machine))
		return
	}
	replacement, isKnown := r.cluster.RentMachine(rentalName(drain, machine), info)
	if !isKnown {
		r.addWaitReason(drain, fmt.Sprintf("no replacement for machine %s yet: the cloud has not given one", machine.ID))
		return
	}
	r.editMachine(drain, position, stepReplacementRented, func(m *Machine) { m.Replacement = replacement })
}

// missingMachineReason returns the wait reason for a machine that the cluster does not list,
// though it is not known to be gone.
func missingMachineReason(machine *Machine) string {
	return fmt.Sprintf("the leader has no information on machine %s at present: its drain does not proceed", machine.ID)
}

// closeMachine is the edit of a machine's entry that closes the machine to new tasks.
func (r *reconcilePass) closeMachine(m *Machine) {
	m.State, m.ClosedAtMS = MachineClosed, r.rt.WallClock().UnixMilli()
}

// candidate is a waiting machine that can be drained next.
type candidate struct {
	position   entryPosition
	machine    MachineInfo
	placedCPUs float64 // processors of the tasks placed on it
}

// closeNextMachines starts to drain the next machines, up to the configured number at
// once: of one zone at a time, and within it those first whose tasks use the fewest
// processors.
func (r *reconcilePass) closeNextMachines(drain *Drain) {
	inProgress, zone, waiting := r.countMachines(drain)
	maxInProgress := r.settings.MachinesAtOnceOrDefault()
	if waiting == 0 || inProgress >= maxInProgress {
		return
	}
	// A drain that rents replacements first takes no capacity away, so it need not wait. It
	// would never begin where urgent work always waits for room.
	if !drain.Head.Replace && r.cluster.HasUrgentWaiting(jobs.PriorityStandard) {
		r.addWaitReason(drain, "urgent work waits for room: no further machine is closed")
		return
	}
	candidates := r.candidates(drain)
	if zone == "" && len(candidates) > 0 {
		zone = candidates[0].machine.Zone
	}
	for _, next := range candidates {
		if next.machine.Zone != zone || inProgress >= maxInProgress {
			continue
		}
		if !r.startMachine(drain, next) {
			return
		}
		inProgress++
	}
}

// countMachines returns how many machines are being emptied, the zone that they are in, and
// how many machines wait for their turn. Stuck machines do not count as being emptied, up
// to DrainStuckFactor-1 times the configured number of machines at once.
func (r *reconcilePass) countMachines(drain *Drain) (inProgress int, zone string, waiting int) {
	stuck := 0
	drain.EachMachine(func(_ entryPosition, machine *Machine) {
		switch machine.State {
		case MachineWaiting:
			waiting++
		case MachineReplacing, MachineClosed:
			if r.stuck.isStuck(machine.ID) {
				stuck++
				return
			}
			inProgress++
			if info, isKnown := r.cluster.Machine(machine.ID); isKnown {
				zone = info.Zone
			}
		case MachineReleased:
		}
	})
	maxStuck := r.settings.MachinesAtOnceOrDefault() * (tuning.DrainStuckFactor - 1)
	return max(inProgress, inProgress+stuck-maxStuck), zone, waiting
}

// candidates returns the waiting machines whose workers send heartbeats, sorted by zone,
// placed processors and ID.
func (r *reconcilePass) candidates(drain *Drain) []candidate {
	var candidates []candidate
	drain.EachMachine(func(position entryPosition, machine *Machine) {
		if machine.State != MachineWaiting {
			return
		}
		if info, isKnown := r.cluster.Machine(machine.ID); isKnown && info.HasReported {
			candidates = append(candidates, candidate{position, info, r.cluster.CPUsPlacedOn(machine.ID)})
		}
	})
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.machine.Zone, b.machine.Zone), cmp.Compare(a.placedCPUs, b.placedCPUs), cmp.Compare(a.machine.ID, b.machine.ID))
	})
	return candidates
}

// startMachine starts to drain a machine: it closes the machine, or marks it to be replaced
// first. It returns false if the commit has no room for the edit.
func (r *reconcilePass) startMachine(drain *Drain, next candidate) bool {
	if drain.Head.Replace {
		return r.editMachine(drain, next.position, stepReplacing, func(m *Machine) { m.State = MachineReplacing })
	}
	return r.editMachine(drain, next.position, stepClosed, r.closeMachine)
}

// collectGarbage removes the pages of ended drains that have no grants left and of requests
// that were never accepted, and the heads of the oldest ended drains beyond
// MaxFinishedDrains.
func (r *reconcilePass) collectGarbage() {
	var ended []*Drain
	for _, drain := range r.records.drains {
		isAbandoned := !drain.isAccepted() && !r.requests.isCommitting()
		isEnded := drain.isAccepted() && !drain.Head.Phase.Active()
		if isAbandoned || (isEnded && len(drain.Grants) == 0) {
			for number, page := range drain.Pages {
				r.changes.remove(PageKey(drain.ID, number), page.Revision)
			}
		}
		if isEnded && len(drain.Pages)+len(drain.Grants) == 0 {
			ended = append(ended, drain)
		}
	}
	slices.SortFunc(ended, func(a, b *Drain) int { return cmp.Compare(a.Head.EndedAtMS, b.Head.EndedAtMS) })
	for _, drain := range ended[:max(0, len(ended)-tuning.MaxFinishedDrains)] {
		r.changes.remove(HeadKey(drain.ID), drain.Revision)
	}
}
