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

// removeSettledGrants removes the grants all of whose tasks are disturbed no more. A task that was
// never stopped counts only if its owner still holds the block when that is committed:
// another owner might stop it, not knowing that the drain was cancelled.
func (r *round) removeSettledGrants(drain *Drain) {
	for _, number := range drain.grantNumbers() {
		grant := drain.Grants[number]
		var conditions []statestore.Condition
		allSettled := true
		for _, ref := range grant.Tasks {
			if r.coordinator.isSettled(ref) {
				continue
			}
			shardIndex, token, isUntouched := r.coordinator.shardReportingUntouched(ref)
			if !isUntouched || drain.Head.Phase != PhaseCancelled {
				allSettled = false
				break
			}
			condition := statestore.Condition{Key: r.coordinator.cluster.ShardKey(shardIndex), Revision: token}
			if !slices.Contains(conditions, condition) {
				conditions = append(conditions, condition)
			}
		}
		if allSettled && r.delete(GrantKey(drain.ID, number), grant.Revision) {
			for _, condition := range conditions {
				if !slices.Contains(r.conditions, condition) {
					r.conditions = append(r.conditions, condition)
				}
			}
		}
	}
}

// markReleasedMachines notes the machines that are gone, and counts the others.
func (r *round) markReleasedMachines(drain *Drain) int {
	left := 0
	drain.EachMachine(func(page, position int, machine *Machine) {
		if machine.State == MachineReleased {
			return
		}
		if r.coordinator.cluster.IsGone(machine.ID) && r.editMachine(drain, page, position, "released", func(machine *Machine) { machine.State = MachineReleased }) {
			return
		}
		left++
	})
	return left
}

// finish ends a drain all of whose machines are gone.
func (r *round) finish(drain *Drain) {
	head := drain.Head
	head.Phase, head.Ended, head.Released = PhaseDone, r.coordinator.rt.WallClock().UnixMilli(), head.Machines
	if r.put(HeadKey(drain.ID), drain.Revision, head) {
		r.steps = append(r.steps, step{drainID: drain.ID, name: stepDone})
	}
}

// rentalName names the request for a machine's replacement. It is never used for
// another one: the time of creation tells drains of the same name apart.
func rentalName(drain *Drain, machine *Machine) string {
	return fmt.Sprintf("drain-%s-%d-%s-%d", drain.ID, drain.Head.Created, machine.ID, machine.Tries)
}

// advanceReplacements follows the replacements from the request until they are up.
func (r *round) advanceReplacements(drain *Drain) {
	drain.EachMachine(func(page, position int, machine *Machine) {
		if machine.State != MachineReplacing || r.coordinator.cluster.IsGone(machine.ID) {
			return
		}
		if machine.Replacement == "" {
			r.rentReplacement(drain, page, position, machine)
			return
		}
		info, known := r.coordinator.cluster.Machine(machine.Replacement)
		switch {
		case known && info.HasReported && info.AcceptsTasks:
			r.editMachine(drain, page, position, "closed", r.closeMachine)
		case r.coordinator.cluster.IsGone(machine.Replacement):
			r.editMachine(drain, page, position, "replacement lost", func(machine *Machine) { machine.Replacement, machine.Tries = "", machine.Tries+1 })
		default:
			r.addWaitReason(drain, "replacement %s of %s is booting", machine.Replacement, machine.ID)
		}
	})
}

func (r *round) rentReplacement(drain *Drain, page, position int, machine *Machine) {
	info, known := r.coordinator.cluster.Machine(machine.ID)
	if !known {
		r.addWaitReason(drain, "machine %s is not known at present", machine.ID)
		return
	}
	replacement, known := r.coordinator.cluster.RentMachine(rentalName(drain, machine), info)
	if !known {
		r.addWaitReason(drain, "no replacement for %s yet: the cloud has not given one", machine.ID)
		return
	}
	r.editMachine(drain, page, position, "replacement rented", func(machine *Machine) { machine.Replacement = replacement })
}

