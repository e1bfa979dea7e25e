// Package jobs is the vocabulary that all slices share: what a job asks for
// and which machines can give it. The wire's own names stay in the tags here.
package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"regexp"
	"slices"

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

var priorities = map[string]Priority{"low": PriorityLow, "standard": PriorityStandard, "urgent": PriorityUrgent, "critical": PriorityCritical}

// Spec is a job as its user submitted it. It is stored in this form.
type Spec struct {
	ID                        string   `json:"id"`
	Class                     string   `json:"lane"`
	Team                      string   `json:"crew"`
	Shape                     string   `json:"shape"`
	Urgency                   string   `json:"urgency"`
	Tasks                     int      `json:"pieces"`
	CPUs                      float64  `json:"cpus"`
	GPUs                      float64  `json:"cards"`
	MemoryGB                  float64  `json:"memoryGb"`
	Image                     string   `json:"kit"`
	ImageGB                   float64  `json:"pullGb"`
	MachineTypes              []string `json:"builds,omitempty"`
	Zone                      string   `json:"yard,omitempty"`
	SameZone                  bool     `json:"samePlace,omitempty"`
	Spread                    bool     `json:"spread,omitempty"`
	Spot                      bool     `json:"loaners,omitempty"`
	EstimateSeconds           float64  `json:"expectS"`
	CheckpointIntervalSeconds float64  `json:"snapshotS,omitempty"`
	CheckpointSeconds         float64  `json:"flushS,omitempty"`
	DeadlineSeconds           *float64 `json:"dueS,omitempty"`
}

// Priority of the job.
func (d *Spec) Priority() Priority { return priorities[d.Urgency] }

// Resources is what each task of the job takes of its machine.
func (d *Spec) Resources() resource.Vector {
	return resource.Vector{CPUs: d.CPUs, GPUs: d.GPUs, MemoryGB: d.MemoryGB}
}

// WorkSize is the work of so many of the job's tasks, by powers of two.
func (d *Spec) WorkSize(tasks int) int {
	return bits.Len64(uint64(float64(tasks) * d.CPUs * max(d.EstimateSeconds, 1)))
}

// IsService tells whether the tasks run until the job is cancelled.
func (d *Spec) IsService() bool { return d.Shape == "daemon" }

// IsGang tells whether all tasks run at the same time or none does.
func (d *Spec) IsGang() bool { return d.Shape == "gang" }

// KeepKnownMachineTypes leaves those of the allowed machine types that there are.
func (d *Spec) KeepKnownMachineTypes(types []MachineType) {
	if d.MachineTypes != nil {
		d.MachineTypes = slices.DeleteFunc(slices.Clone(d.MachineTypes), func(label string) bool {
			return !slices.ContainsFunc(types, func(t MachineType) bool { return t.Name == label })
		})
		slices.Sort(d.MachineTypes)
		d.MachineTypes = slices.Compact(d.MachineTypes)
	}
}

// WithoutStartFields is the job without what only matters for a start.
func (d *Spec) WithoutStartFields() *Spec {
	b := *d
	b.Class, b.Image, b.MachineTypes = "", "", nil
	return &b
}

// MaxTasks is the largest number of tasks of a job (PROTOCOL).
const MaxTasks = 100000

var idForm = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidID tells whether a string has the form of a job id.
func ValidID(id string) bool { return idForm.MatchString(id) }

// wire is a submission with every field optional, to tell missing from zero.
type wire struct {
	ID        *string   `json:"id"`
	Class     *string   `json:"lane"`
	Team      *string   `json:"crew"`
	Shape     *string   `json:"shape"`
	Urgency   *string   `json:"urgency"`
	Tasks     *int      `json:"pieces"`
	CPUs      *float64  `json:"cpus"`
	Cards     *float64  `json:"cards"`
	MemoryGB  *float64  `json:"memoryGb"`
	Image     *string   `json:"kit"`
	ImageGB   *float64  `json:"pullGb"`
	Builds    *[]string `json:"builds"`
	Zone      *string   `json:"yard"`
	OneZone   *bool     `json:"samePlace"`
	Spread    *bool     `json:"spread"`
	Spot      *bool     `json:"loaners"`
	EstimateS *float64  `json:"expectS"`
	SaveEvery *float64  `json:"snapshotS"`
	SaveS     *float64  `json:"flushS"`
	DeadlineS *float64  `json:"dueS"`
}

// Parse reads a submission. Fields that may be null may also be missing.
func Parse(body []byte) (*Spec, error) {
	var w wire
	if err := json.Unmarshal(body, &w); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("field %q: want %s, not %s", te.Field, te.Type, te.Value)
		}
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if name := w.missing(); name != "" {
		return nil, fmt.Errorf("field %q: missing", name)
	}
	d := &Spec{
		ID: *w.ID, Class: *w.Class, Team: *w.Team, Shape: *w.Shape, Urgency: *w.Urgency,
		Tasks: *w.Tasks, CPUs: *w.CPUs, GPUs: *w.Cards, MemoryGB: *w.MemoryGB, Image: *w.Image,
		ImageGB: *w.ImageGB, SameZone: *w.OneZone, Spread: *w.Spread, Spot: *w.Spot,
		EstimateSeconds: *w.EstimateS, CheckpointIntervalSeconds: *w.SaveEvery, CheckpointSeconds: *w.SaveS, DeadlineSeconds: w.DeadlineS,
	}
	if w.Builds != nil {
		if len(*w.Builds) == 0 {
			return nil, errors.New(`field "builds": empty`)
		}
		d.MachineTypes = *w.Builds
	}
	if w.Zone != nil {
		if *w.Zone == "" {
			return nil, errors.New(`field "yard": empty`)
		}
		d.Zone = *w.Zone
	}
	if err := d.checkWords(); err != nil {
		return nil, err
	}
	if err := d.checkAmounts(); err != nil {
		return nil, err
	}
	return d, nil
}

