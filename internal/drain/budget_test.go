package drain

import (
	"errors"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/settings"
)

// TestBudgetIsNeverExceeded checks random requests in random order: Allows accepts a request
// if, and only if, the disturbances stay within the budget with it.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := Budget{
			Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"), CPUs: rapid.Float64Range(1, 20).Draw(t, "cpus"),
			Share: rapid.SampledFrom([]float64{0.1, 0.5, 1, math.Inf(1)}).Draw(t, "share"),
		}
		usage := &TeamUsage{Running: Amount{100, 100}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			requested := Amount{rapid.IntRange(1, 4).Draw(t, "n"), rapid.Float64Range(0.1, 8).Draw(t, "c")}
			usage.Unchosen = Amount{rapid.IntRange(0, 3).Draw(t, "lost"), rapid.Float64Range(0, 3).Draw(t, "lost cpus")}
			used := usage.Disturbed()
			err := budget.Allows("t", usage, requested)
			usedAfter := used.Plus(requested)
			fits := usedAfter.Tasks <= budget.Tasks && usedAfter.CPUs <= budget.CPUs && usedAfter.CPUs <= budget.Share*(100+used.CPUs)
			if (err == nil) != fits {
				t.Fatalf("Allows with %+v in use, %+v requested and budget %+v: error %v, want an error: %v", used, requested, budget, err, !fits)
			}
			if err == nil {
				usage.Chosen = usage.Chosen.Plus(requested)
				continue
			}
			var shortage *ShortageError
			if !errors.As(err, &shortage) || !strings.Contains(err.Error(), "budget of team t: "+shortage.Limit) {
				t.Fatalf("error %v, want a *ShortageError that names the team and the limit", err)
			}
		}
	})
}

// TestTeamBudgetInheritsDefaults checks that limits that a team's budget leaves out are taken
// from the default budget, and that EverAllows refuses only what exceeds the whole budget.
func TestTeamBudgetInheritsDefaults(t *testing.T) {
	taskLimit, cpuLimit, share := 2, 5.0, 0.5
	budgets := NewBudgets(&settings.Drains{
		Default: &settings.DefaultBudget{Limits: settings.DrainLimits{Tasks: &taskLimit, Share: &share}},
		Teams:   []settings.TeamBudget{{Name: "t", Limits: settings.DrainLimits{CPUs: &cpuLimit}}},
	})
	if got := budgets.ForTeam("t"); got.Tasks != 2 || got.CPUs != 5 || got.Share != 0.5 {
		t.Errorf("budget of team t: %+v, want tasks 2, cpus 5, share 0.5", got)
	}
	if got := budgets.ForTeam("other"); got.Tasks != 2 || !math.IsInf(got.CPUs, 1) || got.String() != "tasks 2, share 0.5" {
		t.Errorf("budget of a team without its own: %+v (%s), want tasks 2, share 0.5", got, got.String())
	}
	if (Budget{Tasks: 1, CPUs: 3}).EverAllows("t", Amount{1, 4}) == nil || (Budget{Tasks: 1, CPUs: 3}).EverAllows("t", Amount{1, 3}) != nil {
		t.Error("EverAllows under a budget of 3 processors: want an error for 4 and none for 3")
	}
}
