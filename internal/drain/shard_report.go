package drain

// ShardReport is what a block's owner adds to its status message while there are
// drains.
type ShardReport struct {
	// Machines are the closed ones that are up, with the tasks on them.
	Machines []ClosedMachine `json:"machines,omitempty"`
	// Granted is how the granted tasks are that the owner holds.
	Granted []GrantedTask `json:"granted,omitempty"`
	// Teams is the work of the block that runs, or was disturbed by nobody's choice.
	Teams map[string]TeamWork `json:"teams,omitempty"`
	// Down is, by service, how many replicas are placed but not up.
	Down map[string]int `json:"down,omitempty"`
	// Partial: Down has been cut short, so no replica counts as up.
	Partial bool `json:"partial,omitempty"`
}

// TeamWork is a team's work in a block.
type TeamWork struct {
	Running   Amount `json:"running"`
	Disturbed Amount `json:"disturbed"`
}

// ClosedMachine is a machine that takes no new tasks.
type ClosedMachine struct {
	ID    string       `json:"id"`
	Tasks []PlacedTask `json:"tasks,omitempty"`
}

// PlacedTask is a task on a closed machine.
type PlacedTask struct {
	Job     string `json:"job"`
	Index   int    `json:"index,omitempty"`
	Attempt uint64 `json:"attempt"`
	// RunsMS is how long it has been running, 0 if it has not begun.
	RunsMS int64 `json:"runsMs,omitempty"`
}

// GrantedTask is how a granted task, or gang, is.
type GrantedTask struct {
	TaskRef
	// Runs: a report under the present token shows it running, under the Attempt
	// given, which may be a later one than the grant's.
	Runs bool `json:"runs,omitempty"`
	// Void: the owner has not stopped it, and knows that its drain was cancelled.
	Void bool `json:"void,omitempty"`
}
