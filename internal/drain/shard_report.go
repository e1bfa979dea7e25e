package drain

// ShardReport is what a shard's owner adds to its status message to the leader while there
// are drains.
type ShardReport struct {
	// Machines are the closed ones that are up, with the tasks on them.
	Machines []ClosedMachine `json:"machines,omitempty"`
	// Granted is how the granted tasks are of which the owner knows.
	Granted []GrantedTask `json:"granted,omitempty"`
	// Teams is the work of the shard that runs, or was disturbed by nobody's choice.
	Teams map[string]TeamWork `json:"teams,omitempty"`
	// ReplicasDown is, by service, how many replicas are placed but not up.
	ReplicasDown map[string]int `json:"down,omitempty"`
	// ReplicasDownIsPartial says that ReplicasDown was cut short, so no replica may be counted as up.
	ReplicasDownIsPartial bool `json:"partial,omitempty"`
}

// TeamWork is a team's work in a shard.
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
	// RunningMS is how long it has been running, in milliseconds, 0 if it has not begun.
	RunningMS int64 `json:"runsMs,omitempty"`
}

// GrantedTask is how a granted task, or gang, is.
type GrantedTask struct {
	TaskRef
	// RunsAgain says that a heartbeat under the present fencing token shows it running under the
	// Attempt given here, which is later than the grant's.
	RunsAgain bool `json:"runs,omitempty"`
	// IsUntouched says that the owner has not halted it, and knows that its drain was cancelled.
	IsUntouched bool `json:"void,omitempty"`
}
