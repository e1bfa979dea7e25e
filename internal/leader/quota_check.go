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
	// atTakeover is what the teams used when the term began. It may be above a quota that was
	// lowered; it must not grow then.
	atTakeover map[string]resource.Vector
	reported   map[string]bool // teams whose violation was reported in this term
}

// beginQuotaChecks recounts the open tasks at the beginning of a term.
func (l *Leader) beginQuotaChecks() {
	l.quotas = quotaCheck{checkedAt: l.runtime.Now(), atTakeover: l.recordedUse(), reported: map[string]bool{}}
	for name, used := range l.quotas.atTakeover {
		if team := l.teams[name]; team != nil && !team.holds(used) {
			l.log.Warn("open tasks of a team were above its quota at the takeover", "team", name,
				"recorded_cpus", used.CPUs, "recorded_gpus", used.GPUs, "use", team.String(), "token", l.commits.token)
		}
	}
}

// holds reports whether an amount is within the quota, or above it only by rounding.
func (u *teamUsage) holds(used resource.Vector) bool {
	return used.CPUs <= u.maxCPUs+tuning.QuotaCheckTolerance && used.GPUs <= u.maxGPUs+tuning.QuotaCheckTolerance
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
// team above its quota once in a term, unless it was there at the takeover and uses no more since.
// Nothing of such a team is dispatched in any case: the leader's own sums are never below the records.
func (l *Leader) checkQuotas() {
	now := l.runtime.Now()
	if now-l.quotas.checkedAt < tuning.QuotaCheckInterval {
		return
	}
	l.quotas.checkedAt = now
	for name, used := range l.recordedUse() {
		team, before := l.teams[name], l.quotas.atTakeover[name]
		hasGrown := used.CPUs > before.CPUs+tuning.QuotaCheckTolerance || used.GPUs > before.GPUs+tuning.QuotaCheckTolerance
		if team == nil || l.quotas.reported[name] || team.holds(used) || !hasGrown {
			continue
		}
		l.quotas.reported[name] = true
		l.metrics.ReportViolation(l.log, metrics.InvariantWithinQuota, "team", name, "recorded_cpus", used.CPUs, "recorded_gpus", used.GPUs,
			"use", team.String(), "token", l.commits.token)
	}
}
