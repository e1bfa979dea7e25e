package leader

import (
	"testing"
	"time"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/statetest"
	"lemonmoor/internal/taskstate"
)

// TestRecordsAboveTheQuotaAreReported guards against records with more open tasks than a team's
// quota allows, unnoticed.
func TestRecordsAboveTheQuotaAreReported(t *testing.T) {
	service := statetest.New()
	node := startNode(service)
	submit(t, service, newSpec("wk-1", 30))
	indexes := make([]int, 30) // of 24 processors
	for i := range indexes {
		indexes[i] = i
	}
	record := putRecord(t, service, "wk-1", 0, indexes...)
	node.run(8 * time.Second)
	if got := node.metrics.Violations(metrics.InvariantWithinQuota); got != 1 {
		t.Errorf("with 30 open tasks in records: %d violations, want 1", got)
	}
	putPage(t, service, 0, record, func(task *taskstate.Task) {
		if task.Index >= 24 {
			markDone(task)
		}
	})
	next := node.replace()
	next.run(8 * time.Second)
	if got := next.metrics.Violations(metrics.InvariantWithinQuota); got != 0 {
		t.Errorf("with 24 open tasks in records: %d violations, want 0", got)
	}
}
