package peer

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"lemonmoor/internal/tuning"
)

// Handler handles a message. It must not block. It must call answer once, from any goroutine;
// ok set to false refuses the message.
type Handler func(path string, body []byte, answer func(body []byte, ok bool))

// result is a handler's answer.
type result struct {
	body []byte
	ok   bool
}

// Serve listens on addr and passes each message to handle. It returns only when listening
// fails.
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

// serveMessage passes one message to the handler and writes the handler's answer. A message
// that is not answered within 2*tuning.PeerRequestTimeout is refused, because its sender no
// longer waits for the answer by then.
func serveMessage(writer http.ResponseWriter, request *http.Request, handle Handler, log *slog.Logger) {
	body, err := io.ReadAll(io.LimitReader(request.Body, tuning.MaxPeerMessageBytes))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	answered := make(chan result, 1)
	handle(request.URL.Path, body, func(body []byte, ok bool) {
		select {
		case answered <- result{body, ok}:
		default: // only the first answer counts
		}
	})
	select {
	case answer := <-answered:
		if !answer.ok {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := writer.Write(answer.body); err != nil {
			log.Debug("peer answer not sent", "err", err)
		}
	case <-request.Context().Done():
	case <-time.After(2 * tuning.PeerRequestTimeout):
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
