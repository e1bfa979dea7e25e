package settings

import "lemonmoor/internal/tuning"

// EachObjectiveDeadline calls fn for each aim of a class of jobs with the latest age, in seconds,
// at which a task may start that takes so long, for the aim to be met.
func (s *Settings) EachObjectiveDeadline(class string, estimateSeconds float64, deadlineSeconds *float64, fn func(latestStartSeconds float64)) {
	for _, objective := range s.Deployment.Objectives {
		switch {
		case objective.Class != class:
		case objective.Kind == "finished":
			fn(objective.WithinS - estimateSeconds)
		case objective.Kind == "wait":
			fn(objective.WithinS)
		case objective.Kind == "deadline" && deadlineSeconds != nil:
			fn(*deadlineSeconds*max(objective.Times, 1) - estimateSeconds)
		}
	}
}

// StartsPromptly tells whether the users expect the tasks of a class to start so soon that
// a machine that is rented when they come is too late.
func (s *Settings) StartsPromptly(class string) bool {
	for _, objective := range s.Deployment.Objectives {
		if objective.Kind == "wait" && objective.Class == class && objective.WithinS < tuning.PromptStartWithin.Seconds() {
			return true
		}
	}
	return false
}
