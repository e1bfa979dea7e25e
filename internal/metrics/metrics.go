// Package metrics defines the counters and gauges of a node and encodes them in the text format
// of Prometheus.
//
// It owns the values and nothing else. They may be changed and encoded concurrently. No decision
// may depend on them: everything that a component needs to know it has to keep itself.
package metrics

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

const (
	// Path is the request path at which a node serves its metrics.
	Path = "/metrics"
	// ContentType is the media type of the encoded metrics.
	ContentType = "text/plain; version=0.0.4; charset=utf-8"

	// namespace is the first part of the names of all metrics.
	namespace = "lemonmoor"
)

// Invariant names a condition that is asserted at run time. A violation is counted and logged as
// an error.
type Invariant string

// The invariants asserted at run time.
const (
	// InvariantGoneTaskNotListed is violated when a worker lists a task as alive after the task
	// was considered gone from it.
	InvariantGoneTaskNotListed Invariant = "gone_task_not_listed"
	// InvariantEvidenceHolds is violated when a placement is to end on evidence that the state of
	// its worker contradicts.
	InvariantEvidenceHolds Invariant = "evidence_holds"
	// InvariantForgetIsSafe is violated when a worker is to forget an attempt although a copy of
	// a message that launched it can still be executed.
	InvariantForgetIsSafe Invariant = "forget_is_safe"
	// InvariantEndedStaysEnded is violated when a worker lists an attempt as alive that it was told
	// to forget since it had ended.
	InvariantEndedStaysEnded Invariant = "ended_stays_ended"
	// InvariantStatusOnPage is violated when the owner of a shard and the readers of its log take a
	// task's status from different pages.
	InvariantStatusOnPage Invariant = "status_on_page"
	// InvariantPlacedOnce is violated when a task that is placed on a machine, or is over, is to
	// be placed on another one.
	InvariantPlacedOnce Invariant = "placed_once"
	// InvariantOtherAttemptsGone is violated when a task is to be launched while another attempt of
	// it may run.
	InvariantOtherAttemptsGone Invariant = "other_attempts_gone"
	// InvariantRecordOutlivesTask is violated when the record of a task is removed that was launched
	// and is not proven gone.
	InvariantRecordOutlivesTask Invariant = "record_outlives_task"
	// InvariantTokenGrows is violated when a term begins under a token that is not higher than that
	// of the process's last term.
	InvariantTokenGrows Invariant = "token_grows"
	// InvariantOneOpenRecord is violated when two records of a shard name a task that is open in
	// both.
	InvariantOneOpenRecord Invariant = "one_open_record"
	// InvariantWithinQuota is violated when the open tasks in a team's records exceed its quota.
	InvariantWithinQuota Invariant = "within_quota"
)

// Invariants are all invariants.
var Invariants = []Invariant{
	InvariantGoneTaskNotListed, InvariantEvidenceHolds, InvariantForgetIsSafe, InvariantEndedStaysEnded,
	InvariantStatusOnPage, InvariantPlacedOnce, InvariantOtherAttemptsGone, InvariantRecordOutlivesTask, InvariantTokenGrows,
	InvariantOneOpenRecord, InvariantWithinQuota,
}

// Metrics are the metrics of one node.
type Metrics struct {
	registry        *prometheus.Registry
	leaderToken     prometheus.Gauge
	shardTokens     *prometheus.GaugeVec
	launches        *prometheus.CounterVec
	launchOutcomes  *prometheus.CounterVec
	placementsEnded *prometheus.CounterVec
	tokensAcquired  *prometheus.CounterVec
	dispatchedTasks prometheus.Counter
	knowledgeAge    prometheus.Histogram
	forgets         prometheus.Counter
	toForget        *prometheus.GaugeVec
	tokenRequests   *prometheus.CounterVec
	passedOver      *prometheus.CounterVec
	violations      *prometheus.CounterVec
	firstViolations firstViolations
}

