package leader

import (
	"testing"
	"time"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/statetest"
)

// TestRecordsAboveTheQuotaAreReported guards against records with more open tasks than a team's
// quota allows, unnoticed, and against an alarm for a quota that was lowered.
func TestRecordsAboveTheQuotaAreReported(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 60))
	node.run(3 * time.Second) // 24 tasks are dispatched, the quota
	indexes := make([]int, 6)
	for i := range indexes {
		indexes[i] = 30 + i
	}
	putRecord(t, service, "wk-1", 7, indexes...)
	node.run(8 * time.Second)
	if got := node.metrics.Violations(metrics.InvariantWithinQuota); got != 1 {
		t.Errorf("records of 30 tasks appear under the leader: %d violations, want 1", got)
	}
	next := node.replace()
	next.run(8 * time.Second)
	if got := next.metrics.Violations(metrics.InvariantWithinQuota); got != 0 {
		t.Errorf("records of 30 tasks at the takeover: %d violations, want 0", got)
	}
}
