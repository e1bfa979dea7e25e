package peer

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"lemonmoor/internal/tuning"
)

// Handler takes a message. It must not block, and calls answer once, from any goroutine;
// ok false refuses the message.
type Handler func(path string, body []byte, answer func(body []byte, ok bool))

// result is what a handler answers.
type result struct {
	body []byte
	ok   bool
}

// Serve takes messages on addr until listening fails.
func Serve(addr string, handle Handler, log *slog.Logger) error {
	server := &http.Server{
		Addr:              addr,
		Protocols:         unencryptedHTTP2(),
		ReadHeaderTimeout: tuning.SlowRequestTimeout,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxConcurrentStreams,
			MaxReadFrameSize:              maxFrameBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
			MaxReceiveBufferPerStream:     streamBufferBytes,
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveMessage(w, r, handle, log) }),
	}
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("serve peers on %s: %w", addr, err)
	}
	return nil
}

// serveMessage hands one message to the handler and writes its answer. A handler that does
// not answer in time counts as having refused: the sender has given up by then.
func serveMessage(w http.ResponseWriter, r *http.Request, handle Handler, log *slog.Logger) {
	body, err := io.ReadAll(io.LimitReader(r.Body, tuning.MaxPeerMessageBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answered := make(chan result, 1)
	handle(r.URL.Path, body, func(body []byte, ok bool) {
		select {
		case answered <- result{body, ok}:
		default: // only the first answer counts
		}
	})
	select {
	case answer := <-answered:
		if !answer.ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := w.Write(answer.body); err != nil {
			log.Debug("peer answer not sent", "err", err)
		}
	case <-r.Context().Done():
	case <-time.After(2 * tuning.PeerRequestTimeout):
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
