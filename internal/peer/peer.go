// Package peer carries messages between the controllers. Each message and its
// answer are one stream of an HTTP/2 connection that stays open.
package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"lemonmoor/internal/tuning"
)

// Client sends messages to the other controllers.
type Client struct{ client *http.Client }

// NewClient returns links without connections.
func NewClient() *Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &Client{&http.Client{Transport: &http.Transport{
		Protocols:   &protocols,
		DialContext: (&net.Dialer{Timeout: tuning.PeerDialTimeout}).DialContext,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: tuning.PeerPingAfter, PingTimeout: tuning.PeerDialTimeout,
			MaxReadFrameSize: 16 << 10, MaxReceiveBufferPerConnection: 256 << 10, MaxReceiveBufferPerStream: 128 << 10,
		},
		IdleConnTimeout: time.Minute,
	}}}
}

// Send sends a message and waits for the answer.
func (l *Client) Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("message to %s: %w", endpoint, err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("message to %s: %w", endpoint, err)
	}
	defer func() { _ = resp.Body.Close() }() // the answer has been read, or its error is returned
	answer, err := io.ReadAll(io.LimitReader(resp.Body, tuning.MaxPeerMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", endpoint, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answer of %s: status %d", endpoint, resp.StatusCode)
	}
	return answer, nil
}

// Handler takes a message; answer is called once, with ok false to refuse.
type Handler func(path string, body []byte, answer func(body []byte, ok bool))

// Serve takes messages on addr until listening fails.
func Serve(addr string, handle Handler, log *slog.Logger) error {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Addr: addr, Protocols: &protocols, ReadHeaderTimeout: tuning.SlowRequestTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: 64,
			MaxReadFrameSize:     16 << 10, MaxReceiveBufferPerConnection: 256 << 10, MaxReceiveBufferPerStream: 128 << 10,
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(io.LimitReader(r.Body, tuning.MaxPeerMessageBytes))
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			type result struct {
				body []byte
				ok   bool
			}
			done := make(chan result, 1)
			handle(r.URL.Path, body, func(body []byte, ok bool) {
				select {
				case done <- result{body, ok}:
				default:
				}
			})
			select {
			case res := <-done:
				if !res.ok {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				if _, err := w.Write(res.body); err != nil {
					log.Debug("peer answer not sent", "err", err)
				}
			case <-r.Context().Done():
			case <-time.After(tuning.PeerRequestTimeout * 2):
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("serve peers on %s: %w", addr, err)
	}
	return nil
}
