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
	desc  *jobs.Spec
	ref   TaskRef
	runs  time.Duration
	zone  string // where it has to go
	here  int    // tasks of it on closed machines, which need room elsewhere
	since time.Duration
}

// lost is how much work is lost when it is stopped, in seconds of a processor.
func (m *move) lost() float64 {
	runs := m.runs.Seconds()
	if m.desc.CheckpointIntervalSeconds > 0 {
		runs = m.desc.CheckpointSeconds
	}
	return runs * amount(m.desc, m.ref).CPUs
}

// grant lets tasks of the closed machines be stopped, as far as budgets and room go.
func (r *round) grant(d *Drain) {
	d.Each(func(page, position int, m *Machine) {
		if m.State != MachineClosed {
			return
		}
		r.grantMachine(d, m)
		if r.roomless[m.ID] && m.Tries < tuning.MaxDrainRentalAttempts && r.stuckFor(m.ID) > tuning.DrainNoRoomAfter {
			r.edit(d, page, position, "reopened until a machine is rented for its work", reopen)
		}
	})
}

// reopen is the change that has a machine take tasks until there is one more in its
// place. The room of an earlier one has been taken by other work.
func reopen(m *Machine) {
	m.State = MachineReplacing
	if m.Replacement != "" {
		m.Replacement, m.Tries = "", m.Tries+1
	}
}

func (r *round) grantMachine(d *Drain, m *Machine) {
	if r.c.cluster.IsGone(m.ID) {
		return
	}
	info, known := r.c.cluster.Machine(m.ID)
	if !known {
		r.wait(d, "machine %s is not known at present", m.ID)
		return
	}
	if r.blind >= 0 {
		r.waitBlind(d)
		return
	}
	closed := r.closedMachine(info)
	if closed == nil {
		r.wait(d, "machine %s does not report: its tasks count as disturbed until they are proven gone", m.ID)
		return
	}
	var g Grant
	moves := r.moves(m, info, closed)
	for i := range moves {
		if why := r.refusal(m, &moves[i]); why != "" {
			r.wait(d, "%s", why)
			continue
		}
		if (len(g.Tasks)+1)*taskBytes > r.c.state.MaxValueBytes()-machineBytes || r.most <= 0 {
			break // the rest with the next round
		}
		r.take(&moves[i])
		g.Tasks = append(g.Tasks, moves[i].ref)
	}
	r.noteStuck(m.ID, len(moves) > 0 && len(g.Tasks) == 0)
	if len(g.Tasks) == 0 {
		return
	}
	g.Machine = m.ID
	if r.set(GrantKey(d.ID, r.nextGrant(d)), 0, g) {
		r.steps = append(r.steps, step{drain: d.ID, machine: m.ID, what: stepGranted, grant: &g})
	}
}

func (r *round) waitBlind(d *Drain) {
	if r.blind >= len(r.c.reports) {
		r.wait(d, "a record of a drain does not parse: what it grants is not known")
		return
	}
	r.wait(d, "the owner of block %d has not told how its work stands, or knows no drains", r.blind)
}

func (r *round) noteStuck(machine string, stuck bool) {
	if !stuck {
		delete(r.c.stuck, machine)
	} else if _, there := r.c.stuck[machine]; !there {
		r.c.stuck[machine] = r.c.rt.Now()
	}
}

// closedMachine is what its owner reports of a closed machine; nil if it does not.
func (r *round) closedMachine(info MachineInfo) *ClosedMachine {
	report := r.c.reports[info.Shard].report
	i := slices.IndexFunc(report.Machines, func(m ClosedMachine) bool { return m.ID == info.ID })
	if i < 0 {
		return nil
	}
	return &report.Machines[i]
}

// nextGrant is a number that no grant of the drain has. One that is used again does no
// harm: a late copy of an earlier grant names attempts that are over.
func (r *round) nextGrant(d *Drain) uint64 {
	number := uint64(1)
	if taken := d.grantNumbers(); len(taken) > 0 {
		number = taken[len(taken)-1] + 1
	}
	for slices.ContainsFunc(r.apply, func(c statestore.Operation) bool { return c.PutKey == GrantKey(d.ID, number) }) {
		number++
	}
	return number
}

