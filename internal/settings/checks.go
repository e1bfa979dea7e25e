package settings

import (
	"fmt"
	"math"
	"net"

	"lemonmoor/internal/tuning"
)

func (s *Settings) check() error {
	for _, check := range []func() error{s.checkAddresses, s.checkPeers, s.checkTeams, s.checkAmounts, s.checkNextLimits, s.checkWorkers} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// fieldError says what is wrong with a field.
func fieldError(name, reason string) error { return fmt.Errorf("field %q: %s", name, reason) }

func (s *Settings) checkAddresses() error {
	if s.Node == "" {
		return fieldError("node", "missing")
	}
	for name, addr := range map[string]string{
		"serve_on": s.ServeOn, "peer_bind": s.PeerBind,
		"external.cloud": s.External.Cloud, "external.state": s.External.State,
	} {
		if addr == "" {
			return fieldError(name, "missing")
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fieldError(name, "not an address of the form host:port: "+addr)
		}
	}
	return nil
}

func (s *Settings) checkPeers() error {
	seenNodes := map[string]bool{s.Node: true}
	for i, peer := range s.Seeds {
		name := fmt.Sprintf("seeds[%d]", i)
		if peer.Node == "" {
			return fieldError(name+".node", "missing")
		}
		if seenNodes[peer.Node] {
			return fieldError(name+".node", "named twice: "+peer.Node)
		}
		seenNodes[peer.Node] = true
		if _, _, err := net.SplitHostPort(peer.Endpoint); err != nil {
			return fieldError(name+".endpoint", "not an address of the form host:port: "+peer.Endpoint)
		}
	}
	return nil
}

func (s *Settings) checkTeams() error {
	if len(s.Deployment.Teams) == 0 {
		return fieldError("deployment.teams", "missing or empty")
	}
	seenTeams := map[string]bool{}
	for i, team := range s.Deployment.Teams {
		name := fmt.Sprintf("deployment.teams[%d]", i)
		switch {
		case team.Name == "":
			return fieldError(name+".name", "missing")
		case seenTeams[team.Name]:
			return fieldError(name+".name", "named twice: "+team.Name)
		case team.CPUs < 0 || team.CPUsMax < 0 || team.GPUs < 0 || team.GPUsMax < 0:
			return fieldError(name, "negative amount")
		case team.CPUsMax > 0 && team.CPUs > team.CPUsMax:
			return fieldError(name+".cpus", "above cpus_max")
		case team.GPUsMax > 0 && team.GPUs > team.GPUsMax:
			return fieldError(name+".gpus", "above gpus_max")
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
			return fieldError(amount.name, "missing or not above 0")
		}
	}
	return nil
}

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
		least float64
	}{
		{"rps", next.RPS, 0}, {"write_rps", next.WriteRPS, 0}, {"txn_ops", &operations, 0}, {"value_kb", next.ValueKB, tuning.MinValueLimitKB},
	} {
		if limit.value != nil && (*limit.value <= limit.least || math.IsInf(*limit.value, 0)) {
			return fieldError("deployment.state.next."+limit.name, fmt.Sprintf("not above %g", limit.least))
		}
	}
	return nil
}

func (s *Settings) checkWorkers() error {
	workers := &s.Deployment.Workers
	if workers.GangWaitS < 0 || workers.GangPeerS < 0 {
		return fieldError("deployment.workers", "gang_wait_s or gang_peer_s is negative")
	}
	if workers.ReportS >= workers.LeaseS {
		return fieldError("deployment.workers.report_s", "not below lease_s")
	}
	if maxAge := s.MaxKnowledgeAge(); maxAge < tuning.MinKnowledgeAgeLimit {
		return fieldError("deployment.workers.cancel_s", fmt.Sprintf("leaves %.1f s above lease_s for the owner of a machine to learn of a cancellation, and %.1f s of margin; it takes %.1f s, "+
			"and a task of a machine that was answered before and is cut off then would outlive cancel_s", maxAge.Seconds(), s.knowledgeReserve().Seconds(), tuning.MinKnowledgeAgeLimit.Seconds()))
	}
	return nil
}
