package drain

// ShardReport is the part on drains of the status message that a shard's owner sends to the
// leader.
type ShardReport struct {
	// Machines are the closed machines whose workers send heartbeats, with the tasks on them.
	Machines []ClosedMachine `json:"machines,omitempty"`
	// Granted lists the granted tasks and gangs of the shard that run again or are untouched.
	Granted []GrantedTask `json:"granted,omitempty"`
	// Teams is, by team, the shard's running work and the work disturbed without a grant.
	Teams map[string]TeamWork `json:"teams,omitempty"`
	// ReplicasDown is, by service, the number of placed replicas that are interrupted, see
	// reporter.isInterrupted. A replica that starts for the first time is not counted.
	ReplicasDown map[string]int `json:"down,omitempty"`
	// ReplicasDownIsPartial is set if ReplicasDown was truncated, so that no replica may be
	// counted as up.
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
	// RunningMS is for how long it has been running, in milliseconds, 0 if it does not run yet.
	RunningMS int64 `json:"runsMs,omitempty"`
}

// GrantedTask is the state of a granted task or gang. Its Attempt is the one that runs.
type GrantedTask struct {
	TaskRef
	// RunsAgain is set if a heartbeat under the current fencing token shows it running under
	// Attempt, which is later than the granted attempt.
	RunsAgain bool `json:"runs,omitempty"`
	// IsUntouched is set if the owner has not halted it and knows that its drain was cancelled.
	IsUntouched bool `json:"void,omitempty"`
}
