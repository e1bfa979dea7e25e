package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"lemonmoor/internal/adminclient"
	"lemonmoor/internal/drain"
	"lemonmoor/internal/peer"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// Exit statuses of the operators' commands.
const (
	exitRefused  = 2 // the request makes no sense, or was refused for good
	exitNoAnswer = 3 // no leader was reachable in time
)

// exitError ends the process with a status.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func refuse(format string, args ...any) error {
	return &exitError{exitRefused, fmt.Errorf(format, args...)}
}

// drainCommand holds the flags of `lemonmoor drain` and its subcommands.
type drainCommand struct {
	config  *string
	asJSON  bool
	timeout time.Duration
	request drain.Request
	kind    string
	from    string
}

func newDrainCommand(config *string) *cobra.Command {
	d := &drainCommand{config: config}
	root := &cobra.Command{
		Use:   "drain",
		Short: "Empty and replace machines in steps, within the teams' budgets",
	}
	root.PersistentFlags().BoolVar(&d.asJSON, "json", false, "print the answer as JSON")
	root.PersistentFlags().DurationVar(&d.timeout, "timeout", tuning.DefaultOperatorTimeout, "how long to look for a leader")
	for _, c := range []struct {
		verb   drain.Verb
		short  string
		picks  bool
		needID bool
	}{
		{drain.VerbPlan, "Tell what a drain would disturb; changes nothing", true, false},
		{drain.VerbStart, "Start a drain; the same id and selection again starts no second one", true, false},
		{drain.VerbStatus, "Show the drains, what they wait for, and how the budgets stand", false, false},
		{drain.VerbPause, "Begin nothing more; what is granted is carried out", false, true},
		{drain.VerbResume, "Go on with a paused drain", false, true},
		{drain.VerbCancel, "Give a drain up: its machines take tasks again", false, true},
	} {
		sub := &cobra.Command{
			Use: string(c.verb), Short: c.short, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				if c.needID && d.request.ID == "" {
					return refuse("id: missing, name the drain with --id")
				}
				d.request.Verb = c.verb
				return d.run(cmd.OutOrStdout())
			},
		}
		if c.verb != drain.VerbPlan {
			sub.Flags().StringVar(&d.request.ID, "id", "", "the drain's `NAME`")
		}
		if c.picks {
			d.selectionFlags(sub)
		}
		root.AddCommand(sub)
	}
	return root
}

func (d *drainCommand) selectionFlags(cmd *cobra.Command) {
	flags, s := cmd.Flags(), &d.request.Selection
	flags.StringSliceVar(&s.Machines, "machine", nil, "machines by `NAME`")
	flags.StringVar(&d.from, "from", "", "machines named in a `FILE`, one a line")
	flags.StringSliceVar(&s.Zones, "zone", nil, "machines in these `ZONES`")
	flags.StringSliceVar(&s.Types, "type", nil, "machines of these `TYPES`")
	flags.StringSliceVar(&s.Prefixes, "prefix", nil, "machines with addresses in these IP `PREFIXES`")
	flags.StringVar(&d.kind, "kind", "", "only machines of this `KIND`, spot or ordinary")
	flags.BoolVar(&d.request.Replace, "replace", false, "rent a replacement for each machine first")
}

// prepare completes the request from what the flags name.
func (d *drainCommand) prepare() error {
	d.request.Selection.Kind = drain.MachineKind(d.kind)
	if d.from != "" {
		names, err := readNames(d.from)
		if err != nil {
			return refuse("from: %w", err)
		}
		if len(names) == 0 {
			return refuse("from: %s names no machine", d.from)
		}
		d.request.Selection.Machines = append(d.request.Selection.Machines, names...)
	}
	if d.request.Verb == drain.VerbStart && d.request.ID == "" {
		d.request.ID = "d-" + strconv.FormatUint(rand.Uint64(), 36)
	}
	return nil
}

// readNames reads machines' names, one a line; # begins a comment.
func readNames(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // only read
	var names []string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, _, _ := strings.Cut(lines.Text(), "#")
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names, lines.Err()
}

// run asks the controllers and prints the answer.
func (d *drainCommand) run(out io.Writer) error {
	if *d.config == "" {
		return refuse("config: missing, name a controller's settings file with --config")
	}
	set, err := settings.Load(*d.config, "")
	if err != nil {
		return &exitError{exitRefused, err}
	}
	if err := d.prepare(); err != nil {
		return err
	}
	if refusal := d.request.Validate(); refusal != nil {
		return refuse("%w", refusal)
	}
	var response drain.Response
	client := adminclient.NewClient(peer.NewClient(), adminclient.Nodes(set), d.timeout)
	err = client.Ask(drain.RequestPath, &d.request, func(answer []byte) (adminclient.Verdict, error) {
		response = drain.Response{}
		if err := json.Unmarshal(answer, &response); err != nil {
			return adminclient.Verdict{}, err
		}
		return adminclient.Verdict{
			Final:  response.Status == drain.StatusOK || response.Status == drain.StatusRefused,
			Reason: response.Reason, Retry: time.Duration(response.RetryMS) * time.Millisecond,
		}, nil
	})
	var silent *adminclient.NoAnswerError
	if errors.As(err, &silent) {
		return &exitError{exitNoAnswer, err}
	}
	if err != nil {
		return err
	}
	if response.Status == drain.StatusRefused {
		return refuse("%s: %s", response.Field, response.Reason)
	}
	if d.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(response)
	}
	return printResponse(out, &response)
}

// printResponse writes an answer for people.
func printResponse(out io.Writer, r *drain.Response) error {
	if r.Plan != nil {
		return printPlan(out, r.Plan)
	}
	if len(r.Drains) == 0 {
		fmt.Fprintln(out, "no drains")
	}
	for _, d := range r.Drains {
		fmt.Fprintf(out, "drain %s: %s, %d machines", d.ID, d.Phase, d.Machines)
		for _, state := range slices.Sorted(maps.Keys(d.States)) {
			fmt.Fprintf(out, ", %d %s", d.States[state], state)
		}
		fmt.Fprintf(out, "; %d tasks disturbed\n", d.DisturbedTasks)
		for _, why := range d.WaitReasons {
			fmt.Fprintf(out, "  waits: %s\n", why)
		}
	}
	if len(r.Teams) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "team\trunning\tdisturbed by drains\totherwise\tCPUs disturbed\tbudget")
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		t := r.Teams[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%g\t%s\n", name, t.Running.Tasks, t.Chosen.Tasks, t.Unchosen.Tasks, t.Disturbed().CPUs, t.Budget)
	}
	return table.Flush()
}

func printPlan(out io.Writer, p *drain.Plan) error {
	fmt.Fprintf(out, "%d machines, with tasks of %d jobs\n", p.Machines, p.Jobs)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "team\ttasks\tCPUs\tbudget used up at least\tbudget")
	for _, name := range slices.Sorted(maps.Keys(p.Teams)) {
		t := p.Teams[name]
		fmt.Fprintf(table, "%s\t%d\t%g\t%d times\t%s\n", name, t.Tasks, t.CPUs, t.Rounds, t.Budget)
	}
	return table.Flush()
}
