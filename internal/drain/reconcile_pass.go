package drain

import (
	"slices"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// reconcilePass is one evaluation of all drains by the leader and the single commit that results
// from it. Each Tick creates a new one from the records and the newest shard reports. Its
// decisions take effect only when its changes are durable.
type reconcilePass struct {
	*Coordinator

	usage   *budgetUsage // usage of the teams' budgets, including the grants of this pass
	changes *changeSet
	steps   []drainStep // to be logged when the changes are durable

	// Either of these forbids all grants: an unreadable record may contain grants that are not
	// counted, and the state of a shard's tasks is unknown without its report.
	hasUnreadableRecord bool
	shardWithoutReport  int // noShard if all reports are current

	grantedInPass       map[TaskRef]bool    // attempts granted by this pass
	machinesWithoutRoom map[string]bool     // machines with tasks for which there is no room elsewhere
	waitReasons         map[string][]string // by drain
}

// newReconcilePass returns a pass without changes, with the current usage of the budgets.
func (c *Coordinator) newReconcilePass() *reconcilePass {
	return &reconcilePass{
		Coordinator: c, usage: c.disturbances.usage(),
		changes:             &changeSet{capacity: min(c.state.MaxOperations(), c.writes.available()), pageEdits: map[string]*pageEdit{}},
		hasUnreadableRecord: c.records.HasUnreadable(), shardWithoutReport: c.reports.shardWithoutReport(),
		grantedInPass: map[TaskRef]bool{}, machinesWithoutRoom: map[string]bool{}, waitReasons: map[string][]string{},
	}
}

// addWaitReason records what a drain waits for. Each reason is listed once, and at most
// MaxDrainWaitReasons are, which bounds the size of the answers to operators.
func (r *reconcilePass) addWaitReason(drain *Drain, reason string) {
	reasons := r.waitReasons[drain.ID]
	if !slices.Contains(reasons, reason) && len(reasons) < tuning.MaxDrainWaitReasons {
		r.waitReasons[drain.ID] = append(reasons, reason)
	}
}

// editMachine changes a machine's entry and records the step. It returns false if the commit
// has no room for the change.
func (r *reconcilePass) editMachine(drain *Drain, position entryPosition, step stepName, edit func(*Machine)) bool {
	machineID, isEdited := r.changes.editMachine(drain, position, edit)
	if isEdited {
		r.steps = append(r.steps, drainStep{drainID: drain.ID, machineID: machineID, name: step})
	}
	return isEdited
}

// changeSet collects the conditions and operations of one commit.
type changeSet struct {
	conditions []statestore.Condition
	operations []statestore.Operation
	capacity   int                  // number of operations that can still be added
	pageEdits  map[string]*pageEdit // by key
}

// pageEdit is a copy of a page with the changes of the commit to one or more entries.
type pageEdit struct {
	page           Page
	operationIndex int // index of the page's operation in the commit
}

func (s *changeSet) isEmpty() bool { return len(s.operations) == 0 }

// require adds a condition that does not belong to an operation.
func (s *changeSet) require(condition statestore.Condition) {
	if !slices.Contains(s.conditions, condition) {
		s.conditions = append(s.conditions, condition)
	}
}

// put adds a write of a key, on condition that the key still has the revision. It returns
// false if the commit has no room or the record cannot be encoded.
func (s *changeSet) put(key string, revision uint64, record any) bool {
	raw, err := encode(record)
	if err != nil {
		return false
	}
	return s.add(statestore.Condition{Key: key, Revision: revision}, statestore.Operation{PutKey: key, Value: raw})
}

// remove adds a deletion of a key, on condition that the key still has the revision. It
// returns false if the commit has no room.
func (s *changeSet) remove(key string, revision uint64) bool {
	return s.add(statestore.Condition{Key: key, Revision: revision}, statestore.Operation{DeleteKey: key})
}

// add adds an operation with its condition. It returns false if the commit has no room.
func (s *changeSet) add(condition statestore.Condition, operation statestore.Operation) bool {
	if s.capacity <= 0 {
		return false
	}
	s.capacity--
	s.conditions = append(s.conditions, condition)
	s.operations = append(s.operations, operation)
	return true
}

// puts reports whether the commit writes a key.
func (s *changeSet) puts(key string) bool {
	return slices.ContainsFunc(s.operations, func(operation statestore.Operation) bool { return operation.PutKey == key })
}

// editMachine changes an entry in a copy of a stored page, which the commit then writes, and
// returns the ID of the machine. isEdited is false if the commit has no room.
func (s *changeSet) editMachine(drain *Drain, position entryPosition, change func(*Machine)) (machineID string, isEdited bool) {
	key := PageKey(drain.ID, position.page)
	edit := s.pageEdits[key]
	if edit == nil {
		stored := drain.Pages[position.page]
		edit = &pageEdit{page: Page{slices.Clone(stored.Machines)}, operationIndex: len(s.operations)}
		if !s.put(key, stored.Revision, edit.page) {
			return "", false
		}
		s.pageEdits[key] = edit
	}
	machine := &edit.page.Machines[position.index]
	change(machine)
	raw, err := encode(edit.page)
	if err != nil {
		return "", false
	}
	s.operations[edit.operationIndex].Value = raw
	return machine.ID, true
}
