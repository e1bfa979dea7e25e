package drain

import (
	"fmt"
	"maps"
	"slices"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// round is one look at all drains, and the one commit that comes of it.
type round struct {
	coordinator    *Coordinator
	usage          *usage
	unknownShard   int // a block of which too little is known to grant anything, -1 for none
	conditions     []statestore.Condition
	operations     []statestore.Operation
	operationsLeft int                  // changes that the commit may still take
	pageEdits      map[string]*pageEdit // by key
	grantedNow     map[TaskRef]bool     // granted in this round
	// withoutRoom are the machines for tasks of which there is no room elsewhere.
	withoutRoom map[string]bool
	waitReasons map[string][]string
	steps       []step // to be logged when they are durable
}

// pageEdit is a page that is being changed.
type pageEdit struct {
	page           Page
	operationIndex int // its place in apply
}

// step is something to be logged and traced once it is committed.
type step struct {
	drainID, machineID, name string
	grant                    *Grant
}

func (c *Coordinator) newRound() *round {
	r := &round{
		coordinator: c, usage: c.currentUsage(), unknownShard: c.shardWithoutReport(), operationsLeft: min(c.state.MaxOperations(), int(c.writeTokens)), pageEdits: map[string]*pageEdit{},
		grantedNow: map[TaskRef]bool{}, withoutRoom: map[string]bool{}, waitReasons: map[string][]string{},
	}
	if c.records.HasUnreadable() {
		r.unknownShard = len(c.reports)
	}
	return r
}

// addWaitReason notes what a drain waits for.
func (r *round) addWaitReason(drain *Drain, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	if reasons := r.waitReasons[drain.ID]; !slices.Contains(reasons, reason) && len(reasons) < tuning.MaxDrainWaitReasons {
		r.waitReasons[drain.ID] = append(reasons, reason)
	}
}

// put adds a change of a key that must still have the stamp.
func (r *round) put(key string, revision uint64, value any) bool {
	raw, err := encode(value)
	if err != nil || r.operationsLeft <= 0 {
		return false
	}
	r.operationsLeft--
	r.conditions = append(r.conditions, statestore.Condition{Key: key, Revision: revision})
	r.operations = append(r.operations, statestore.Operation{PutKey: key, Value: raw})
	return true
}

func (r *round) delete(key string, revision uint64) bool {
	if r.operationsLeft <= 0 {
		return false
	}
	r.operationsLeft--
	r.conditions = append(r.conditions, statestore.Condition{Key: key, Revision: revision})
	r.operations = append(r.operations, statestore.Operation{DeleteKey: key})
	return true
}

// editMachine changes a machine's entry; false if the commit has no room for it.
func (r *round) editMachine(drain *Drain, page, position int, stepName string, change func(*Machine)) bool {
	key := PageKey(drain.ID, page)
	edit := r.pageEdits[key]
	if edit == nil {
		stored := drain.Pages[page]
		edit = &pageEdit{page: Page{slices.Clone(stored.Machines)}, operationIndex: len(r.operations)}
		if !r.put(key, stored.Revision, edit.page) {
			return false
		}
		r.pageEdits[key] = edit
	}
	change(&edit.page.Machines[position])
	raw, err := encode(edit.page)
	if err != nil {
		return false
	}
	r.operations[edit.operationIndex].Value = raw
	r.steps = append(r.steps, step{drainID: drain.ID, machineID: edit.page.Machines[position].ID, name: stepName})
	return true
}

// logSteps logs and traces what the round has done.
func (r *round) logSteps() {
	for _, step := range r.steps {
		if step.grant == nil {
			r.coordinator.log.Info("drain step", "drain", step.drainID, "machine", step.machineID, "step", step.name)
		} else {
			r.logGrant(step)
		}
		r.coordinator.tracer.Step(step, r.usage)
	}
}

// logGrant says how the budgets of the teams concerned stand after a grant.
func (r *round) logGrant(granted step) {
	teams := map[string]bool{}
	for _, ref := range granted.grant.Tasks {
		if spec, open := r.coordinator.cluster.Job(ref.Job); open {
			teams[spec.Team] = true
		}
	}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		usage, budget := r.usage.team(team), r.coordinator.budgets.ForTeam(team)
		r.coordinator.log.Info("drain granted", "drain", granted.drainID, "machine", granted.machineID, "tasks", len(granted.grant.Tasks), "team", team,
			"chosen", usage.Chosen.Tasks, "unchosen", usage.Unchosen.Tasks, "cpus", usage.Disturbed().CPUs, "budget", budget.String())
	}
}
