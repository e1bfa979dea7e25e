// Command lemonmoor is one controller of the cluster scheduler, and the operators' commands
// that ask the controllers for something.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"lemonmoor/internal/settings"
)

// version of the program.
const version = "0.1.0"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lemonmoor:", err)
		os.Exit(statusOf(err))
	}
}

// configFlags names the settings files of a command.
type configFlags struct {
	platformFile string // JSON, from the platform
	operatorFile string // HCL, from the operators; may be empty
}

// load reads the settings files.
func (c *configFlags) load() (*settings.Settings, error) {
	if c.platformFile == "" {
		return nil, errConfigNeeded
	}
	return settings.Load(c.platformFile, c.operatorFile)
}

// newRootCommand is the whole command line: without a subcommand the program runs a
// controller. Operators' tools get commands of their own beside these.
func newRootCommand() *cobra.Command {
	config := &configFlags{}
	root := &cobra.Command{
		Use:           "lemonmoor --config FILE",
		Short:         "A cluster scheduler: users, workers, cloud, and what runs where",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := config.load()
			if errors.Is(err, errConfigNeeded) {
				return fmt.Errorf("%w (see --help)", err)
			}
			if err != nil {
				return err
			}
			return serve(cmd.Context(), loaded)
		},
	}
	root.PersistentFlags().StringVar(&config.platformFile, "config", "", "the platform's settings `FILE` (JSON)")
	root.PersistentFlags().StringVar(&config.operatorFile, "operator", "", "the operators' own settings `FILE` (HCL)")
	root.AddCommand(newVersionCommand(), newCheckCommand(config), newDrainCommand(config))
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "lemonmoor", version, runtime.Version())
		},
	}
}

func newCheckCommand(config *configFlags) *cobra.Command {
	return &cobra.Command{
		Use: "check", Short: "Check the settings files and exit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := config.load(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are in order")
			return nil
		},
	}
}
