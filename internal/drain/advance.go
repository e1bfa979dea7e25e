package drain

import (
	"cmp"
	"fmt"
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// advance takes a drain's next steps.
func (r *round) advance(drain *Drain) {
	r.removeSettledGrants(drain)
	if !drain.Head.Phase.Active() {
		return
	}
	machinesLeft := r.markReleasedMachines(drain)
	if machinesLeft == 0 && len(drain.Grants) == 0 {
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

// removeSettledGrants removes the grants all of whose tasks are disturbed no more.
func (r *round) removeSettledGrants(drain *Drain) {
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

// removalConditions reports whether all tasks of a grant are disturbed no more, and what
// must still hold when the grant's removal is committed. A task of a cancelled drain that
// was never halted counts only if its owner still holds the shard then: another owner might
// halt it, not knowing that the drain was cancelled.
func (r *round) removalConditions(drain *Drain, grant *StoredGrant) (conditions []statestore.Condition, isSettled bool) {
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

// markReleasedMachines notes the machines that are gone, and counts the others.
func (r *round) markReleasedMachines(drain *Drain) (machinesLeft int) {
	drain.EachMachine(func(position entryPosition, machine *Machine) {
		if machine.State == MachineReleased {
			return
		}
		if r.cluster.IsGone(machine.ID) && r.editMachine(drain, position, stepReleased, func(m *Machine) { m.State = MachineReleased }) {
			return
		}
		machinesLeft++
	})
	return machinesLeft
}

// finish ends a drain all of whose machines are gone.
func (r *round) finish(drain *Drain) {
	head := drain.Head
	head.Phase, head.EndedAtMS, head.Released = PhaseDone, r.rt.WallClock().UnixMilli(), head.Machines
	if r.changes.put(HeadKey(drain.ID), drain.Revision, head) {
		r.steps = append(r.steps, drainStep{drainID: drain.ID, name: stepDone})
	}
}

// rentalName names the request for a machine's replacement. It is never used for
// another one: the time of creation tells drains of the same name apart.
func rentalName(drain *Drain, machine *Machine) string {
	return fmt.Sprintf("drain-%s-%d-%s-%d", drain.ID, drain.Head.CreatedAtMS, machine.ID, machine.RentalAttempts)
}

// advanceReplacements follows the replacements from the request until they are up.
func (r *round) advanceReplacements(drain *Drain) {
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
			r.addWaitReason(drain, fmt.Sprintf("replacement %s of %s is booting", machine.Replacement, machine.ID))
		}
	})
}

func (r *round) rentReplacement(drain *Drain, position entryPosition, machine *Machine) {
	info, isKnown := r.cluster.Machine(machine.ID)
	if !isKnown {
		r.addWaitReason(drain, unknownMachineReason(machine))
		return
	}
	replacement, isKnown := r.cluster.RentMachine(rentalName(drain, machine), info)
	if !isKnown {
		r.addWaitReason(drain, fmt.Sprintf("no replacement for %s yet: the cloud has not given one", machine.ID))
		return
	}
	r.editMachine(drain, position, stepReplacementRented, func(m *Machine) { m.Replacement = replacement })
}

func unknownMachineReason(machine *Machine) string {
	return fmt.Sprintf("machine %s is not known at present", machine.ID)
}

// closeMachine is the edit that closes a machine to new work.
func (r *round) closeMachine(m *Machine) {
	m.State, m.ClosedAtMS = MachineClosed, r.rt.WallClock().UnixMilli()
}

// candidate is a machine that could be the next to be drained.
type candidate struct {
	position   entryPosition
	info       MachineInfo
	placedCPUs float64 // processors of the tasks on it
}

// closeNextMachines picks the next machines: of one zone at a time, those first on which
// the least runs.
func (r *round) closeNextMachines(drain *Drain) {
	inProgress, zone, waiting := r.countMachines(drain)
	maxInProgress := r.settings.MachinesAtOnceOrDefault()
	if waiting == 0 || inProgress >= maxInProgress {
		return
	}
	// With a replacement first no room is taken away. Where urgent work always waits for
	// some, a drain would never begin otherwise.
	if !drain.Head.Replace && r.cluster.HasUrgentWaiting(jobs.PriorityStandard) {
		r.addWaitReason(drain, "urgent work waits for room: no further machine is closed")
		return
	}
	candidates := r.candidates(drain)
	if zone == "" && len(candidates) > 0 {
		zone = candidates[0].info.Zone
	}
	for _, next := range candidates {
		if next.info.Zone != zone || inProgress >= maxInProgress {
			continue
		}
		if !r.beginMachine(drain, next) {
			return
		}
		inProgress++
	}
}

// countMachines counts the machines that are being emptied and those that wait for it, and
// tells in which zone the former are. A machine that is stuck does not count as being
// emptied, as long as few are stuck.
func (r *round) countMachines(drain *Drain) (inProgress int, zone string, waiting int) {
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

// candidates lists the machines that could be the next, in the order in which they are
// taken.
func (r *round) candidates(drain *Drain) []candidate {
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
		return cmp.Or(cmp.Compare(a.info.Zone, b.info.Zone), cmp.Compare(a.placedCPUs, b.placedCPUs), cmp.Compare(a.info.ID, b.info.ID))
	})
	return candidates
}

// beginMachine takes a machine in hand.
func (r *round) beginMachine(drain *Drain, next candidate) bool {
	if drain.Head.Replace {
		return r.editMachine(drain, next.position, stepReplacing, func(m *Machine) { m.State = MachineReplacing })
	}
	return r.editMachine(drain, next.position, stepClosed, r.closeMachine)
}

// collectGarbage removes what is left of drains that are over, and of requests that were
// never accepted.
func (r *round) collectGarbage() {
	var ended []*Drain
	for _, drain := range r.records.drains {
		isAbandoned := !drain.isAccepted() && !r.requests.isCommitting()
		isOver := drain.isAccepted() && !drain.Head.Phase.Active()
		if isAbandoned || (isOver && len(drain.Grants) == 0) {
			for number, page := range drain.Pages {
				r.changes.remove(PageKey(drain.ID, number), page.Revision)
			}
		}
		if isOver && len(drain.Pages)+len(drain.Grants) == 0 {
			ended = append(ended, drain)
		}
	}
	slices.SortFunc(ended, func(a, b *Drain) int { return cmp.Compare(a.Head.EndedAtMS, b.Head.EndedAtMS) })
	for _, drain := range ended[:max(0, len(ended)-tuning.MaxFinishedDrains)] {
		r.changes.remove(HeadKey(drain.ID), drain.Revision)
	}
}
