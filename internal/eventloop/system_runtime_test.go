package eventloop

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"lemonmoor/internal/http1"
)

// startRuntime starts a loop that runs until the test ends, and returns its runtime.
func startRuntime(t *testing.T, peers PeerSender) *SystemRuntime {
	t.Helper()
	loop := NewLoop()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loop.Run(ctx, func() {})
	return NewSystemRuntime(loop, http1.NewClient(http1.NewSocketBudget(0)), peers)
}

// listen returns the address of a listener that passes each connection to serve and closes it
// afterwards.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			serve(connection)
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}

// call sends a request to an address and waits for its response.
func call(t *testing.T, runtime *SystemRuntime, address string) (http1.Response, error) {
	t.Helper()
	type outcome struct {
		response http1.Response
		err      error
	}
	outcomes := make(chan outcome, 1)
	request := http1.ClientRequest{Method: "GET", Target: "/"}
	runtime.CallHTTP(address, request, 5*time.Second, func(response http1.Response, err error) {
		outcomes <- outcome{response, err}
	})
	select {
	case received := <-outcomes:
		return received.response, received.err
	case <-time.After(20 * time.Second):
		t.Fatal("CallHTTP did not call fn within 20 s")
		return http1.Response{}, nil
	}
}

// TestCallErrorsDistinguishNotSentFromNoAnswer guards against calls that fail with ErrNotSent
// although they may have reached their target: callers treat such a call as not carried out.
func TestCallErrorsDistinguishNotSentFromNoAnswer(t *testing.T) {
	runtime := startRuntime(t, nil)
	t.Run("answered", func(t *testing.T) {
		address := listen(t, func(connection net.Conn) {
			_, _ = connection.Read(make([]byte, 4096))
			_, _ = connection.Write([]byte("HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"))
		})
		if response, err := call(t, runtime, address); err != nil || response.Status != 409 || string(response.Body) != "{}" {
			t.Errorf("got status %d, body %s, %v; want 409, {}", response.Status, response.Body, err)
		}
	})
	t.Run("read but not answered", func(t *testing.T) {
		address := listen(t, func(connection net.Conn) { _, _ = connection.Read(make([]byte, 4096)) })
		if _, err := call(t, runtime, address); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("a call that was read but not answered: %v, want %v", err, ErrNoAnswer)
		}
	})
	t.Run("not connected", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := call(t, runtime, address); !errors.Is(err, ErrNotSent) {
			t.Errorf("a call to a closed port: %v, want %v", err, ErrNotSent)
		}
	})
}

// TestAfterNeverRunsItsFunctionSynchronously checks that a function without a delay is queued
// as well. Run within the call, it could change state that the caller does not expect to
// change.
func TestAfterNeverRunsItsFunctionSynchronously(t *testing.T) {
	loop := NewLoop()
	runtime := NewSystemRuntime(loop, http1.NewClient(http1.NewSocketBudget(0)), nil)
	ran := false
	runtime.After(0, func() { ran = true })
	if ran || loop.QueueLength(DecisionLane) != 1 {
		t.Errorf("After(0): function ran: %v, %d commands queued; want it queued and not run", ran, loop.QueueLength(DecisionLane))
	}
}