// missing names a field that a submission lacks, "" if it has all.
func (w *wire) missing() string {
	for _, f := range []struct {
		name    string
		missing bool
	}{
		{"id", w.ID == nil},
		{"lane", w.Class == nil},
		{"crew", w.Team == nil},
		{"shape", w.Shape == nil},
		{"urgency", w.Urgency == nil},
		{"pieces", w.Tasks == nil},
		{"cpus", w.CPUs == nil},
		{"cards", w.Cards == nil},
		{"memoryGb", w.MemoryGB == nil},
		{"kit", w.Image == nil},
		{"pullGb", w.ImageGB == nil},
		{"samePlace", w.OneZone == nil},
		{"spread", w.Spread == nil},
		{"loaners", w.Spot == nil},
		{"expectS", w.EstimateS == nil},
		{"snapshotS", w.SaveEvery == nil},
		{"flushS", w.SaveS == nil},
	} {
		if f.missing {
			return f.name
		}
	}
	return ""
}

// checkWords looks at the fields that hold words.
func (d *Spec) checkWords() error {
	if !ValidID(d.ID) {
		return errors.New(`field "id": not of the form wk-000412`)
	}
	if _, ok := priorities[d.Urgency]; !ok {
		return fmt.Errorf("field %q: unknown value %q", "urgency", d.Urgency)
	}
	if d.Shape != "array" && d.Shape != "daemon" && d.Shape != "gang" {
		return fmt.Errorf("field %q: unknown value %q", "shape", d.Shape)
	}
	for _, f := range []struct{ name, value string }{{"lane", d.Class}, {"crew", d.Team}, {"kit", d.Image}} {
		if f.value == "" || len(f.value) > 200 {
			return fmt.Errorf("field %q: empty or too long", f.name)
		}
	}
	return nil
}

// checkAmounts looks at the fields that hold amounts.
func (d *Spec) checkAmounts() error {
	if d.Tasks < 1 || d.Tasks > MaxTasks {
		return fmt.Errorf("field %q: outside 1 to %d", "pieces", MaxTasks)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"cpus", d.CPUs},
		{"cards", d.GPUs},
		{"memoryGb", d.MemoryGB},
		{"pullGb", d.ImageGB},
		{"expectS", d.EstimateSeconds},
		{"snapshotS", d.CheckpointIntervalSeconds},
		{"flushS", d.CheckpointSeconds},
	} {
		if f.value < 0 || math.IsNaN(f.value) || f.value > 1e12 {
			return fmt.Errorf("field %q: negative or too large", f.name)
		}
	}
	if d.DeadlineSeconds != nil && *d.DeadlineSeconds < 0 {
		return errors.New(`field "dueS": negative`)
	}
	return nil
}

// MachineType is what the cloud tells of a kind of machine.
type MachineType struct {
	Name             string   `json:"label"`
	CPUs             float64  `json:"cpus"`
	GPUs             float64  `json:"cards"`
	MemoryGB         float64  `json:"memoryGb"`
	CacheGB          float64  `json:"cacheGb"`
	ImageGBPerSecond float64  `json:"pullGbPerS"`
	Price            float64  `json:"price"`
	SpotPrice        float64  `json:"spotPrice"`
	BootSeconds      float64  `json:"startupS"`
	Zones            []string `json:"yards"`
}

// Resources is what an empty machine of the type offers.
func (t *MachineType) Resources() resource.Vector {
	return resource.Vector{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// CanRun tells whether one task of the job fits an empty machine of the type.
func (t *MachineType) CanRun(d *Spec) bool {
	return (d.MachineTypes == nil || slices.Contains(d.MachineTypes, t.Name)) &&
		(d.Zone == "" || slices.Contains(t.Zones, d.Zone)) &&
		d.CPUs <= t.CPUs && d.GPUs <= t.GPUs && d.MemoryGB <= t.MemoryGB
}

// MissedObjectives counts the users' aims for the job that its tasks cannot meet any more
// if they start now, at so many seconds of age. Of jobs that are alike otherwise,
// those with the least go first: under overload a queue in order of age alone
// makes every job late.
func (d *Spec) MissedObjectives(set *settings.Settings, age float64) int {
	n := 0
	set.EachObjectiveDeadline(d.Class, d.EstimateSeconds, d.DeadlineSeconds, func(latest float64) {
		if age > latest {
			n++
		}
	})
	return n
}

// Feasible says why a job can never run, or nil.
func Feasible(d *Spec, types []MachineType, teams []settings.Team) error {
	i := slices.IndexFunc(teams, func(t settings.Team) bool { return t.Name == d.Team })
	if i < 0 {
		return fmt.Errorf("unknown team %q", d.Team)
	}
	if !slices.ContainsFunc(types, func(t MachineType) bool { return t.CanRun(d) }) {
		return errors.New("a task fits no allowed machine type")
	}
	n := 1.0
	if d.IsService() || d.IsGang() {
		n = float64(d.Tasks)
	}
	// A limit of 0 means none may be used: "The value 0 means none".
	if d.CPUs*n > teams[i].CPUsMax+1e-9 || d.GPUs*n > teams[i].GPUsMax+1e-9 {
		return errors.New("needs more than the team's limit")
	}
	return nil
}
