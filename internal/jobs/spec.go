package jobs

import (
	"math/bits"
	"regexp"
	"slices"
	"strconv"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/settings"
)

// Priority orders jobs; a higher priority is scheduled first.
type Priority int

// The priorities, lowest first.
const (
	PriorityLow Priority = iota
	PriorityStandard
	PriorityUrgent
	PriorityCritical
)

// priorityNames maps priorities to the values of the submission field "urgency".
var priorityNames = [...]string{
	PriorityLow:      "low",
	PriorityStandard: "standard",
	PriorityUrgent:   "urgent",
	PriorityCritical: "critical",
}

// String returns the priority's name as used in submissions.
func (p Priority) String() string {
	if p < PriorityLow || p > PriorityCritical {
		return "priority " + strconv.Itoa(int(p))
	}
	return priorityNames[p]
}

// parsePriority is the inverse of Priority.String. isKnown is false, and the priority
// PriorityLow, for any other text.
func parsePriority(name string) (priority Priority, isKnown bool) {
	for i := range priorityNames {
		if priorityNames[i] == name {
			return Priority(i), true
		}
	}
	return PriorityLow, false
}

// Shape is the way in which the tasks of a job run relative to each other.
type Shape string

// The shapes, under their names in submissions.
const (
	ShapeArray  Shape = "array"  // tasks run independently, each to completion once
	ShapeDaemon Shape = "daemon" // service: tasks are replicas that run until the job is cancelled
	ShapeGang   Shape = "gang"   // all tasks run at the same time or none does
)

// isKnown reports whether the shape is one of the defined ones.
func (s Shape) isKnown() bool { return s == ShapeArray || s == ShapeDaemon || s == ShapeGang }

// Spec is a job as submitted by its user (PROTOCOL, section on submissions), and also the
// stored form of the job. Resource amounts are per task.
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
	MachineTypes              []string `json:"builds,omitempty"`    // allowed machine types, nil for all
	Zone                      string   `json:"yard,omitempty"`      // the only allowed zone, "" for all
	SameZone                  bool     `json:"samePlace,omitempty"` // all tasks must run in the same zone
	Spread                    bool     `json:"spread,omitempty"`    // at most half of the tasks, rounded up, in one zone
	Spot                      bool     `json:"loaners,omitempty"`   // may run on spot machines
	EstimateSeconds           float64  `json:"expectS"`             // run time of a task without the image download; 0 for services
	CheckpointIntervalSeconds float64  `json:"snapshotS,omitempty"` // 0: tasks never write checkpoints
	CheckpointSeconds         float64  `json:"flushS,omitempty"`    // time a halted task needs to write a checkpoint
	DeadlineSeconds           *float64 `json:"dueS,omitempty"`      // counted from the submission, nil for none
}

// MaxTasks is the maximum number of tasks in a job (PROTOCOL).
const MaxTasks = 100000

var idPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidID reports whether id has the form of a job ID, for example wk-000412.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Priority returns the job's priority, or PriorityLow if Urgency is not a known name.
func (s *Spec) Priority() Priority {
	priority, _ := parsePriority(s.Urgency)
	return priority
}

// Resources returns the resources that each task of the job uses on its machine.
func (s *Spec) Resources() resource.Vector {
	return resource.Vector{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
}

// WorkSize returns the logarithmic size of the work of the given number of the job's tasks:
// the bit length of their total CPU seconds, with a task counted as at least one second.
// Logarithmic, so that jobs whose work differs by less than a factor of two rank alike.
func (s *Spec) WorkSize(tasks int) int {
	return bits.Len64(uint64(float64(tasks) * s.CPUs * max(s.EstimateSeconds, 1)))
}

// IsService reports whether the tasks run until the job is cancelled.
func (s *Spec) IsService() bool { return s.Shape == ShapeDaemon }

// IsGang reports whether all tasks run at the same time or none does.
func (s *Spec) IsGang() bool { return s.Shape == ShapeGang }

// KeepKnownMachineTypes removes from MachineTypes the names that are not in types, and sorts
// and deduplicates the rest.
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

// WithoutStartFields returns a copy of the job without the fields that are only needed to
// start tasks: class, image and machine types.
func (s *Spec) WithoutStartFields() *Spec {
	reduced := *s
	reduced.Class, reduced.Image, reduced.MachineTypes = "", "", nil
	return &reduced
}

// MissedObjectives returns the number of the job's service-level objectives that its tasks
// miss if they start now, ageSeconds after the submission. Of otherwise equal jobs, those
// that miss the fewest go first: under overload, ordering by age alone makes every job late.
func (s *Spec) MissedObjectives(nodeSettings *settings.Settings, ageSeconds float64) int {
	missed := 0
	nodeSettings.EachObjectiveDeadline(s.Class, s.EstimateSeconds, s.DeadlineSeconds, func(deadlineSeconds float64) {
		if ageSeconds > deadlineSeconds {
			missed++
		}
	})
	return missed
}
