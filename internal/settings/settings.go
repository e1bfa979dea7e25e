// Package settings reads the platform's settings file (JSON) and the operators' own (HCL),
// validates them, and derives the durations and limits that the other packages use.
//
// Its only state is the contents of the files and the number of shards found in the state
// service. A node must not start with settings that are refused here: a wrong duration would
// break the guarantees of the leases and fencing tokens. Constants that are not in a file are
// in internal/tuning.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// Peer is another controller.
type Peer struct {
	Node     string `json:"node"`
	Area     string `json:"area"`
	Endpoint string `json:"endpoint"` // host:port
}

// Team is a team's quota of processors and GPUs. CPUs and GPUs are guaranteed; CPUsMax and
// GPUsMax are the maximum that the team may use. The value 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective of the users.
type Objective struct {
	Kind    string  `json:"kind"` // see the objective constants
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"` // seconds
	Share   float64 `json:"share"`    // of the jobs of the class that must meet it, 0 to 1
	Times   float64 `json:"times"`    // multiple of the job's deadline
}

// NextLimits are the future limits of the state service; nil for those that do not change.
type NextLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Settings contains the platform's settings and the operators' settings.
type Settings struct {
	Node     string `json:"node"` // name of this controller
	Area     string `json:"area"`
	ServeOn  string `json:"serve_on"`  // address for users and workers
	PeerBind string `json:"peer_bind"` // address for the other controllers
	Seeds    []Peer `json:"seeds"`     // the other controllers
	External struct {
		Cloud string `json:"cloud"` // address
		State string `json:"state"` // address
	} `json:"external"`
	Deployment struct {
		InitialSize int         `json:"initial_size"`
		Zones       []string    `json:"zones"`
		Teams       []Team      `json:"teams"`
		Objectives  []Objective `json:"objectives"`
		Workers     struct {
			ReportS   float64 `json:"report_s"` // seconds between heartbeats
			LeaseS    float64 `json:"lease_s"`  // seconds that a worker continues without an answer
			CancelS   float64 `json:"cancel_s"` // seconds within which a cancelled task must be gone
			GangWaitS float64 `json:"gang_wait_s"`
			GangPeerS float64 `json:"gang_peer_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`       // requests a second
			WriteRPS float64 `json:"write_rps"` // changes a second
			ValueKB  float64 `json:"value_kb"`
			TxnOps   int     `json:"txn_ops"` // operations in a commit
			// Next is the limits that come into force at a later time. If Next is nil, no
			// limit changes; if one of its fields is nil, that limit does not.
			Next *NextLimits `json:"next"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"` // requests a second
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Quota struct { // of this process
			CoreShare float64 `json:"core_share"`
			MemMB     float64 `json:"mem_mb"`
			Sockets   int     `json:"sockets"`
		} `json:"quota"`
		SkewMS float64 `json:"skew_ms"` // maximum error of a clock, in milliseconds
	} `json:"deployment"`

	// Operator is the operators' own settings.
	Operator Operator `json:"-"`

	storedShardCount int // see SetShardCount
}

// Load reads the platform's file and, if operatorPath is not empty, the operators' file. The
// error for an invalid setting wraps a *FieldError or is an *OperatorError; its text names the
// file.
func Load(path, operatorPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if operatorPath == "" {
		return settings, nil
	}
	if err := settings.loadOperator(operatorPath); err != nil {
		return nil, err
	}
	return settings, nil
}

func (s *Settings) loadOperator(path string) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read operators' settings: %w", err)
	}
	if s.Operator, err = ParseOperator(path, source); err != nil {
		return err
	}
	if team := s.unknownTeam(); team != "" {
		return &OperatorError{path, lineOf(source, `"`+team+`"`), "drains: team", fmt.Sprintf("there is no team %q", team)}
	}
	return nil
}

// Parse parses the platform's settings; unknown fields are ignored. The error for an invalid
// field wraps a *FieldError.
func Parse(raw []byte) (*Settings, error) {
	var settings Settings
	if err := json.Unmarshal(raw, &settings); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			err = &FieldError{typeError.Field, fmt.Sprintf("want %s, not %s", typeError.Type, typeError.Value)}
			return nil, fmt.Errorf("settings: %w", err)
		}
		return nil, fmt.Errorf("settings: not valid JSON: %w", err)
	}
	if err := settings.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &settings, nil
}
