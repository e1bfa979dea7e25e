// Package settings reads the platform's settings file (JSON) and the
// operators' own (HCL).
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"

	"lemonmoor/internal/tuning"
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

	blocks int // see SetShardCount
}

// Operator is the operators' own settings. Every one has a default.
type Operator struct {
	// WaitBoundS is the wait in the extra queue after which a task goes
	// first, in seconds.
	WaitBoundS *float64 `hcl:"wait_bound_s,optional"`
	// IdleKeepS is how long a machine without tasks is kept, in seconds.
	IdleKeepS *float64 `hcl:"idle_keep_s,optional"`
	// Drains turns stepwise drains on.
	Drains *Drains `hcl:"drains,block"`
}

// Load reads the platform's file and, if hclPath is not empty, the
// operators'.
func Load(path, hclPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if hclPath != "" {
		src, err := os.ReadFile(hclPath)
		if err != nil {
			return nil, fmt.Errorf("read operators' settings: %w", err)
		}
		if s.Operator, err = ParseOperator(hclPath, src); err != nil {
			return nil, err
		}
		if team := s.unknownTeam(); team != "" {
			return nil, fmt.Errorf("%s:%d: drains: team: there is no team %q", hclPath, lineOf(src, `"`+team+`"`), team)
		}
	}
	return s, nil
}

// Parse reads the platform's settings; unknown fields are ignored.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(raw, &s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("settings: field %q: want %s, not %s", te.Field, te.Type, te.Value)
		}
		return nil, fmt.Errorf("settings: not valid JSON: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	for _, check := range []func() error{s.checkAddresses, s.checkPeers, s.checkTeams, s.checkAmounts, s.checkNext, s.checkWorkers} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// fault says what is wrong with a field.
func fault(name, problem string) error { return fmt.Errorf("field %q: %s", name, problem) }

func (s *Settings) checkAddresses() error {
	if s.Node == "" {
		return fault("node", "missing")
	}
	for name, addr := range map[string]string{
		"serve_on": s.ServeOn, "peer_bind": s.PeerBind,
		"external.cloud": s.External.Cloud, "external.state": s.External.State,
	} {
		if addr == "" {
			return fault(name, "missing")
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fault(name, "not an address of the form host:port: "+addr)
		}
	}
	return nil
}

func (s *Settings) checkPeers() error {
	seen := map[string]bool{s.Node: true}
	for i, p := range s.Seeds {
		name := fmt.Sprintf("seeds[%d]", i)
		if p.Node == "" {
			return fault(name+".node", "missing")
		}
		if seen[p.Node] {
			return fault(name+".node", "named twice: "+p.Node)
		}
		seen[p.Node] = true
		if _, _, err := net.SplitHostPort(p.Endpoint); err != nil {
			return fault(name+".endpoint", "not an address of the form host:port: "+p.Endpoint)
		}
	}
	return nil
}

func (s *Settings) checkTeams() error {
	if len(s.Deployment.Teams) == 0 {
		return fault("deployment.teams", "missing or empty")
	}
	teams := map[string]bool{}
	for i, t := range s.Deployment.Teams {
		name := fmt.Sprintf("deployment.teams[%d]", i)
		switch {
		case t.Name == "":
			return fault(name+".name", "missing")
		case teams[t.Name]:
			return fault(name+".name", "named twice: "+t.Name)
		case t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0:
			return fault(name, "negative amount")
		case t.CPUsMax > 0 && t.CPUs > t.CPUsMax:
			return fault(name+".cpus", "above cpus_max")
		case t.GPUsMax > 0 && t.GPUs > t.GPUsMax:
			return fault(name+".gpus", "above gpus_max")
		}
		teams[t.Name] = true
	}
	return nil
}

func (s *Settings) checkAmounts() error {
	d := &s.Deployment
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"deployment.workers.report_s", d.Workers.ReportS},
		{"deployment.workers.lease_s", d.Workers.LeaseS},
		{"deployment.workers.cancel_s", d.Workers.CancelS},
		{"deployment.state.rps", d.State.RPS},
		{"deployment.state.write_rps", d.State.WriteRPS},
		{"deployment.state.value_kb", d.State.ValueKB},
		{"deployment.state.txn_ops", float64(d.State.TxnOps)},
		{"deployment.cloud.rps", d.Cloud.RPS},
		{"deployment.quota.core_share", d.Quota.CoreShare},
		{"deployment.quota.mem_mb", d.Quota.MemMB},
	} {
		if f.value <= 0 || math.IsInf(f.value, 0) {
			return fault(f.name, "missing or not above 0")
		}
	}
	return nil
}

