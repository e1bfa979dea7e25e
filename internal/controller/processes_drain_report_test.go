package controller

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// write writes the use of the budgets over time to a directory, as a table and as a plot.
func (r *drainReport) write(t *testing.T, dir string) {
	t.Helper()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "budgets.md"), []byte(r.table()), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := r.plot(filepath.Join(dir, "budgets.svg")); err != nil {
		t.Fatal(err)
	}
}

// table returns a Markdown table with a row for each change of a budget's use or of the number of
// machines that are gone.
func (r *drainReport) table() string {
	var text strings.Builder
	fmt.Fprintf(&text, "# Log of budgets: %d stand-in workers drained and replaced on loopback\n\n", r.Machines)
	fmt.Fprintf(&text, "Real processes: three controllers; stand-ins of state service, cloud, workers, users.\n")
	fmt.Fprintf(&text, "Written by `TestDrainOfRealProcesses` from the state of the workers, sampled every 50 ms.\n\n")
	fmt.Fprintf(&text, "- leader killed after %.1f s; all machines gone and all tasks running after %.1f s\n", float64(r.LeaderKilledMS)/1000, float64(r.EndedMS)/1000)
	fmt.Fprintf(&text, "- %d tasks halted by the drain; %d changes of the drains' records\n\n", r.Halts, r.Changes)
	fmt.Fprintf(&text, "| seconds | red disturbed (of %d) | blue disturbed (of %d) | machines gone |\n| --- | --- | --- | --- |\n", r.Limits["red"], r.Limits["blue"])
	last := ""
	for _, s := range r.Samples {
		row := fmt.Sprintf("| %d | %d | %d |\n", s.Disturbed["red"], s.Disturbed["blue"], s.Gone)
		if row != last {
			fmt.Fprintf(&text, "| %.1f %s", float64(s.AtMS)/1000, row)
		}
		last = row
	}
	return text.String()
}

// plot writes a plot of the disturbed tasks of each team over time, with the budgets.
func (r *drainReport) plot(path string) error {
	figure := plot.New()
	figure.Title.Text = "Tasks disturbed by a drain, and the budgets"
	figure.X.Label.Text, figure.Y.Label.Text = "seconds", "tasks"
	var lines []any
	for _, team := range []string{"red", "blue"} {
		var used, limit plotter.XYs
		for _, s := range r.Samples {
			x := float64(s.AtMS) / 1000
			used = append(used, plotter.XY{X: x, Y: float64(s.Disturbed[team])})
			limit = append(limit, plotter.XY{X: x, Y: float64(r.Limits[team])})
		}
		lines = append(lines, team+", disturbed", used, team+", budget", limit)
	}
	if err := plotutil.AddLines(figure, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	figure.Y.Min, figure.Y.Max = 0, 4
	figure.Legend.Top = true
	if err := figure.Save(22*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
