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

	storedShardCount int // see SetShardCount
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

// ParseOperator reads the operators' settings; an unknown or out-of-range one
// is refused with file, line and reason.
func ParseOperator(name string, source []byte) (Operator, error) {
	var operator Operator
	if err := hclsimple.Decode(name, source, nil, &operator); err != nil {
		var diagnostics hcl.Diagnostics
		if errors.As(err, &diagnostics) && len(diagnostics) > 0 && diagnostics[0].Subject != nil {
			first := diagnostics[0]
			return operator, fmt.Errorf("%s:%d: %s: %s", name, first.Subject.Start.Line, first.Summary, first.Detail)
		}
		return operator, fmt.Errorf("%s: %w", name, err)
	}
	for _, f := range []struct {
		key      string
		value    *float64
		min, max float64
	}{
		{"wait_bound_s", operator.WaitBoundS, 0, 86400},
		{"idle_keep_s", operator.IdleKeepS, 0, 86400},
	} {
		if f.value != nil && (*f.value < f.min || *f.value > f.max || math.IsNaN(*f.value)) {
			return operator, fmt.Errorf("%s:%d: %s: %g is outside %g to %g", name, lineOf(source, f.key), f.key, *f.value, f.min, f.max)
		}
	}
	if operator.Drains != nil {
		if f := operator.Drains.check(); f != nil {
			start := max(0, bytes.Index(source, []byte(f.block)))
			line := bytes.Count(source[:start], []byte("\n")) + lineOf(source[start:], f.key)
			return operator, fmt.Errorf("%s:%d: drains: %s: %s", name, line, f.key, f.reason)
		}
	}
	return operator, nil
}

