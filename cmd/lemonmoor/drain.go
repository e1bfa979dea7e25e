package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lemonmoor/internal/adminclient"
	"lemonmoor/internal/drain"
	"lemonmoor/internal/peer"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// drainCommand holds the flags of `lemonmoor drain` and its subcommands.
type drainCommand struct {
	config      *configFlags
	asJSON      bool
	timeout     time.Duration
	request     drain.Request
	machineKind string
	namesFile   string // file with one machine name per line
}

// drainVerb is a subcommand of `lemonmoor drain`.
type drainVerb struct {
	verb            drain.Verb
	short           string
	selectsMachines bool
	needsID         bool
}

// drainVerbs are the subcommands of `lemonmoor drain`.
var drainVerbs = []drainVerb{
	{drain.VerbPlan, "Show what a drain would disturb, without changing anything", true, false},
	{drain.VerbStart, "Start a drain; repeating the same id and selection has no further effect", true, false},
	{drain.VerbStatus, "Show the drains, what they wait for, and how much of the budgets is used", false, false},
	{drain.VerbPause, "Pause a drain: steps already granted are completed, no new ones begin", false, true},
	{drain.VerbResume, "Resume a paused drain", false, true},
	{drain.VerbCancel, "Cancel a drain: its machines accept tasks again", false, true},
}

func newDrainCommand(config *configFlags) *cobra.Command {
	command := &drainCommand{config: config}
	root := &cobra.Command{
		Use:   "drain",
		Short: "Empty and replace machines in steps, within the teams' budgets",
	}
	root.PersistentFlags().BoolVar(&command.asJSON, "json", false, "print the answer as JSON")
	root.PersistentFlags().DurationVar(&command.timeout, "timeout", tuning.DefaultOperatorTimeout, "how long to keep looking for a leader")
	for _, verb := range drainVerbs {
		root.AddCommand(command.newSubcommand(verb))
	}
	return root
}

func (d *drainCommand) newSubcommand(verb drainVerb) *cobra.Command {
	subcommand := &cobra.Command{
		Use: string(verb.verb), Short: verb.short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if verb.needsID && d.request.ID == "" {
				return refuse("id", errDrainIDMissing)
			}
			d.request.Verb = verb.verb
			return d.run(cmd.OutOrStdout())
		},
	}
	if verb.verb != drain.VerbPlan {
		subcommand.Flags().StringVar(&d.request.ID, "id", "", "the drain's `NAME`")
	}
	if verb.selectsMachines {
		d.addSelectionFlags(subcommand)
	}
	return subcommand
}

func (d *drainCommand) addSelectionFlags(subcommand *cobra.Command) {
	flags, selection := subcommand.Flags(), &d.request.Selection
	flags.StringSliceVar(&selection.Machines, "machine", nil, "machines by `NAME`")
	flags.StringVar(&d.namesFile, "from", "", "machines named in a `FILE`, one per line")
	flags.StringSliceVar(&selection.Zones, "zone", nil, "machines in these `ZONES`")
	flags.StringSliceVar(&selection.Types, "type", nil, "machines of these `TYPES`")
	flags.StringSliceVar(&selection.Prefixes, "prefix", nil, "machines with addresses in these IP `PREFIXES`")
	flags.StringVar(&d.machineKind, "kind", "", "only machines of this `KIND`, spot or ordinary")
	flags.BoolVar(&d.request.Replace, "replace", false, "rent a replacement for each machine first")
}

// run sends the request to the controllers and prints the answer.
func (d *drainCommand) run(out io.Writer) error {
	if d.config.platformFile == "" {
		return refuse("config", errConfigMissing)
	}
	// Of the settings only the addresses of the controllers are needed, so the operators' file
	// is not read.
	loaded, err := settings.Load(d.config.platformFile, "")
	if err != nil {
		return &exitError{exitRefused, err}
	}
	if err := d.prepareRequest(); err != nil {
		return err
	}
	if refusal := d.request.Validate(); refusal != nil {
		return &exitError{exitRefused, refusal}
	}
	response, err := d.send(loaded)
	if err != nil {
		return err
	}
	if response.Status == drain.StatusRefused {
		return refuse(response.Field, errors.New(response.Reason))
	}
	if d.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(response)
	}
	return printResponse(out, response)
}

// prepareRequest adds to the request what the flags do not set directly: the kind, the machines
// named in a file, and a random id for a start without one.
func (d *drainCommand) prepareRequest() error {
	d.request.Selection.Kind = drain.MachineKind(d.machineKind)
	if d.namesFile != "" {
		names, err := readNames(d.namesFile)
		if err != nil {
			return refuse("from", err)
		}
		d.request.Selection.Machines = append(d.request.Selection.Machines, names...)
	}
	if d.request.Verb == drain.VerbStart && d.request.ID == "" {
		d.request.ID = "d-" + strconv.FormatUint(rand.Uint64(), 36)
	}
	return nil
}

// readNames reads the names of machines from a file, one per line; # starts a comment. A file
// without names is a *noMachinesError.
func readNames(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file is only read
	var names []string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, _, _ := strings.Cut(lines.Text(), "#")
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, &noMachinesError{path}
	}
	return names, nil
}

// send sends the request to the controllers in turn until one gives a final answer. The error
// has the exit status exitNoAnswer if none does.
func (d *drainCommand) send(settings *settings.Settings) (*drain.Response, error) {
	var response drain.Response
	client := adminclient.NewClient(peer.NewClient(), adminclient.Nodes(settings), d.timeout)
	err := client.Ask(drain.RequestPath, &d.request, func(answer []byte) (adminclient.Outcome, error) {
		response = drain.Response{}
		if err := json.Unmarshal(answer, &response); err != nil {
			return adminclient.Outcome{}, err
		}
		return adminclient.Outcome{
			Final:  response.Status == drain.StatusOK || response.Status == drain.StatusRefused,
			Reason: response.Reason, Retry: time.Duration(response.RetryMS) * time.Millisecond,
		}, nil
	})
	var noAnswer *adminclient.NoAnswerError
	if errors.As(err, &noAnswer) {
		return nil, &exitError{exitNoAnswer, err}
	}
	if err != nil {
		return nil, err
	}
	return &response, nil
}
