package jobs

import (
	"testing"

	"lemonmoor/internal/settings"
)

// TestNearlyFinishedJobGoesFirstUnlessItIsLate: a job of which one task is left goes before
// a smaller one that has just begun, unless it has missed an objective which the other can
// still meet. Ranked by all of its work, its lost task waited for a minute and more.
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
		t.Fatal("the larger job goes first")
	}
	if !largeRank.Update(large, nodeSettings, 30_000, 1) || smallRank.Update(small, nodeSettings, 30_000, 20) {
		t.Fatal("the rank changes with the work left, and with nothing else here")
	}
	if !largeRank.Before(&smallRank) || smallRank.Before(&largeRank) {
		t.Error("one task that is left waits behind twenty")
	}
	largeRank.Update(large, nodeSettings, 40_500, 1) // it had to start its last task by 40 s
	smallRank.Update(small, nodeSettings, 40_500, 20)
	if largeRank.Before(&smallRank) {
		t.Error("a job that is late goes before one that can be in time")
	}
}
