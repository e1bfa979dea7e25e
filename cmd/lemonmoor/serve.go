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

// bytesPerMB is that of the platform's quota.
const bytesPerMB = 1e6

// nonceDiscardedBits leaves a nonce below 2^50, exact wherever JSON numbers are read as
// floating point.
const nonceDiscardedBits = 14

// serve runs the node until the process is killed or cannot listen.
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

// limitMemory keeps the process within the platform's quota of memory.
func limitMemory(quotaMB float64) {
	quotaBytes := quotaMB * bytesPerMB
	debug.SetMemoryLimit(int64(quotaBytes * tuning.GoMemoryShare))
	debug.SetGCPercent(tuning.GCPercent)
}

// userAndWorkerHandler posts requests to the loop in their lane, and refuses users' while
// too many of theirs wait.
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

// peerHandler posts messages of other controllers to the loop.
func peerHandler(loop *eventloop.Loop, node *controller.Node) peer.Handler {
	return func(path string, body []byte, answer func(body []byte, ok bool)) {
		loop.Post(eventloop.HeartbeatLane, func() { node.HandlePeer(path, body, answer) })
	}
}

// newLogger writes to standard error at the level that LOG_LEVEL names.
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
