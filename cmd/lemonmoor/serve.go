package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"strings"

	"lemonmoor/internal/controller"
	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/peer"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
)

// bytesPerMB is the number of bytes in a megabyte of the platform's memory quota.
const bytesPerMB = 1e6

// nonceDiscardedBits is the number of random bits discarded from a nonce. The nonce stays below
// 2^50 and so is exact where JSON numbers are decoded as floating point.
const nonceDiscardedBits = 14

// serve runs the node. It returns only if ctx is done or a listener fails.
func serve(ctx context.Context, settings *settings.Settings) error {
	limitMemory(settings.Deployment.Quota.MemMB)
	log := newLogger(settings.Node)
	loop := eventloop.NewLoop()
	sockets := http1.NewSocketBudget(settings.Deployment.Quota.Sockets)
	client := http1.NewClient(sockets, settings.External.State, settings.External.Cloud)
	runtime := eventloop.NewSystemRuntime(loop, client, peer.NewClient())
	node := controller.New(runtime, settings, rand.Uint64()>>nonceDiscardedBits, log)
	server := http1.NewServer(http1.ServerConfig{
		Handle:            userAndWorkerHandler(loop, node),
		Sockets:           sockets,
		Log:               log,
		IsUser:            isUserRequest,
		Metrics:           node.Metrics,
		WorkerIdleTimeout: tuning.AbandonedConnectionHeartbeats * settings.HeartbeatInterval(),
	})

	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		if err := server.Serve(settings.ServeOn); err != nil {
			cancel(fmt.Errorf("serve on %s: %w", settings.ServeOn, err))
		}
	}()
	go func() { cancel(peer.Serve(settings.PeerBind, peerHandler(loop, node), log)) }()
	loop.Post(eventloop.DecisionLane, node.Start)
	loop.Run(ctx, node.AfterBatch)
	return context.Cause(ctx)
}

// limitMemory sets the memory limit and garbage collection target of the Go runtime, so that
// the process stays within the platform's memory quota.
func limitMemory(quotaMB float64) {
	quotaBytes := quotaMB * bytesPerMB
	debug.SetMemoryLimit(int64(quotaBytes * tuning.GoMemoryShare))
	debug.SetGCPercent(tuning.GCPercent)
}

// userAndWorkerHandler returns a handler that posts requests to their lane of the loop. It
// refuses users' requests while more than tuning.MaxQueuedUserRequests are queued.
func userAndWorkerHandler(loop *eventloop.Loop, node *controller.Node) http1.Handler {
	return func(request *http1.Request, respond http1.ResponseWriter) {
		lane := controller.RequestLane(request)
		if lane == eventloop.UserLane && loop.QueueLength(lane) > tuning.MaxQueuedUserRequests {
			respond(http.StatusServiceUnavailable, http1.ErrorBody("overloaded"), tuning.RetryAfterSeconds)
			return
		}
		loop.Post(lane, func() { node.Handle(request, respond) })
	}
}

func isUserRequest(request *http1.Request) bool {
	return controller.RequestLane(request) == eventloop.UserLane
}

// peerHandler returns a handler that posts messages from other controllers to the loop.
func peerHandler(loop *eventloop.Loop, node *controller.Node) peer.Handler {
	return func(path string, body []byte, answer func(body []byte, ok bool)) {
		loop.Post(eventloop.HeartbeatLane, func() { node.HandlePeer(path, body, answer) })
	}
}

// newLogger returns a logger that writes to standard error at the level in the environment
// variable LOG_LEVEL, by default info.
func newLogger(node string) *slog.Logger {
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