func (s *Settings) checkNext() error {
	n := s.Deployment.State.Next
	if n == nil {
		return nil
	}
	ops := 1.0
	if n.TxnOps != nil {
		ops = float64(*n.TxnOps)
	}
	for _, f := range []struct {
		name  string
		value *float64
		least float64
	}{
		{"rps", n.RPS, 0}, {"write_rps", n.WriteRPS, 0}, {"txn_ops", &ops, 0}, {"value_kb", n.ValueKB, tuning.MinValueLimitKB},
	} {
		if f.value != nil && (*f.value <= f.least || math.IsInf(*f.value, 0)) {
			return fault("deployment.state.next."+f.name, fmt.Sprintf("not above %g", f.least))
		}
	}
	return nil
}

func (s *Settings) checkWorkers() error {
	w := &s.Deployment.Workers
	if w.GangWaitS < 0 || w.GangPeerS < 0 {
		return fault("deployment.workers", "gang_wait_s or gang_peer_s is negative")
	}
	if w.ReportS >= w.LeaseS {
		return fault("deployment.workers.report_s", "not below lease_s")
	}
	if room := s.MaxKnowledgeAge(); room < tuning.MinKnowledgeAgeLimit {
		return fault("deployment.workers.cancel_s", fmt.Sprintf("leaves %.1f s above lease_s for the owner of a machine to learn of a cancellation, and %.1f s of margin; it takes %.1f s, "+
			"and a task of a machine that was answered before and is cut off then would outlive cancel_s", room.Seconds(), s.knowSlack().Seconds(), tuning.MinKnowledgeAgeLimit.Seconds()))
	}
	return nil
}

// ParseOperator reads the operators' settings; an unknown or out-of-range one
// is refused with file, line and reason.
func ParseOperator(name string, src []byte) (Operator, error) {
	var op Operator
	if err := hclsimple.Decode(name, src, nil, &op); err != nil {
		var diags hcl.Diagnostics
		if errors.As(err, &diags) && len(diags) > 0 && diags[0].Subject != nil {
			d := diags[0]
			return op, fmt.Errorf("%s:%d: %s: %s", name, d.Subject.Start.Line, d.Summary, d.Detail)
		}
		return op, fmt.Errorf("%s: %w", name, err)
	}
	for _, f := range []struct {
		key      string
		value    *float64
		min, max float64
	}{
		{"wait_bound_s", op.WaitBoundS, 0, 86400},
		{"idle_keep_s", op.IdleKeepS, 0, 86400},
	} {
		if f.value != nil && (*f.value < f.min || *f.value > f.max || math.IsNaN(*f.value)) {
			return op, fmt.Errorf("%s:%d: %s: %g is outside %g to %g", name, lineOf(src, f.key), f.key, *f.value, f.min, f.max)
		}
	}
	if op.Drains != nil {
		if f := op.Drains.fault(); f != nil {
			start := max(0, bytes.Index(src, []byte(f.block)))
			line := bytes.Count(src[:start], []byte("\n")) + lineOf(src[start:], f.key)
			return op, fmt.Errorf("%s:%d: drains: %s: %s", name, line, f.key, f.why)
		}
	}
	return op, nil
}

// lineOf finds the line that sets a key.
func lineOf(src []byte, key string) int {
	line := 1
	for i := 0; i+len(key) <= len(src); i++ {
		if src[i] == '\n' {
			line++
		}
		if string(src[i:i+len(key)]) == key && (i == 0 || src[i-1] == '\n' || src[i-1] == ' ' || src[i-1] == '\t') {
			return line
		}
	}
	return 1
}

