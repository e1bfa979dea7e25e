package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"lemonmoor/internal/drain"
)

// columnPadding is the number of spaces between two columns of a table.
const columnPadding = 2

// printResponse writes a controller's answer in human-readable form.
func printResponse(out io.Writer, response *drain.Response) error {
	if response.Plan != nil {
		return printPlan(out, response.Plan)
	}
	if len(response.Drains) == 0 {
		fmt.Fprintln(out, "no drains")
	}
	for _, view := range response.Drains {
		printDrain(out, view)
	}
	if len(response.Teams) == 0 {
		return nil
	}
	return printTeams(out, response.Teams)
}

func printDrain(out io.Writer, view drain.View) {
	fmt.Fprintf(out, "drain %s: %s, %d machines", view.ID, view.Phase, view.Machines)
	for _, state := range slices.Sorted(maps.Keys(view.States)) {
		fmt.Fprintf(out, ", %d %s", view.States[state], state)
	}
	fmt.Fprintf(out, "; %d tasks disturbed\n", view.DisturbedTasks)
	for _, reason := range view.WaitReasons {
		fmt.Fprintf(out, "  waits: %s\n", reason)
	}
}

func printTeams(out io.Writer, teams map[string]drain.TeamState) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "team\trunning\tdisturbed by drains\totherwise\tCPUs disturbed\tbudget")
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		team := teams[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%g\t%s\n",
			name, team.Running.Tasks, team.Chosen.Tasks, team.Unchosen.Tasks, team.Disturbed().CPUs, team.Budget)
	}
	return table.Flush()
}

func printPlan(out io.Writer, plan *drain.Plan) error {
	fmt.Fprintf(out, "%d machines, with tasks of %d jobs\n", plan.Machines, plan.Jobs)
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "team\ttasks\tCPUs\tbudget used up at least\tbudget")
	for _, name := range slices.Sorted(maps.Keys(plan.Teams)) {
		team := plan.Teams[name]
		fmt.Fprintf(table, "%s\t%d\t%g\t%d times\t%s\n", name, team.Tasks, team.CPUs, team.Rounds, team.Budget)
	}
	return table.Flush()
}
