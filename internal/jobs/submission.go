package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
)

// Upper bounds for the values in a submission.
const (
	maxNameBytes = 200  // length of the class, team and image names
	maxAmount    = 1e12 // amount of a resource, gigabytes or seconds
)

// submission is the JSON body of a submission. Every field is a pointer, to distinguish a
// missing field from a zero value.
type submission struct {
	ID                        *string   `json:"id"`
	Class                     *string   `json:"lane"`
	Team                      *string   `json:"crew"`
	Shape                     *string   `json:"shape"`
	Urgency                   *string   `json:"urgency"`
	Tasks                     *int      `json:"pieces"`
	CPUs                      *float64  `json:"cpus"`
	GPUs                      *float64  `json:"cards"`
	MemoryGB                  *float64  `json:"memoryGb"`
	Image                     *string   `json:"kit"`
	ImageGB                   *float64  `json:"pullGb"`
	MachineTypes              *[]string `json:"builds"`
	Zone                      *string   `json:"yard"`
	SameZone                  *bool     `json:"samePlace"`
	Spread                    *bool     `json:"spread"`
	Spot                      *bool     `json:"loaners"`
	EstimateSeconds           *float64  `json:"expectS"`
	CheckpointIntervalSeconds *float64  `json:"snapshotS"`
	CheckpointSeconds         *float64  `json:"flushS"`
	DeadlineSeconds           *float64  `json:"dueS"`
}

// FieldError reports an invalid field of a submission. Its text is sent to users.
type FieldError struct {
	Field  string // name on the wire, "" for the submission as a whole
	Reason string
}

// Error names the field and the reason in one line.
func (e *FieldError) Error() string { return fmt.Sprintf("field %q: %s", e.Field, e.Reason) }

// submissionTypeName is the type name in the error text for a submission that is not a JSON
// object. It is fixed, independent of the Go type's name, because users may match the text:
// the first versions of lemonmoor answered with this name.
const submissionTypeName = "jobs.wire"

// Parse decodes and validates a submission. Nullable fields may also be missing; unknown
// fields are ignored. It returns a *FieldError if a field is missing or invalid, and another
// error if the body is not valid JSON.
func Parse(body []byte) (*Spec, error) {
	var submitted submission
	if err := json.Unmarshal(body, &submitted); err != nil {
		return nil, describeDecodeError(err)
	}
	if name := submitted.missingField(); name != "" {
		return nil, &FieldError{name, "missing"}
	}
	spec, err := submitted.spec()
	if err != nil {
		return nil, err
	}
	if err := spec.checkNames(); err != nil {
		return nil, err
	}
	if err := spec.checkAmounts(); err != nil {
		return nil, err
	}
	return spec, nil
}

// describeDecodeError converts a JSON decoding error into an error that names the field as
// users send it.
func describeDecodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	wantedType := typeError.Type.String()
	if typeError.Type == reflect.TypeFor[submission]() {
		wantedType = submissionTypeName
	}
	return &FieldError{typeError.Field, fmt.Sprintf("want %s, not %s", wantedType, typeError.Value)}
}

// spec converts a submission without missing fields to a Spec. Nullable fields are rejected
// if they are empty.
func (s *submission) spec() (*Spec, error) {
	spec := &Spec{
		ID: *s.ID, Class: *s.Class, Team: *s.Team, Shape: Shape(*s.Shape), Urgency: *s.Urgency,
		Tasks: *s.Tasks, CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image,
		ImageGB: *s.ImageGB, SameZone: *s.SameZone, Spread: *s.Spread, Spot: *s.Spot,
		EstimateSeconds: *s.EstimateSeconds, CheckpointIntervalSeconds: *s.CheckpointIntervalSeconds,
		CheckpointSeconds: *s.CheckpointSeconds, DeadlineSeconds: s.DeadlineSeconds,
	}
	if s.MachineTypes != nil {
		if len(*s.MachineTypes) == 0 {
			return nil, &FieldError{"builds", "empty"}
		}
		spec.MachineTypes = *s.MachineTypes
	}
	if s.Zone != nil {
		if *s.Zone == "" {
			return nil, &FieldError{"yard", "empty"}
		}
		spec.Zone = *s.Zone
	}
	return spec, nil
}

// missingField returns the name of the first required field that is missing, "" if none is.
func (s *submission) missingField() string {
	for _, field := range []struct {
		name      string
		isMissing bool
	}{
		{"id", s.ID == nil},
		{"lane", s.Class == nil},
		{"crew", s.Team == nil},
		{"shape", s.Shape == nil},
		{"urgency", s.Urgency == nil},
		{"pieces", s.Tasks == nil},
		{"cpus", s.CPUs == nil},
		{"cards", s.GPUs == nil},
		{"memoryGb", s.MemoryGB == nil},
		{"kit", s.Image == nil},
		{"pullGb", s.ImageGB == nil},
		{"samePlace", s.SameZone == nil},
		{"spread", s.Spread == nil},
		{"loaners", s.Spot == nil},
		{"expectS", s.EstimateSeconds == nil},
		{"snapshotS", s.CheckpointIntervalSeconds == nil},
		{"flushS", s.CheckpointSeconds == nil},
	} {
		if field.isMissing {
			return field.name
		}
	}
	return ""
}

// checkNames validates the ID, the enumerated fields and the lengths of the names.
func (s *Spec) checkNames() error {
	if !ValidID(s.ID) {
		return &FieldError{"id", "not of the form wk-000412"}
	}
	if _, isKnown := parsePriority(s.Urgency); !isKnown {
		return &FieldError{"urgency", fmt.Sprintf("unknown value %q", s.Urgency)}
	}
	if !s.Shape.isKnown() {
		return &FieldError{"shape", fmt.Sprintf("unknown value %q", s.Shape)}
	}
	for _, field := range []struct{ name, value string }{{"lane", s.Class}, {"crew", s.Team}, {"kit", s.Image}} {
		if field.value == "" || len(field.value) > maxNameBytes {
			return &FieldError{field.name, "empty or too long"}
		}
	}
	return nil
}

// checkAmounts validates the ranges of the numeric fields.
func (s *Spec) checkAmounts() error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return &FieldError{"pieces", fmt.Sprintf("outside 1 to %d", MaxTasks)}
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"cpus", s.CPUs},
		{"cards", s.GPUs},
		{"memoryGb", s.MemoryGB},
		{"pullGb", s.ImageGB},
		{"expectS", s.EstimateSeconds},
		{"snapshotS", s.CheckpointIntervalSeconds},
		{"flushS", s.CheckpointSeconds},
	} {
		if field.value < 0 || math.IsNaN(field.value) || field.value > maxAmount {
			return &FieldError{field.name, "negative or too large"}
		}
	}
	if s.DeadlineSeconds != nil && *s.DeadlineSeconds < 0 {
		return &FieldError{"dueS", "negative"}
	}
	return nil
}