// closeMachine is the change that closes a machine to new work.
func (r *round) closeMachine(machine *Machine) {
	machine.State, machine.Since = MachineClosed, r.coordinator.rt.WallClock().UnixMilli()
}

// candidate is a machine that could be the next to be drained.
type candidate struct {
	page, position int
	info           MachineInfo
	placedCPUs     float64
}

// closeNextMachines picks the next machines: of one zone at a time, those first on which the
// least runs.
func (r *round) closeNextMachines(drain *Drain) {
	inProgress, zone, waiting := r.countInProgress(drain)
	maxInProgress := r.coordinator.drainSettings.MachinesAtOnceOrDefault()
	if waiting == 0 || inProgress >= maxInProgress {
		return
	}
	// With a replacement first no room is taken away. Where urgent work always waits for
	// some, a drain would never begin otherwise.
	if !drain.Head.Replace && r.coordinator.cluster.HasUrgentWaiting(jobs.PriorityStandard) {
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

// countInProgress counts the machines that are being emptied, in which zone they are, and those
// that are left. One that is stuck does not count while there are few of those.
func (r *round) countInProgress(drain *Drain) (inProgress int, zone string, waiting int) {
	stuck := 0
	drain.EachMachine(func(_, _ int, machine *Machine) {
		switch {
		case machine.State == MachineWaiting:
			waiting++
		case machine.State != MachineReplacing && machine.State != MachineClosed:
		case r.isStuck(machine.ID):
			stuck++
		default:
			inProgress++
			if info, known := r.coordinator.cluster.Machine(machine.ID); known {
				zone = info.Zone
			}
		}
	})
	maxInProgress := r.coordinator.drainSettings.MachinesAtOnceOrDefault()
	return max(inProgress, inProgress+stuck-maxInProgress*(tuning.DrainStuckFactor-1)), zone, waiting
}

// candidates lists the machines that could be the next, in the order in which they are
// taken.
func (r *round) candidates(drain *Drain) []candidate {
	var candidates []candidate
	drain.EachMachine(func(page, position int, machine *Machine) {
		if machine.State != MachineWaiting {
			return
		}
		if info, known := r.coordinator.cluster.Machine(machine.ID); known && info.HasReported {
			candidates = append(candidates, candidate{page, position, info, r.coordinator.cluster.CPUsPlacedOn(machine.ID)})
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
		return r.editMachine(drain, next.page, next.position, "replacing", func(machine *Machine) { machine.State = MachineReplacing })
	}
	return r.editMachine(drain, next.page, next.position, "closed", r.closeMachine)
}

// isStuck tells whether nothing of a machine could be granted for a while: others go
// on meanwhile.
func (r *round) isStuck(machine string) bool { return r.stuckFor(machine) > tuning.DrainStuckAfter }

// stuckFor is how long nothing of a machine could be granted.
func (r *round) stuckFor(machine string) time.Duration {
	if since, isStuck := r.coordinator.stuckSince[machine]; isStuck {
		return r.coordinator.rt.Now() - since
	}
	return 0
}

// collectGarbage removes what is left of drains that are over, and of requests that were never
// accepted.
func (r *round) collectGarbage() {
	var ended []*Drain
	for _, drain := range r.coordinator.records.drains {
		switch {
		case !drain.isAccepted() && r.coordinator.pendingAnswer == nil, drain.isAccepted() && !drain.Head.Phase.Active() && len(drain.Grants) == 0:
			for number, page := range drain.Pages {
				r.delete(PageKey(drain.ID, number), page.Revision)
			}
		}
		if drain.isAccepted() && !drain.Head.Phase.Active() && len(drain.Pages)+len(drain.Grants) == 0 {
			ended = append(ended, drain)
		}
	}
	slices.SortFunc(ended, func(a, b *Drain) int { return cmp.Compare(a.Head.Ended, b.Head.Ended) })
	for _, drain := range ended[:max(0, len(ended)-tuning.MaxFinishedDrains)] {
		r.delete(HeadKey(drain.ID), drain.Revision)
	}
}
