package settings

import (
	"fmt"
	"math"
	"net"

	"lemonmoor/internal/tuning"
)

// FieldError reports an invalid field of the platform's settings.
type FieldError struct {
	Field  string // full path, such as deployment.state.rps
	Reason string
}

// Error returns the field and the reason in one line.
func (e *FieldError) Error() string { return fmt.Sprintf("field %q: %s", e.Field, e.Reason) }

// check returns a *FieldError for the first field that is missing or invalid.
func (s *Settings) check() error {
	for _, check := range []func() error{s.checkAddresses, s.checkPeers, s.checkTeams, s.checkAmounts, s.checkNextLimits, s.checkWorkers} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	if s.Node == "" {
		return &FieldError{"node", "missing"}
	}
	for _, address := range []struct{ name, value string }{
		{"serve_on", s.ServeOn},
		{"peer_bind", s.PeerBind},
		{"external.cloud", s.External.Cloud},
		{"external.state", s.External.State},
	} {
		if address.value == "" {
			return &FieldError{address.name, "missing"}
		}
		if err := checkHostPort(address.name, address.value); err != nil {
			return err
		}
	}
	return nil
}

func checkHostPort(name, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &FieldError{name, "not an address of the form host:port: " + address}
	}
	return nil
}

func (s *Settings) checkPeers() error {
	seenNodes := map[string]bool{s.Node: true}
	for i, peer := range s.Seeds {
		name := fmt.Sprintf("seeds[%d]", i)
		if peer.Node == "" {
			return &FieldError{name + ".node", "missing"}
		}
		if seenNodes[peer.Node] {
			return &FieldError{name + ".node", "named twice: " + peer.Node}
		}
		seenNodes[peer.Node] = true
		if err := checkHostPort(name+".endpoint", peer.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkTeams() error {
	if len(s.Deployment.Teams) == 0 {
		return &FieldError{"deployment.teams", "missing or empty"}
	}
	seenTeams := map[string]bool{}
	for i, team := range s.Deployment.Teams {
		name := fmt.Sprintf("deployment.teams[%d]", i)
		switch {
		case team.Name == "":
			return &FieldError{name + ".name", "missing"}
		case seenTeams[team.Name]:
			return &FieldError{name + ".name", "named twice: " + team.Name}
		case team.CPUs < 0 || team.CPUsMax < 0 || team.GPUs < 0 || team.GPUsMax < 0:
			return &FieldError{name, "negative amount"}
		case team.CPUsMax > 0 && team.CPUs > team.CPUsMax:
			return &FieldError{name + ".cpus", "above cpus_max"}
		case team.GPUsMax > 0 && team.GPUs > team.GPUsMax:
			return &FieldError{name + ".gpus", "above gpus_max"}
		}
		seenTeams[team.Name] = true
	}
	return nil
}

func (s *Settings) checkAmounts() error {
	deployment := &s.Deployment
	for _, amount := range []struct {
		name  string
		value float64
	}{
		{"deployment.workers.report_s", deployment.Workers.ReportS},
		{"deployment.workers.lease_s", deployment.Workers.LeaseS},
		{"deployment.workers.cancel_s", deployment.Workers.CancelS},
		{"deployment.state.rps", deployment.State.RPS},
		{"deployment.state.write_rps", deployment.State.WriteRPS},
		{"deployment.state.value_kb", deployment.State.ValueKB},
		{"deployment.state.txn_ops", float64(deployment.State.TxnOps)},
		{"deployment.cloud.rps", deployment.Cloud.RPS},
		{"deployment.quota.core_share", deployment.Quota.CoreShare},
		{"deployment.quota.mem_mb", deployment.Quota.MemMB},
	} {
		if amount.value <= 0 || math.IsInf(amount.value, 0) {
			return &FieldError{amount.name, "missing or not above 0"}
		}
	}
	return nil
}

// checkNextLimits checks the future limits of the state service. Limits under which nothing
// could be stored are refused when the node starts, not when they come into force.
func (s *Settings) checkNextLimits() error {
	next := s.Deployment.State.Next
	if next == nil {
		return nil
	}
	operations := 1.0
	if next.TxnOps != nil {
		operations = float64(*next.TxnOps)
	}
	for _, limit := range []struct {
		name  string
		value *float64
		bound float64 // exclusive lower bound of the value
	}{
		{"rps", next.RPS, 0}, {"write_rps", next.WriteRPS, 0}, {"txn_ops", &operations, 0}, {"value_kb", next.ValueKB, tuning.MinValueLimitKB},
	} {
		if limit.value != nil && (*limit.value <= limit.bound || math.IsInf(*limit.value, 0)) {
			return &FieldError{"deployment.state.next." + limit.name, fmt.Sprintf("not above %g", limit.bound)}
		}
	}
	return nil
}

// checkWorkers refuses times under which a cancelled task could run longer than cancel_s.
func (s *Settings) checkWorkers() error {
	workers := &s.Deployment.Workers
	if workers.GangWaitS < 0 || workers.GangPeerS < 0 {
		return &FieldError{"deployment.workers", "gang_wait_s or gang_peer_s is negative"}
	}
	if workers.ReportS >= workers.LeaseS {
		return &FieldError{"deployment.workers.report_s", "not below lease_s"}
	}
	if maxAge := s.MaxKnowledgeAge(); maxAge < tuning.MinKnowledgeAgeLimit {
		return &FieldError{"deployment.workers.cancel_s", fmt.Sprintf(
			"leaves %.1f s above lease_s and a margin of %.1f s for the owner of a machine to learn of a cancellation, but %.1f s are needed: "+
				"a task whose machine is cut off after its last heartbeat was answered could run longer than cancel_s",
			maxAge.Seconds(), s.knowledgeReserve().Seconds(), tuning.MinKnowledgeAgeLimit.Seconds())}
	}
	return nil
}