// New returns metrics that are all zero.
func New() *Metrics {
	created := &Metrics{
		registry: prometheus.NewRegistry(),
		leaderToken: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "leader_token", Help: "Fencing token under which this node leads, 0 if it does not.",
		}),
		shardTokens: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "shard_token", Help: "Fencing token under which this node owns a shard, 0 if it does not.",
		}, []string{"shard"}),
		launches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "launches_total", Help: "Launch commands sent, by way of delivery.",
		}, []string{"way"}),
		launchOutcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "direct_launch_outcomes_total", Help: "Launch commands in direct messages, by what is known of the message.",
		}, []string{"outcome"}),
		placementsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "placements_ended_total", Help: "Placements ended, by evidence that the task is not on its machine.",
		}, []string{"evidence"}),
		tokensAcquired: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "shard_tokens_acquired_total", Help: "Fencing tokens of a shard that this node has acquired.",
		}, []string{"shard"}),
		dispatchedTasks: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "dispatched_tasks_total", Help: "Tasks in the records that this node has committed as the leader.",
		}),
		knowledgeAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "launch_knowledge_age_seconds", Help: "Age of the knowledge of cancellations when launches are sent.",
			Buckets: []float64{0.01, 0.05, 0.1, 0.5, 1, 2, 5},
		}),
		forgets: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "forgets_total", Help: "Commands sent that tell workers to forget attempts that have ended.",
		}),
		toForget: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "attempts_to_forget", Help: "Ended attempts that workers may not forget yet, by shard.",
		}, []string{"shard"}),
		tokenRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "newer_token_requests_total", Help: "Writes that only serve to get a higher token for messages to workers, by shard.",
		}, []string{"shard"}),
		passedOver: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "passed_over_total", Help: "Log lines on tasks that wait beside a machine with room, by reason.",
		}, []string{"reason"}),
		violations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "invariant_violations_total", Help: "Violations of invariants found at run time.",
		}, []string{"invariant"}),
	}
	created.registry.MustRegister(
		created.leaderToken, created.shardTokens, created.launches, created.launchOutcomes, created.placementsEnded, created.tokensAcquired, created.dispatchedTasks,
		created.knowledgeAge, created.forgets, created.toForget, created.tokenRequests, created.passedOver, created.violations,
	)
	for _, invariant := range Invariants {
		created.violations.WithLabelValues(string(invariant)) // reported as 0 before the first violation
	}
	return created
}

// SetLeaderToken records the fencing token of the leadership, 0 if this node does not lead.
func (m *Metrics) SetLeaderToken(token uint64) { m.leaderToken.Set(float64(token)) }

// SetShardToken records the fencing token of a shard, 0 if this node does not own it.
func (m *Metrics) SetShardToken(shard int, token uint64) {
	label := strconv.Itoa(shard)
	m.shardTokens.WithLabelValues(label).Set(float64(token))
	if token != 0 {
		m.tokensAcquired.WithLabelValues(label).Inc()
	}
}

// AddLaunches counts launch commands sent in a direct message or in the answer to a heartbeat,
// and the age in seconds of the knowledge on which they were allowed.
func (m *Metrics) AddLaunches(way string, count int, knowledgeAgeSeconds float64) {
	m.launches.WithLabelValues(way).Add(float64(count))
	m.knowledgeAge.Observe(knowledgeAgeSeconds)
}

// AddLaunchOutcomes counts launch commands in a direct message by what is known of the message.
func (m *Metrics) AddLaunchOutcomes(outcome string, count int) {
	m.launchOutcomes.WithLabelValues(outcome).Add(float64(count))
}

// AddPlacementEnded counts a placement that has ended on the given evidence.
func (m *Metrics) AddPlacementEnded(evidence string) {
	m.placementsEnded.WithLabelValues(evidence).Inc()
}

// AddDispatched counts tasks in records that were committed.
func (m *Metrics) AddDispatched(tasks int) { m.dispatchedTasks.Add(float64(tasks)) }

// AddForgets counts commands that tell workers to forget attempts.
func (m *Metrics) AddForgets(count int) { m.forgets.Add(float64(count)) }

// SetAttemptsToForget records the number of ended attempts that the workers of a shard may not
// forget yet.
func (m *Metrics) SetAttemptsToForget(shard, count int) {
	m.toForget.WithLabelValues(strconv.Itoa(shard)).Set(float64(count))
}

// AddTokenRequest counts a write that only serves to get a higher token for messages to workers.
func (m *Metrics) AddTokenRequest(shard int) {
	m.tokenRequests.WithLabelValues(strconv.Itoa(shard)).Inc()
}

// AddPassedOver counts a task that waits beside a machine with room, by the reason for which it is not
// placed there.
func (m *Metrics) AddPassedOver(reason string) { m.passedOver.WithLabelValues(reason).Inc() }

// Encode returns all metrics in the text format of Prometheus.
func (m *Metrics) Encode() ([]byte, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("gather metrics: %w", err)
	}
	var text bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			return nil, fmt.Errorf("encode metric %s: %w", family.GetName(), err)
		}
	}
	return text.Bytes(), nil
}