// lineOf finds the line that sets a key.
func lineOf(source []byte, key string) int {
	line := 1
	for i := 0; i+len(key) <= len(source); i++ {
		if source[i] == '\n' {
			line++
		}
		if string(source[i:i+len(key)]) == key && (i == 0 || source[i-1] == '\n' || source[i-1] == ' ' || source[i-1] == '\t') {
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
func (s *Settings) OwnerSilenceLimit(machines int) time.Duration {
	intervals := tuning.OwnerSilenceIntervals
	if machines >= tuning.ManyWorkers {
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
	return seconds(positiveOr(s.Deployment.Workers.GangWaitS, tuning.DefaultGangWaitTimeout.Seconds()))
}

// GangPeerTimeout is how soon the tasks of a gang notice that one of them is gone, and
// within which all must be told to save.
func (s *Settings) GangPeerTimeout() time.Duration {
	return seconds(positiveOr(s.Deployment.Workers.GangPeerS, tuning.DefaultGangPeerTimeout.Seconds()))
}

func positiveOr(value, other float64) float64 {
	if value > 0 {
		return value
	}
	return other
}

// MaxValueBytes is the most that a value in the state service may hold, now and
// after its limits have changed.
func (s *Settings) MaxValueBytes() int {
	kilobytes := s.Deployment.State.ValueKB
	if next := s.Deployment.State.Next; next != nil && next.ValueKB != nil {
		kilobytes = min(kilobytes, *next.ValueKB)
	}
	return int(kilobytes * 1024 * tuning.ValueLimitShare)
}

// MaxOperations is the most changes in a commit, now and after the limits have changed.
func (s *Settings) MaxOperations() int {
	operations := s.Deployment.State.TxnOps
	if next := s.Deployment.State.Next; next != nil && next.TxnOps != nil {
		operations = min(operations, *next.TxnOps)
	}
	return operations
}

// FutureWriteShare is the part of the changes a second that may be left after the
// limits have changed, 1 if they will not.
func (s *Settings) FutureWriteShare() float64 {
	if next := s.Deployment.State.Next; next != nil && next.WriteRPS != nil {
		return min(1, *next.WriteRPS/s.Deployment.State.WriteRPS)
	}
	return 1
}

// AnswerGracePeriod is how long an owner past its lease may answer reports: lease, hold
// and the workers' lease together stay below the cancellation limit.
func (s *Settings) AnswerGracePeriod() time.Duration {
	available := seconds(s.Deployment.Workers.CancelS) - tuning.LeaseTTL - s.WorkerLease() - tuning.CancellationReserve
	return max(0, min(available, tuning.MaxAnswerGracePeriod))
}

// MaxKnowledgeAge is how long after a cancellation a machine that may have a task of
// the job can still be answered, and so the greatest age of an owner's knowledge of
// cancellations: the answer renews the worker's lease, and the task must be gone in
// time even if nothing reaches the worker after it.
func (s *Settings) MaxKnowledgeAge() time.Duration {
	lease := s.WorkerLease()
	return seconds(s.Deployment.Workers.CancelS) - lease - lease*tuning.DriftPerMille/1000 - s.knowledgeReserve()
}

// knowledgeReserve is what is kept free of that: less where the times are short.
func (s *Settings) knowledgeReserve() time.Duration {
	available := seconds(s.Deployment.Workers.CancelS) - s.WorkerLease()
	return min(tuning.KnowledgeReserve, time.Duration(float64(available)*tuning.KnowledgeReserveShare))
}

// ClockSkew bounds the difference of two nodes' times of day.
func (s *Settings) ClockSkew() time.Duration {
	return 2 * time.Duration(s.Deployment.SkewMS*float64(time.Millisecond))
}

// SetShardCount sets the number of blocks to the one that was found stored.
func (s *Settings) SetShardCount(count int) { s.storedShardCount = count }

// ShardCount is the number of blocks that the machines are divided into: one for
// so many guaranteed processors, at most one for each controller. It follows
// from what all controllers are given alike, unless another one is stored.
func (s *Settings) ShardCount() int {
	if s.storedShardCount > 0 {
		return s.storedShardCount
	}
	guaranteedCPUs := 0.0
	for _, team := range s.Deployment.Teams {
		guaranteedCPUs += team.CPUs
	}
	return max(1, min(int(guaranteedCPUs/tuning.CPUsPerShard), len(s.Seeds)+1))
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
	watchers := 2 * min(s.ShardCount()+1, len(s.Seeds)+1)
	return seconds(float64(watchers) / (tuning.WatchRequestShare * s.Deployment.State.RPS))
}

// EachObjectiveDeadline calls fn for each aim of a class of jobs with the latest age, in seconds,
// at which a task may start that takes so long, for the aim to be met.
func (s *Settings) EachObjectiveDeadline(class string, estimateSeconds float64, deadlineSeconds *float64, fn func(latestStartSeconds float64)) {
	for _, objective := range s.Deployment.Objectives {
		switch {
		case objective.Class != class:
		case objective.Kind == "finished":
			fn(objective.WithinS - estimateSeconds)
		case objective.Kind == "wait":
			fn(objective.WithinS)
		case objective.Kind == "deadline" && deadlineSeconds != nil:
			fn(*deadlineSeconds*max(objective.Times, 1) - estimateSeconds)
		}
	}
}

// StartsPromptly tells whether the users expect the tasks of a class to start so soon that
// a machine that is rented when they come is too late.
func (s *Settings) StartsPromptly(class string) bool {
	for _, objective := range s.Deployment.Objectives {
		if objective.Kind == "wait" && objective.Class == class && objective.WithinS < tuning.PromptStartWithin.Seconds() {
			return true
		}
	}
	return false
}

// WaitBound is the longest wait in the extra queue before a task goes first.
func (s *Settings) WaitBound() time.Duration {
	if bound := s.Operator.WaitBoundS; bound != nil {
		return seconds(*bound)
	}
	return tuning.WaitBound
}

// MachineIdleTimeout is how long a machine without tasks is kept.
func (s *Settings) MachineIdleTimeout() time.Duration {
	if timeout := s.Operator.IdleKeepS; timeout != nil {
		return seconds(*timeout)
	}
	return tuning.MachineIdleTimeout
}
