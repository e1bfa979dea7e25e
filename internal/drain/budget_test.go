package drain

import (
	"errors"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/settings"
)

// TestBudgetIsNeverExceeded: whatever is asked in whatever order, what is allowed adds
// up to no more than the budget, and a budget that is not used up allows what fits.
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
			before := usage.Disturbed()
			err := budget.Allows("t", usage, requested)
			after := before.Plus(requested)
			fits := after.Tasks <= budget.Tasks && after.CPUs <= budget.CPUs && after.CPUs <= budget.Share*(100+before.CPUs)
			if (err == nil) != fits {
				t.Fatalf("%+v in use, %+v more, of %+v: %v", before, requested, budget, err)
			}
			if err == nil {
				usage.Chosen = usage.Chosen.Plus(requested)
				continue
			}
			var shortage *ShortageError
			if !errors.As(err, &shortage) || !strings.Contains(err.Error(), "budget of team t: "+shortage.Limit) {
				t.Fatal(err)
			}
		}
	})
}

// TestTeamBudgetsCompleteTheDefault: what a team's budget leaves out is the default's.
func TestTeamBudgetsCompleteTheDefault(t *testing.T) {
	two, five, share := 2, 5.0, 0.5
	budgets := NewBudgets(&settings.Drains{
		Default: &settings.DefaultBudget{Limits: settings.DrainLimits{Tasks: &two, Share: &share}},
		Teams:   []settings.TeamBudget{{Name: "t", Limits: settings.DrainLimits{CPUs: &five}}},
	})
	if got := budgets.ForTeam("t"); got.Tasks != 2 || got.CPUs != 5 || got.Share != 0.5 {
		t.Errorf("%+v", got)
	}
	if got := budgets.ForTeam("other"); got.Tasks != 2 || !math.IsInf(got.CPUs, 1) || got.String() != "tasks 2, share 0.5" {
		t.Errorf("%+v", got)
	}
	if (Budget{Tasks: 1, CPUs: 3}).EverAllows("t", Amount{1, 4}) == nil || (Budget{Tasks: 1, CPUs: 3}).EverAllows("t", Amount{1, 3}) != nil {
		t.Error("what could never move is not told from what could")
	}
}
