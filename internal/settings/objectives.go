package settings

import "lemonmoor/internal/tuning"

// The kinds of objectives that depend on when a task starts. Other kinds do not affect the
// scheduling of single tasks and are ignored.
const (
	objectiveFinished = "finished" // finished within WithinS seconds
	objectiveWait     = "wait"     // started within WithinS seconds
	objectiveDeadline = "deadline" // finished within Times times the job's deadline
)

// EachObjectiveDeadline calls fn for each objective of a class of jobs, with the maximum age of
// the job, in seconds, at which a task can start and still meet the objective. The task is
// expected to run for estimateSeconds; deadlineSeconds is nil for a job without a deadline.
func (s *Settings) EachObjectiveDeadline(class string, estimateSeconds float64, deadlineSeconds *float64, fn func(latestStartSeconds float64)) {
	for _, objective := range s.Deployment.Objectives {
		switch {
		case objective.Class != class:
		case objective.Kind == objectiveFinished:
			fn(objective.WithinS - estimateSeconds)
		case objective.Kind == objectiveWait:
			fn(objective.WithinS)
		case objective.Kind == objectiveDeadline && deadlineSeconds != nil:
			fn(*deadlineSeconds*max(objective.Times, 1) - estimateSeconds)
		}
	}
}

// StartsPromptly reports whether an objective requires the tasks of a class to start so soon
// that a machine rented when the job arrives would be ready too late.
func (s *Settings) StartsPromptly(class string) bool {
	for _, objective := range s.Deployment.Objectives {
		if objective.Kind == objectiveWait && objective.Class == class && objective.WithinS < tuning.PromptStartWithin.Seconds() {
			return true
		}
	}
	return false
}
