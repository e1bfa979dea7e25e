package gangforecast

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

func TestRecentClassesInOrderOfTheirNames(t *testing.T) {
	var forecast Forecast
	if got := forecast.Recent(0); len(got) != 0 {
		t.Fatalf("Recent() of an empty forecast = %v, want no classes", got)
	}
	newest := &jobs.Spec{ID: "wk-3", Class: "alpha"}
	forecast.Observe(&jobs.Spec{ID: "wk-1", Class: "beta"}, 5, time.Second)
	forecast.Observe(&jobs.Spec{ID: "wk-2", Class: "alpha"}, 9, 2*time.Second)
	forecast.Observe(newest, 4, 3*time.Second)
	got := forecast.Recent(4 * time.Second)
	if len(got) != 2 || got[0].Spec != newest || got[1].Spec.Class != "beta" {
		t.Fatalf("Recent() = %v, want alpha with its newest gang, then beta", got)
	}
	if got[0].Tasks != 9 || got[0].SeenAt != 3*time.Second {
		t.Errorf("class alpha has %d tasks and was seen at %v, want 9 and 3s", got[0].Tasks, got[0].SeenAt)
	}
}

func TestOldClassesAreForgotten(t *testing.T) {
	var forecast Forecast
	forecast.Observe(&jobs.Spec{Class: "alpha"}, 9, 0)
	if got := forecast.Recent(tuning.GangReservePeriod); len(got) != 1 {
		t.Fatalf("at the end of the period Recent() = %v, want one class", got)
	}
	if got := forecast.Recent(tuning.GangReservePeriod + 1); len(got) != 0 {
		t.Fatalf("after the period Recent() = %v, want no classes", got)
	}
	forecast.Observe(&jobs.Spec{Class: "alpha"}, 2, tuning.GangReservePeriod+2)
	if got := forecast.Recent(tuning.GangReservePeriod + 3); len(got) != 1 || got[0].Tasks != 2 {
		t.Errorf("a forgotten class that is observed again = %v, want one class of 2 tasks", got)
	}
}
