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

// StatusError reports that a controller received a message but gave no answer to it: it refused
// the message, or was too busy to answer in time.
type StatusError struct {
	Endpoint string
	Status   int // HTTP status
}

// Error names the controller and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with HTTP status %d", e.Endpoint, e.Status)
}

// Client sends messages to the other controllers over one open connection to each. It is safe
// for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client, which connects on the first message to each controller.
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

// Send sends a message and waits at most timeout for its answer. A *StatusError means that
// the controller refused the message or did not answer it in time. After any error the message
// may have been handled nevertheless.
func (c *Client) Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create message to %s: %w", endpoint, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send message to %s: %w", endpoint, err)
	}
	defer func() { _ = response.Body.Close() }() // the answer has been read, or its error is returned
	answer, err := io.ReadAll(io.LimitReader(response.Body, tuning.MaxPeerMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer from %s: %w", endpoint, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{endpoint, response.StatusCode}
	}
	return answer, nil
}