// seconds turns a decimal number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// HeartbeatInterval is the time between two reports of a worker.
func (s *Settings) HeartbeatInterval() time.Duration { return seconds(s.Deployment.Workers.ReportS) }

// WorkerDeadAfter is how long a machine is silent before it counts as dead.
func (s *Settings) WorkerDeadAfter() time.Duration {
	return time.Duration(tuning.DeadWorkerIntervals*float64(s.HeartbeatInterval())) + tuning.DeadWorkerSlack
}

// OwnerSilenceLimit is how long an owner of so many machines hears none of them before
// it is the owner that is cut off.
func (s *Settings) OwnerSilenceLimit(hosts int) time.Duration {
	intervals := tuning.OwnerSilenceIntervals
	if hosts >= tuning.ManyWorkers {
		intervals /= 2
	}
	return time.Duration(intervals*float64(s.HeartbeatInterval())) + tuning.OwnerSilenceSlack
}

// IsZonePartitioned tells whether the silence of a whole zone with so many machines means
// that it is cut off: many reports would have come in that time.
func (s *Settings) IsZonePartitioned(machines int, silence time.Duration) bool {
	return silence > tuning.ZonePartitionAfter &&
		float64(machines)*float64(tuning.ZonePartitionAfter) >= tuning.ZonePartitionHeartbeats*float64(s.HeartbeatInterval())
}

// WorkerLease is how long a worker goes on without an answer.
func (s *Settings) WorkerLease() time.Duration { return seconds(s.Deployment.Workers.LeaseS) }

// ListLag is how far the cloud's machine list is behind, as a rule.
func (s *Settings) ListLag() time.Duration { return seconds(s.Deployment.Cloud.ListLagS) }

// GangWaitTimeout is how long a task of a gang waits for the others before it gives up.
func (s *Settings) GangWaitTimeout() time.Duration {
	return seconds(orElse(s.Deployment.Workers.GangWaitS, tuning.DefaultGangWaitTimeout.Seconds()))
}

// GangPeerTimeout is how soon the tasks of a gang notice that one of them is gone, and
// within which all must be told to save.
func (s *Settings) GangPeerTimeout() time.Duration {
	return seconds(orElse(s.Deployment.Workers.GangPeerS, tuning.DefaultGangPeerTimeout.Seconds()))
}

func orElse(v, other float64) float64 {
	if v > 0 {
		return v
	}
	return other
}

// MaxValueBytes is the most that a value in the state service may hold, now and
// after its limits have changed.
func (s *Settings) MaxValueBytes() int {
	kb := s.Deployment.State.ValueKB
	if n := s.Deployment.State.Next; n != nil && n.ValueKB != nil {
		kb = min(kb, *n.ValueKB)
	}
	return int(kb * 1024 * tuning.ValueLimitShare)
}

// MaxOperations is the most changes in a commit, now and after the limits have changed.
func (s *Settings) MaxOperations() int {
	ops := s.Deployment.State.TxnOps
	if n := s.Deployment.State.Next; n != nil && n.TxnOps != nil {
		ops = min(ops, *n.TxnOps)
	}
	return ops
}

// FutureWriteShare is the part of the changes a second that may be left after the
// limits have changed, 1 if they will not.
func (s *Settings) FutureWriteShare() float64 {
	if n := s.Deployment.State.Next; n != nil && n.WriteRPS != nil {
		return min(1, *n.WriteRPS/s.Deployment.State.WriteRPS)
	}
	return 1
}

// AnswerGracePeriod is how long an owner past its lease may answer reports: lease, hold
// and the workers' lease together stay below the cancellation limit.
func (s *Settings) AnswerGracePeriod() time.Duration {
	room := seconds(s.Deployment.Workers.CancelS) - tuning.LeaseTTL - s.WorkerLease() - tuning.CancellationReserve
	return max(0, min(room, tuning.MaxAnswerGracePeriod))
}

