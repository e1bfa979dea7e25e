package jobs

import (
	"errors"
	"fmt"
	"slices"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/settings"
)

// MachineType describes a machine type offered by the cloud. Prices are per hour.
type MachineType struct {
	Name             string   `json:"label"`
	CPUs             float64  `json:"cpus"`
	GPUs             float64  `json:"cards"`
	MemoryGB         float64  `json:"memoryGb"`
	CacheGB          float64  `json:"cacheGb"`    // size of the image cache
	ImageGBPerSecond float64  `json:"pullGbPerS"` // image download rate
	Price            float64  `json:"price"`
	SpotPrice        float64  `json:"spotPrice"`
	BootSeconds      float64  `json:"startupS"` // nominal boot time
	Zones            []string `json:"yards"`
}

// Resources returns the capacity of an empty machine of the type.
func (m *MachineType) Resources() resource.Vector {
	return resource.Vector{CPUs: m.CPUs, GPUs: m.GPUs, MemoryGB: m.MemoryGB}
}

// CanRun reports whether one task of the job fits an empty machine of the type.
func (m *MachineType) CanRun(spec *Spec) bool {
	return (spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, m.Name)) &&
		(spec.Zone == "" || slices.Contains(m.Zones, spec.Zone)) &&
		spec.CPUs <= m.CPUs && spec.GPUs <= m.GPUs && spec.MemoryGB <= m.MemoryGB
}

// Errors returned by Feasible for jobs that can never run.
var (
	ErrUnknownTeam   = errors.New("unknown team")
	ErrNoMachineType = errors.New("a task fits no allowed machine type")
	ErrAboveQuota    = errors.New("needs more than the team's limit")
)

// Feasible returns an error that wraps ErrUnknownTeam, ErrNoMachineType or ErrAboveQuota if
// the job can never run, and nil otherwise. The error texts are sent to users.
func Feasible(spec *Spec, types []MachineType, teams []settings.Team) error {
	position := slices.IndexFunc(teams, func(team settings.Team) bool { return team.Name == spec.Team })
	if position < 0 {
		return fmt.Errorf("%w %q", ErrUnknownTeam, spec.Team)
	}
	team := &teams[position]
	if !slices.ContainsFunc(types, func(machineType MachineType) bool { return machineType.CanRun(spec) }) {
		return ErrNoMachineType
	}
	tasksAtOnce := 1.0
	if spec.IsService() || spec.IsGang() {
		tasksAtOnce = float64(spec.Tasks)
	}
	// A limit of 0 forbids any use of the resource: "The value 0 means none" (PROTOCOL).
	needed := spec.Resources().Times(tasksAtOnce)
	if needed.CPUs > team.CPUsMax+resource.Epsilon || needed.GPUs > team.GPUsMax+resource.Epsilon {
		return ErrAboveQuota
	}
	return nil
}