// moves lists what has to leave a machine, the cheapest first.
func (r *round) moves(m *Machine, info MachineInfo, closed *ClosedMachine) []move {
	since := time.Duration(max(0, r.c.rt.WallClock().UnixMilli()-m.Since)) * time.Millisecond
	gangs := map[string]bool{}
	var list []move
	for _, t := range closed.Tasks {
		desc, open := r.c.cluster.Job(t.Job)
		if !open || gangs[t.Job] {
			continue
		}
		next := move{
			desc: desc, ref: TaskRef{Job: t.Job, Index: t.Index, Attempt: t.Attempt},
			runs: time.Duration(t.RunsMS) * time.Millisecond, zone: desc.Zone, here: 1, since: since,
		}
		if desc.SameZone || desc.Spread {
			next.zone = info.Zone
		}
		if desc.IsGang() {
			gangs[t.Job] = true
			next.ref.Index, next.ref.Gang = 0, desc.Tasks
			next.here = r.closedTasks(t.Job)
		}
		// A report can be older than what is known of the task: granted by it, one that
		// was done already was granted once more.
		if !r.pending(next.ref) && !r.c.settled(next.ref) {
			list = append(list, next)
		}
	}
	slices.SortStableFunc(list, func(a, b move) int { return cmp.Compare(a.lost(), b.lost()) })
	return list
}

// closedTasks counts the tasks of a gang on closed machines.
func (r *round) closedTasks(job string) int {
	n := 0
	for i := range r.c.reports {
		for _, m := range r.c.reports[i].report.Machines {
			for _, t := range m.Tasks {
				if t.Job == job {
					n++
				}
			}
		}
	}
	return n
}

// pending tells whether an attempt is granted already.
func (r *round) pending(ref TaskRef) bool {
	if r.asked[ref] {
		return true
	}
	return slices.ContainsFunc(r.c.book.grantsOf(ref.Name()), func(h held) bool { return h.ref == ref })
}

// take counts a move as granted.
func (r *round) take(m *move) {
	r.use.add(m.desc, m.ref)
	r.use.moving += float64(m.here) * m.desc.CPUs
	if m.ref.Gang == 0 {
		r.use.down[m.ref.Job]++
	}
	r.asked[m.ref] = true
}

// refusal is why a move has to wait, "" if it need not.
func (r *round) refusal(machine *Machine, m *move) string {
	left := m.desc.EstimateSeconds - m.runs.Seconds()
	if wait := r.c.conf.WaitOrDefault() - m.since; wait > 0 && m.runs > 0 && !m.desc.IsService() && left > 0 && left <= wait.Seconds() {
		return fmt.Sprintf("tasks of %s are about to end", m.desc.ID)
	}
	budget := r.c.budgets.Of(m.desc.Team)
	if short := budget.Allows(m.desc.Team, r.use.team(m.desc.Team), amount(m.desc, m.ref)); short != nil {
		return short.String()
	}
	if m.desc.IsService() {
		if short := r.replicas(m, budget); short != nil {
			return short.String()
		}
	}
	return r.noRoom(machine, m)
}

// replicas tells whether enough replicas of a service would stay up; nil if so.
func (r *round) replicas(m *move, budget Budget) *Shortage {
	up := r.c.cluster.PlacedReplicas(m.ref.Job) - r.use.down[m.ref.Job] - 1
	if r.use.partial {
		up = 0
	}
	if up >= budget.ReplicasUp {
		return nil
	}
	return &Shortage{Team: m.desc.Team, Limit: limitReplicas, Service: m.desc.ID, Requested: float64(up), Max: float64(budget.ReplicasUp)}
}

// noRoom is why there is no place for what is moved, "" if there is. That a machine
// might be rented for it is not enough: what the cloud has shows only when it is asked.
// Work of a higher priority goes first, but for the room of the machine's own
// replacement: if it takes that, there is none.
func (r *round) noRoom(machine *Machine, m *move) string {
	if machine.Replacement == "" && r.c.cluster.HasUrgentWaiting(m.desc.Priority()) {
		return fmt.Sprintf("work of a higher priority than %s waits for room", m.desc.ID)
	}
	room := float64(r.c.cluster.CapacityFor(m.desc, m.zone)) * m.desc.CPUs
	if room-r.use.moving+slack >= float64(m.here)*m.desc.CPUs {
		return ""
	}
	r.roomless[machine.ID] = true
	return fmt.Sprintf("no room for tasks of %s", m.desc.ID)
}
