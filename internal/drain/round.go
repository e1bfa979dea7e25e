package drain

import (
	"slices"

	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// round is one evaluation of all drains by the leader, and the one commit that comes of
// it. It is made anew for each Tick from the records and the newest shard reports, and
// what it decides is in effect only when its changes are durable.
type round struct {
	*Coordinator

	usage   *budgetUsage // of the teams' budgets, with what this round grants
	changes *changeSet
	steps   []drainStep // to be logged when the changes are durable

	// Of these nothing may be granted: with an unreadable record it is not known what is
	// granted already, without a shard's report how its tasks are.
	hasUnreadableRecord bool
	shardWithoutReport  int // noShard if all have reported

	grantedNow  map[TaskRef]bool    // by this round
	withoutRoom map[string]bool     // machines with tasks for which there is no room elsewhere
	waitReasons map[string][]string // by drain
}

func (c *Coordinator) newRound() *round {
	return &round{
		Coordinator: c, usage: c.disturbances.usage(),
		changes:             &changeSet{capacity: min(c.state.MaxOperations(), c.writes.available()), pageEdits: map[string]*pageEdit{}},
		hasUnreadableRecord: c.records.HasUnreadable(), shardWithoutReport: c.reports.shardWithoutReport(),
		grantedNow: map[TaskRef]bool{}, withoutRoom: map[string]bool{}, waitReasons: map[string][]string{},
	}
}

// addWaitReason notes what a drain waits for. Each reason is given once, and only so many
// that an answer to operators stays small.
func (r *round) addWaitReason(drain *Drain, reason string) {
	reasons := r.waitReasons[drain.ID]
	if !slices.Contains(reasons, reason) && len(reasons) < tuning.MaxDrainWaitReasons {
		r.waitReasons[drain.ID] = append(reasons, reason)
	}
}

// editMachine changes a machine's entry and notes the step; false if the commit has no
// room for it.
func (r *round) editMachine(drain *Drain, position entryPosition, name stepName, edit func(*Machine)) bool {
	machineID, isEdited := r.changes.editMachine(drain, position, edit)
	if isEdited {
		r.steps = append(r.steps, drainStep{drainID: drain.ID, machineID: machineID, name: name})
	}
	return isEdited
}

// changeSet collects the conditions and operations of one commit.
type changeSet struct {
	conditions []statestore.Condition
	operations []statestore.Operation
	capacity   int                  // operations that the commit may still take
	pageEdits  map[string]*pageEdit // by key
}

// pageEdit is a page that the commit changes, perhaps at several entries.
type pageEdit struct {
	page           Page
	operationIndex int // of the page's operation in the commit
}

func (s *changeSet) isEmpty() bool { return len(s.operations) == 0 }

// require adds a condition that does not belong to an operation.
func (s *changeSet) require(condition statestore.Condition) {
	if !slices.Contains(s.conditions, condition) {
		s.conditions = append(s.conditions, condition)
	}
}

// put writes a key that must still have the revision; false if the commit has no room.
func (s *changeSet) put(key string, revision uint64, record any) bool {
	raw, err := encode(record)
	if err != nil {
		return false
	}
	return s.add(statestore.Condition{Key: key, Revision: revision}, statestore.Operation{PutKey: key, Value: raw})
}

// remove deletes a key that must still have the revision; false if the commit has no room.
func (s *changeSet) remove(key string, revision uint64) bool {
	return s.add(statestore.Condition{Key: key, Revision: revision}, statestore.Operation{DeleteKey: key})
}

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

// editMachine changes an entry of a stored page, of which the commit then writes a copy,
// and returns the name of the machine; false if the commit has no room.
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
