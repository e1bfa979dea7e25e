package jobs

import (
	"testing"

	"lemonmoor/internal/settings"
)

// TestNearlyFinishedJobGoesFirstUnlessItIsLate checks that a job with one unfinished task goes
// before a smaller job that has just begun, unless it has missed an objective that the other
// can still meet. If jobs are ranked by their total work, the last task of a large job, lost
// with its machine, waits for a minute or more.
func TestNearlyFinishedJobGoesFirstUnlessItIsLate(t *testing.T) {
	nodeSettings := &settings.Settings{}
	nodeSettings.Deployment.Objectives = []settings.Objective{{Kind: "deadline", Class: "batch", Share: 0.9, Times: 1}}
	due := 60.0
	job := func(id string, tasks int) *Spec {
		return &Spec{ID: id, Class: "batch", Urgency: "standard", Tasks: tasks, CPUs: 4, EstimateSeconds: 20, DeadlineSeconds: &due}
	}
	large, small := job("wk-1", 100), job("wk-2", 20)
	largeRank, smallRank := NewRank(large, 0, true), NewRank(small, 1000, true)
	if largeRank.Before(&smallRank) || !smallRank.Before(&largeRank) {
		t.Fatal("of two new jobs the larger one goes first, want the smaller one")
	}
	if !largeRank.Update(large, nodeSettings, 30_000, 1) || smallRank.Update(small, nodeSettings, 30_000, 20) {
		t.Fatal("Update reports no change of the large job's remaining work, or one of the unchanged small job")
	}
	if !largeRank.Before(&smallRank) || smallRank.Before(&largeRank) {
		t.Error("the job with one unfinished task goes after the job with twenty, want before")
	}
	largeRank.Update(large, nodeSettings, 40_500, 1) // past 40 s, the latest start of its last task
	smallRank.Update(small, nodeSettings, 40_500, 20)
	if largeRank.Before(&smallRank) {
		t.Error("a job past its deadline goes before one that can still meet its deadline, want after")
	}
}
