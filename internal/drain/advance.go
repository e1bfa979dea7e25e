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
func (r *round) advance(d *Drain) {
	r.settle(d)
	if !d.Head.Phase.Active() {
		return
	}
	open := r.released(d)
	if open == 0 && len(d.Grants) == 0 {
		r.finish(d)
		return
	}
	if d.Head.Phase == PhasePaused {
		r.wait(d, "paused by an operator")
		return
	}
	r.replace(d)
	r.close(d)
	r.grant(d)
}

// settle removes the grants all of whose tasks are disturbed no more. A task that was
// never stopped counts only if its owner still holds the block when that is committed:
// another owner might stop it, not knowing that the drain was cancelled.
func (r *round) settle(d *Drain) {
	for _, number := range d.grantNumbers() {
		g := d.Grants[number]
		var guards []statestore.Condition
		over := true
		for _, ref := range g.Tasks {
			if r.c.settled(ref) {
				continue
			}
			block, token, void := r.c.voidIn(ref)
			if !void || d.Head.Phase != PhaseCancelled {
				over = false
				break
			}
			guard := statestore.Condition{Key: r.c.cluster.ShardKey(block), Revision: token}
			if !slices.Contains(guards, guard) {
				guards = append(guards, guard)
			}
		}
		if over && r.remove(GrantKey(d.ID, number), g.Revision) {
			for _, guard := range guards {
				if !slices.Contains(r.guards, guard) {
					r.guards = append(r.guards, guard)
				}
			}
		}
	}
}

// released notes the machines that are gone, and counts the others.
func (r *round) released(d *Drain) int {
	left := 0
	d.Each(func(page, position int, m *Machine) {
		if m.State == MachineReleased {
			return
		}
		if r.c.cluster.IsGone(m.ID) && r.edit(d, page, position, "released", func(m *Machine) { m.State = MachineReleased }) {
			return
		}
		left++
	})
	return left
}

// finish ends a drain all of whose machines are gone.
func (r *round) finish(d *Drain) {
	head := d.Head
	head.Phase, head.Ended, head.Released = PhaseDone, r.c.rt.WallClock().UnixMilli(), head.Machines
	if r.set(HeadKey(d.ID), d.Revision, head) {
		r.steps = append(r.steps, step{drain: d.ID, what: stepDone})
	}
}

// rentalName names the request for a machine's replacement. It is never used for
// another one: the time of creation tells drains of the same name apart.
func rentalName(d *Drain, m *Machine) string {
	return fmt.Sprintf("drain-%s-%d-%s-%d", d.ID, d.Head.Created, m.ID, m.Tries)
}

// replace follows the replacements from the request until they are up.
func (r *round) replace(d *Drain) {
	d.Each(func(page, position int, m *Machine) {
		if m.State != MachineReplacing || r.c.cluster.IsGone(m.ID) {
			return
		}
		if m.Replacement == "" {
			r.rent(d, page, position, m)
			return
		}
		info, known := r.c.cluster.Machine(m.Replacement)
		switch {
		case known && info.HasReported && info.AcceptsTasks:
			r.edit(d, page, position, "closed", r.shut)
		case r.c.cluster.IsGone(m.Replacement):
			r.edit(d, page, position, "replacement lost", func(m *Machine) { m.Replacement, m.Tries = "", m.Tries+1 })
		default:
			r.wait(d, "replacement %s of %s is booting", m.Replacement, m.ID)
		}
	})
}

func (r *round) rent(d *Drain, page, position int, m *Machine) {
	info, known := r.c.cluster.Machine(m.ID)
	if !known {
		r.wait(d, "machine %s is not known at present", m.ID)
		return
	}
	host, known := r.c.cluster.RentMachine(rentalName(d, m), info)
	if !known {
		r.wait(d, "no replacement for %s yet: the cloud has not given one", m.ID)
		return
	}
	r.edit(d, page, position, "replacement rented", func(m *Machine) { m.Replacement = host })
}

// shut is the change that closes a machine to new work.
func (r *round) shut(m *Machine) {
	m.State, m.Since = MachineClosed, r.c.rt.WallClock().UnixMilli()
}

