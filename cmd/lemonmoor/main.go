// Command lemonmoor runs one controller of the cluster scheduler. Its subcommands check settings
// files and send operators' requests to the controllers.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"lemonmoor/internal/settings"
)

// version is the version of the program.
const version = "0.1.0"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lemonmoor:", err)
		os.Exit(statusOf(err))
	}
}

// configFlags are the flags with the paths of the settings files.
type configFlags struct {
	platformFile string // JSON, from the platform
	operatorFile string // HCL, from the operators; may be empty
}

// load reads and checks the settings files.
func (c *configFlags) load() (*settings.Settings, error) {
	if c.platformFile == "" {
		return nil, errConfigNeeded
	}
	return settings.Load(c.platformFile, c.operatorFile)
}

// newRootCommand returns the root command with all subcommands. Without a subcommand the
// program runs a controller; each tool for operators is a subcommand.
func newRootCommand() *cobra.Command {
	config := &configFlags{}
	root := &cobra.Command{
		Use:           "lemonmoor --config FILE",
		Short:         "A cluster scheduler: runs users' jobs on machines rented from a cloud",
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