// MaxKnowledgeAge is how long after a cancellation a machine that may have a task of
// the job can still be answered, and so the greatest age of an owner's knowledge of
// cancellations: the answer renews the worker's lease, and the task must be gone in
// time even if nothing reaches the worker after it.
func (s *Settings) MaxKnowledgeAge() time.Duration {
	lease := s.WorkerLease()
	return seconds(s.Deployment.Workers.CancelS) - lease - lease*tuning.DriftPerMille/1000 - s.knowSlack()
}

// knowSlack is what is kept free of that: less where the times are short.
func (s *Settings) knowSlack() time.Duration {
	room := seconds(s.Deployment.Workers.CancelS) - s.WorkerLease()
	return min(tuning.KnowledgeReserve, time.Duration(float64(room)*tuning.KnowledgeReserveShare))
}

// ClockSkew bounds the difference of two nodes' times of day.
func (s *Settings) ClockSkew() time.Duration {
	return 2 * time.Duration(s.Deployment.SkewMS*float64(time.Millisecond))
}

// SetShardCount sets the number of blocks to the one that was found stored.
func (s *Settings) SetShardCount(blocks int) { s.blocks = blocks }

// ShardCount is the number of blocks that the machines are divided into: one for
// so many guaranteed processors, at most one for each controller. It follows
// from what all controllers are given alike, unless another one is stored.
func (s *Settings) ShardCount() int {
	if s.blocks > 0 {
		return s.blocks
	}
	cpus := 0.0
	for _, t := range s.Deployment.Teams {
		cpus += t.CPUs
	}
	return max(1, min(int(cpus/tuning.CPUsPerShard), len(s.Seeds)+1))
}

// FreshnessCheckInterval is the least time between two freshness checks of one node: all
// nodes' together take a part of the state service's requests.
func (s *Settings) FreshnessCheckInterval() time.Duration {
	return max(tuning.FreshnessCheckInterval, seconds(float64(len(s.Seeds)+1)/(tuning.FreshnessCheckShare*s.Deployment.State.RPS)))
}

// WatchPause is how long a node that leads or owns a block rests after changes
// before it watches on, for the same reason; the leader and every owner keep
// two copies current.
func (s *Settings) WatchPause() time.Duration {
	active := 2 * min(s.ShardCount()+1, len(s.Seeds)+1)
	return seconds(float64(active) / (tuning.WatchRequestShare * s.Deployment.State.RPS))
}

// EachObjectiveDeadline calls fn for each aim of a class of jobs with the latest age, in seconds,
// at which a task may start that takes so long, for the aim to be met.
func (s *Settings) EachObjectiveDeadline(class string, estimateS float64, deadlineS *float64, fn func(latest float64)) {
	for _, o := range s.Deployment.Objectives {
		switch {
		case o.Class != class:
		case o.Kind == "finished":
			fn(o.WithinS - estimateS)
		case o.Kind == "wait":
			fn(o.WithinS)
		case o.Kind == "deadline" && deadlineS != nil:
			fn(*deadlineS*max(o.Times, 1) - estimateS)
		}
	}
}

// StartsPromptly tells whether the users expect the tasks of a class to start so soon that
// a machine that is rented when they come is too late.
func (s *Settings) StartsPromptly(class string) bool {
	for _, o := range s.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == class && o.WithinS < tuning.PromptStartWithin.Seconds() {
			return true
		}
	}
	return false
}

// WaitBound is the longest wait in the extra queue before a task goes first.
func (s *Settings) WaitBound() time.Duration {
	if v := s.Operator.WaitBoundS; v != nil {
		return seconds(*v)
	}
	return tuning.WaitBound
}

// MachineIdleTimeout is how long a machine without tasks is kept.
func (s *Settings) MachineIdleTimeout() time.Duration {
	if v := s.Operator.IdleKeepS; v != nil {
		return seconds(*v)
	}
	return tuning.MachineIdleTimeout
}