// candidate is a machine that could be the next to be drained.
type candidate struct {
	page, position int
	info           MachineInfo
	load           float64
}

// close picks the next machines: of one zone at a time, those first on which the
// least runs.
func (r *round) close(d *Drain) {
	inHand, zone, left := r.inHand(d)
	most := r.c.conf.MachinesAtOnceOrDefault()
	if left == 0 || inHand >= most {
		return
	}
	// With a replacement first no room is taken away. Where urgent work always waits for
	// some, a drain would never begin otherwise.
	if !d.Head.Replace && r.c.cluster.HasUrgentWaiting(jobs.PriorityStandard) {
		r.wait(d, "urgent work waits for room: no further machine is closed")
		return
	}
	list := r.candidates(d)
	if zone == "" && len(list) > 0 {
		zone = list[0].info.Zone
	}
	for _, next := range list {
		if next.info.Zone != zone || inHand >= most {
			continue
		}
		if !r.begin(d, next) {
			return
		}
		inHand++
	}
}

// inHand counts the machines that are being emptied, in which zone they are, and those
// that are left. One that is stuck does not count while there are few of those.
func (r *round) inHand(d *Drain) (number int, zone string, left int) {
	stuck := 0
	d.Each(func(_, _ int, m *Machine) {
		switch {
		case m.State == MachineWaiting:
			left++
		case m.State != MachineReplacing && m.State != MachineClosed:
		case r.isStuck(m.ID):
			stuck++
		default:
			number++
			if info, known := r.c.cluster.Machine(m.ID); known {
				zone = info.Zone
			}
		}
	})
	most := r.c.conf.MachinesAtOnceOrDefault()
	return max(number, number+stuck-most*(tuning.DrainStuckFactor-1)), zone, left
}

// candidates lists the machines that could be the next, in the order in which they are
// taken.
func (r *round) candidates(d *Drain) []candidate {
	var list []candidate
	d.Each(func(page, position int, m *Machine) {
		if m.State != MachineWaiting {
			return
		}
		if info, known := r.c.cluster.Machine(m.ID); known && info.HasReported {
			list = append(list, candidate{page, position, info, r.c.cluster.CPUsPlacedOn(m.ID)})
		}
	})
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.info.Zone, b.info.Zone), cmp.Compare(a.load, b.load), cmp.Compare(a.info.ID, b.info.ID))
	})
	return list
}

// begin takes a machine in hand.
func (r *round) begin(d *Drain, next candidate) bool {
	if d.Head.Replace {
		return r.edit(d, next.page, next.position, "replacing", func(m *Machine) { m.State = MachineReplacing })
	}
	return r.edit(d, next.page, next.position, "closed", r.shut)
}

// isStuck tells whether nothing of a machine could be granted for a while: others go
// on meanwhile.
func (r *round) isStuck(machine string) bool { return r.stuckFor(machine) > tuning.DrainStuckAfter }

// stuckFor is how long nothing of a machine could be granted.
func (r *round) stuckFor(machine string) time.Duration {
	if since, there := r.c.stuck[machine]; there {
		return r.c.rt.Now() - since
	}
	return 0
}

// sweep removes what is left of drains that are over, and of requests that were never
// accepted.
func (r *round) sweep() {
	var ended []*Drain
	for _, d := range r.c.book.drains {
		switch {
		case !d.exists() && r.c.serving == nil, d.exists() && !d.Head.Phase.Active() && len(d.Grants) == 0:
			for number, page := range d.Pages {
				r.remove(PageKey(d.ID, number), page.Revision)
			}
		}
		if d.exists() && !d.Head.Phase.Active() && len(d.Pages)+len(d.Grants) == 0 {
			ended = append(ended, d)
		}
	}
	slices.SortFunc(ended, func(a, b *Drain) int { return cmp.Compare(a.Head.Ended, b.Head.Ended) })
	for _, d := range ended[:max(0, len(ended)-tuning.MaxFinishedDrains)] {
		r.remove(HeadKey(d.ID), d.Revision)
	}
}
