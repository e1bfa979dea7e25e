package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"lemonmoor/internal/tuning"
)

// StatusError says that a controller did not take a message: it refused it, or was too busy
// to answer in time.
type StatusError struct {
	Endpoint string
	Status   int // of HTTP
}

// Error names the controller and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answer of %s: status %d", e.Endpoint, e.Status)
}

// Client sends messages to the other controllers and keeps one connection to each. It is
// safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		Protocols:   unencryptedHTTP2(),
		DialContext: (&net.Dialer{Timeout: tuning.PeerDialTimeout}).DialContext,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               tuning.PeerPingAfter,
			PingTimeout:                   tuning.PeerDialTimeout,
			MaxReadFrameSize:              maxFrameBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
			MaxReceiveBufferPerStream:     streamBufferBytes,
		},
		IdleConnTimeout: tuning.PeerIdleTimeout,
	}}}
}

// Send sends a message and waits for its answer, at most timeout. A message that was not
// taken gives a *StatusError; after any other error it may have been.
func (c *Client) Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("message to %s: %w", endpoint, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("message to %s: %w", endpoint, err)
	}
	defer func() { _ = response.Body.Close() }() // the answer has been read, or its error is returned
	answer, err := io.ReadAll(io.LimitReader(response.Body, tuning.MaxPeerMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", endpoint, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{endpoint, response.StatusCode}
	}
	return answer, nil
}
