package settings

import "lemonmoor/internal/tuning"

// The kinds of objectives for which the start of a task matters. There are others, which are
// no concern of the scheduling of single tasks.
const (
	objectiveFinished = "finished" // finished within WithinS
	objectiveWait     = "wait"     // started within WithinS
	objectiveDeadline = "deadline" // finished within Times the job's deadline
)

// EachObjectiveDeadline calls fn for each objective of a class of jobs with the latest age of
// a job, in seconds, at which a task may start to meet it. The task runs for
// estimateSeconds; deadlineSeconds is nil for a job without a deadline.
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

// StartsPromptly reports whether the users expect the tasks of a class to start so soon that
// a machine that is rented when they come is too late.
func (s *Settings) StartsPromptly(class string) bool {
	for _, objective := range s.Deployment.Objectives {
		if objective.Kind == objectiveWait && objective.Class == class && objective.WithinS < tuning.PromptStartWithin.Seconds() {
			return true
		}
	}
	return false
}
