package jobs

import (
	"math/bits"
	"regexp"
	"slices"
	"strconv"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/settings"
)

// Priority orders jobs; the higher goes first.
type Priority int

// The priorities, lowest first.
const (
	PriorityLow Priority = iota
	PriorityStandard
	PriorityUrgent
	PriorityCritical
)

// priorityNames are the values of the field "urgency" of a submission.
var priorityNames = [...]string{
	PriorityLow:      "low",
	PriorityStandard: "standard",
	PriorityUrgent:   "urgent",
	PriorityCritical: "critical",
}

// String returns the priority's name in submissions.
func (p Priority) String() string {
	if p < PriorityLow || p > PriorityCritical {
		return "priority " + strconv.Itoa(int(p))
	}
	return priorityNames[p]
}

// parsePriority is the inverse of Priority.String; isKnown is false for any other text.
func parsePriority(name string) (priority Priority, isKnown bool) {
	for i := range priorityNames {
		if priorityNames[i] == name {
			return Priority(i), true
		}
	}
	return PriorityLow, false
}

// Shape is how the tasks of a job belong together.
type Shape string

// The shapes, by their names in submissions.
const (
	ShapeArray  Shape = "array"  // the tasks run independently, each once
	ShapeDaemon Shape = "daemon" // a service: the tasks are replicas that run until the job is cancelled
	ShapeGang   Shape = "gang"   // all tasks run at the same time or none does
)

// isKnown reports whether a job may have the shape.
func (s Shape) isKnown() bool { return s == ShapeArray || s == ShapeDaemon || s == ShapeGang }

// Spec is a job as its user submitted it (PROTOCOL, section on submissions). It is stored
// in this form. Amounts of resources are those of one task.
type Spec struct {
	ID                        string   `json:"id"`
	Class                     string   `json:"lane"`
	Team                      string   `json:"crew"`
	Shape                     Shape    `json:"shape"`
	Urgency                   string   `json:"urgency"` // see Priority
	Tasks                     int      `json:"pieces"`
	CPUs                      float64  `json:"cpus"`
	GPUs                      float64  `json:"cards"`
	MemoryGB                  float64  `json:"memoryGb"`
	Image                     string   `json:"kit"`
	ImageGB                   float64  `json:"pullGb"`
	MachineTypes              []string `json:"builds,omitempty"`    // allowed ones, nil for all
	Zone                      string   `json:"yard,omitempty"`      // the only one allowed, "" for all
	SameZone                  bool     `json:"samePlace,omitempty"` // all tasks in the same zone
	Spread                    bool     `json:"spread,omitempty"`    // at most half of the tasks, rounded up, in one zone
	Spot                      bool     `json:"loaners,omitempty"`   // may run on spot machines
	EstimateSeconds           float64  `json:"expectS"`             // run time of a task, without the image; 0 of services
	CheckpointIntervalSeconds float64  `json:"snapshotS,omitempty"` // 0: tasks never save their progress
	CheckpointSeconds         float64  `json:"flushS,omitempty"`    // that a task needs to save when it is halted
	DeadlineSeconds           *float64 `json:"dueS,omitempty"`      // after the submission
}

// MaxTasks is the largest number of tasks of a job (PROTOCOL).
const MaxTasks = 100000

var idPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidID reports whether a string has the form of a job's ID.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Priority returns the job's priority; PriorityLow if its name is not known.
func (s *Spec) Priority() Priority {
	priority, _ := parsePriority(s.Urgency)
	return priority
}

// Resources returns what each task of the job takes of its machine.
func (s *Spec) Resources() resource.Vector {
	return resource.Vector{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
}

// WorkSize returns the work of a number of the job's tasks, as the number of bits of its
// processor seconds: jobs whose work differs by less than a factor of two are alike.
func (s *Spec) WorkSize(tasks int) int {
	return bits.Len64(uint64(float64(tasks) * s.CPUs * max(s.EstimateSeconds, 1)))
}

// IsService reports whether the tasks run until the job is cancelled.
func (s *Spec) IsService() bool { return s.Shape == ShapeDaemon }

// IsGang reports whether all tasks run at the same time or none does.
func (s *Spec) IsGang() bool { return s.Shape == ShapeGang }

// KeepKnownMachineTypes leaves those of the allowed machine types that exist, in the order
// of their names.
func (s *Spec) KeepKnownMachineTypes(types []MachineType) {
	if s.MachineTypes == nil {
		return
	}
	s.MachineTypes = slices.DeleteFunc(slices.Clone(s.MachineTypes), func(name string) bool {
		return !slices.ContainsFunc(types, func(machineType MachineType) bool { return machineType.Name == name })
	})
	slices.Sort(s.MachineTypes)
	s.MachineTypes = slices.Compact(s.MachineTypes)
}

// WithoutStartFields returns the job without what only matters for a start.
func (s *Spec) WithoutStartFields() *Spec {
	reduced := *s
	reduced.Class, reduced.Image, reduced.MachineTypes = "", "", nil
	return &reduced
}

// MissedObjectives counts the service-level objectives for the job that its tasks cannot
// meet any more if they start now, at an age of so many seconds. Of jobs that are alike
// otherwise, those that miss the least go first: under overload a queue in order of age
// alone makes every job late.
func (s *Spec) MissedObjectives(nodeSettings *settings.Settings, ageSeconds float64) int {
	missed := 0
	nodeSettings.EachObjectiveDeadline(s.Class, s.EstimateSeconds, s.DeadlineSeconds, func(deadlineSeconds float64) {
		if ageSeconds > deadlineSeconds {
			missed++
		}
	})
	return missed
}
