package leader

import (
	"time"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// quotaCheck asserts that the open tasks of each team are within its quota. It recounts them from
// the records, and does not use the sums from which dispatches are allowed.
type quotaCheck struct {
	checkedAt time.Duration
	reported  map[string]bool // teams whose violation was reported in this term
}

// recordedUse returns what the open tasks in the records of each team's jobs take.
func (l *Leader) recordedUse() map[string]resource.Vector {
	used := map[string]resource.Vector{}
	l.records.EachRecord(func(record *taskstate.Record) {
		entry := l.catalog.Get(record.Job)
		if entry == nil || entry.Spec == nil {
			return
		}
		open := 0
		for _, status := range record.Statuses {
			if status.State == taskstate.StateWaiting || status.State == taskstate.StatePlaced {
				open++
			}
		}
		used[entry.Spec.Team] = used[entry.Spec.Team].Plus(entry.Spec.Resources().Times(float64(open)))
	})
	return used
}

// checkQuotas recounts the open tasks, at most once per tuning.QuotaCheckInterval, and reports each
// team above its quota once in a term. Nothing of such a team is dispatched in any case, since the
// leader's own sums are never below the records.
func (l *Leader) checkQuotas() {
	now := l.runtime.Now()
	if now-l.quotas.checkedAt < tuning.QuotaCheckInterval {
		return
	}
	l.quotas.checkedAt = now
	for name, used := range l.recordedUse() {
		team := l.teams[name]
		if team == nil || l.quotas.reported[name] ||
			(used.CPUs <= team.maxCPUs+tuning.QuotaCheckTolerance && used.GPUs <= team.maxGPUs+tuning.QuotaCheckTolerance) {
			continue
		}
		l.quotas.reported[name] = true
		l.metrics.ReportViolation(l.log, metrics.InvariantWithinQuota, "team", name, "recorded_cpus", used.CPUs, "recorded_gpus", used.GPUs,
			"use", team.String(), "token", l.commits.token)
	}
}
