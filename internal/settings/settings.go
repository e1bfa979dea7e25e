// Package settings reads the platform's settings file (JSON) and the
// operators' own (HCL).
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
	Endpoint string `json:"endpoint"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective repeats one of the users' aims.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// NextLimits are the limits that the state service will have later.
type NextLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Settings is the platform's file.
type Settings struct {
	Node     string `json:"node"`
	Area     string `json:"area"`
	ServeOn  string `json:"serve_on"`
	PeerBind string `json:"peer_bind"`
	Seeds    []Peer `json:"seeds"`
	External struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"external"`
	Deployment struct {
		InitialSize int         `json:"initial_size"`
		Zones       []string    `json:"zones"`
		Teams       []Team      `json:"teams"`
		Objectives  []Objective `json:"objectives"`
		Workers     struct {
			ReportS   float64 `json:"report_s"`
			LeaseS    float64 `json:"lease_s"`
			CancelS   float64 `json:"cancel_s"`
			GangWaitS float64 `json:"gang_wait_s"`
			GangPeerS float64 `json:"gang_peer_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`
			WriteRPS float64 `json:"write_rps"`
			ValueKB  float64 `json:"value_kb"`
			TxnOps   int     `json:"txn_ops"`
			// Next is what the service will allow from some moment on; nil, in
			// whole or in part, means no change.
			Next *NextLimits `json:"next"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Quota struct {
			CoreShare float64 `json:"core_share"`
			MemMB     float64 `json:"mem_mb"`
			Sockets   int     `json:"sockets"`
		} `json:"quota"`
		SkewMS float64 `json:"skew_ms"`
	} `json:"deployment"`

	// Operator holds what the operators set themselves.
	Operator Operator `json:"-"`

	storedShardCount int // see SetShardCount
}

// Load reads the platform's file and, if hclPath is not empty, the
// operators'.
func Load(path, hclPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if hclPath != "" {
		source, err := os.ReadFile(hclPath)
		if err != nil {
			return nil, fmt.Errorf("read operators' settings: %w", err)
		}
		if settings.Operator, err = ParseOperator(hclPath, source); err != nil {
			return nil, err
		}
		if team := settings.unknownTeam(); team != "" {
			return nil, fmt.Errorf("%s:%d: drains: team: there is no team %q", hclPath, lineOf(source, `"`+team+`"`), team)
		}
	}
	return settings, nil
}

// Parse reads the platform's settings; unknown fields are ignored.
func Parse(raw []byte) (*Settings, error) {
	var settings Settings
	if err := json.Unmarshal(raw, &settings); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("settings: field %q: want %s, not %s", typeError.Field, typeError.Type, typeError.Value)
		}
		return nil, fmt.Errorf("settings: not valid JSON: %w", err)
	}
	if err := settings.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &settings, nil
}
