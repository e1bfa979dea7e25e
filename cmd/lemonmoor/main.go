// Command lemonmoor is one controller of the cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"lemonmoor/internal/controller"
	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/peer"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// version of the program.
const version = "0.1.0"

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lemonmoor:", err)
		var exit *exitError
		if errors.As(err, &exit) {
			os.Exit(exit.status)
		}
		os.Exit(1)
	}
}

// command is the command line. Operators' tools get commands of their own
// beside these.
func command() *cobra.Command {
	var config, operator string
	root := &cobra.Command{
		Use:           "lemonmoor --config FILE",
		Short:         "A cluster scheduler: users, workers, cloud, and what runs where",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return errors.New("--config FILE is needed (see --help)")
			}
			set, err := settings.Load(config, operator)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), set)
		},
	}
	root.PersistentFlags().StringVar(&config, "config", "", "the platform's settings `FILE` (JSON)")
	root.PersistentFlags().StringVar(&operator, "operator", "", "the operators' own settings `FILE` (HCL)")
	root.AddCommand(&cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "lemonmoor", version, runtime.Version())
		},
	}, &cobra.Command{
		Use: "check", Short: "Check the settings files and exit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return errors.New("--config FILE is needed")
			}
			if _, err := settings.Load(config, operator); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are in order")
			return nil
		},
	})
	root.AddCommand(newDrainCommand(&config))
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

// logger writes to standard error at the level that LOG_LEVEL names.
func logger(node string) *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "debug":
		level = slog.LevelDebug
	case "warn":
		level = slog.LevelWarn
	case "error":
		level = slog.LevelError
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", node)
}

// serve runs the node until the process is killed or cannot listen.
func serve(ctx context.Context, set *settings.Settings) error {
	quota := set.Deployment.Quota.MemMB * 1e6
	debug.SetMemoryLimit(int64(quota * tuning.GoMemoryShare))
	debug.SetGCPercent(tuning.GCPercent)

	log := logger(set.Node)
	loop := eventloop.NewLoop()
	sockets := http1.NewSocketBudget(set.Deployment.Quota.Sockets)
	client := http1.NewClient(sockets, set.External.State, set.External.Cloud)
	rt := eventloop.NewSystemRuntime(loop, client, peer.NewClient())
	// Below 2^50, exact wherever JSON numbers are read as floating point.
	node := controller.New(rt, set, rand.Uint64()>>14, log)
	server := http1.NewServer(http1.ServerConfig{
		Handle: func(request *http1.Request, respond http1.ResponseWriter) {
			lane := controller.RequestLane(request)
			if lane == eventloop.UserLane && loop.QueueLength(lane) > tuning.MaxQueuedUserRequests {
				respond(http.StatusServiceUnavailable, http1.ErrorBody("overloaded"), tuning.RetryAfterSeconds)
				return
			}
			loop.Post(lane, func() { node.Handle(request, respond) })
		},
		Sockets: sockets,
		Log:     log,
		IsUser: func(request *http1.Request) bool {
			return controller.RequestLane(request) == eventloop.UserLane
		},
		WorkerIdleTimeout: tuning.AbandonedConnectionHeartbeats * set.HeartbeatInterval(),
	})

	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		if err := server.Serve(set.ServeOn); err != nil {
			cancel(fmt.Errorf("serve on %s: %w", set.ServeOn, err))
		}
	}()
	go func() {
		err := peer.Serve(set.PeerBind, func(path string, body []byte, answer func([]byte, bool)) {
			loop.Post(eventloop.HeartbeatLane, func() { node.HandlePeer(path, body, answer) })
		}, log)
		cancel(err)
	}()
	loop.Post(eventloop.DecisionLane, node.Start)
	loop.Run(ctx, node.AfterBatch)
	return context.Cause(ctx)
}
