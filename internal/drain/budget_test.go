package drain

import (
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
		b := Budget{
			Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"), CPUs: rapid.Float64Range(1, 20).Draw(t, "cpus"),
			Share: rapid.SampledFrom([]float64{0.1, 0.5, 1, math.Inf(1)}).Draw(t, "share"),
		}
		use := &TeamUsage{Running: Amount{100, 100}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			more := Amount{rapid.IntRange(1, 4).Draw(t, "n"), rapid.Float64Range(0.1, 8).Draw(t, "c")}
			use.Unchosen = Amount{rapid.IntRange(0, 3).Draw(t, "lost"), rapid.Float64Range(0, 3).Draw(t, "lost cpus")}
			before := use.Disturbed()
			short := b.Allows("t", use, more)
			after := before.Plus(more)
			fits := after.Tasks <= b.Tasks && after.CPUs <= b.CPUs && after.CPUs <= b.Share*(100+before.CPUs)
			if (short == nil) != fits {
				t.Fatalf("%+v in use, %+v more, of %+v: %v", before, more, b, short)
			}
			if short == nil {
				use.Chosen = use.Chosen.Plus(more)
			} else if !strings.Contains(short.String(), "budget of team t: "+short.Limit) {
				t.Fatal(short.String())
			}
		}
	})
}

func TestBudgetsOfTeams(t *testing.T) {
	two, five, share := 2, 5.0, 0.5
	b := NewBudgets(&settings.Drains{
		Default: &settings.DefaultBudget{Limits: settings.DrainLimits{Tasks: &two, Share: &share}},
		Teams:   []settings.TeamBudget{{Name: "t", Limits: settings.DrainLimits{CPUs: &five}}},
	})
	if got := b.ForTeam("t"); got.Tasks != 2 || got.CPUs != 5 || got.Share != 0.5 {
		t.Errorf("%+v", got)
	}
	if got := b.ForTeam("other"); got.Tasks != 2 || !math.IsInf(got.CPUs, 1) || got.String() != "tasks 2, share 0.5" {
		t.Errorf("%+v", got)
	}
	if (Budget{Tasks: 1, CPUs: 3}).NeverAllows("t", Amount{1, 4}) == nil || (Budget{Tasks: 1, CPUs: 3}).NeverAllows("t", Amount{1, 3}) != nil {
		t.Error("what could never move is not told from what could")
	}
}
