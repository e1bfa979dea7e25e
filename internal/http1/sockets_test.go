package http1

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// startEchoServer starts a server on the loopback interface that answers every request with an
// empty JSON object until the test ends, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Skip("cannot listen on the loopback interface:", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn)
		}
	}()
	return listener.Addr().String()
}

// answerAll answers everything received on a connection until the connection fails.
func answerAll(conn net.Conn) {
	buf := make([]byte, 1024)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		if _, err := conn.Write(AppendResponse(nil, 200, []byte("{}"), 0, false)); err != nil {
			return
		}
	}
}

// TestConnectionsAreClosedInOrderAsSocketsRunOut guards against a process that reaches the
// platform's limit of sockets, at which it cannot call the state service either. Near the
// limit idle connections are closed, then direct commands are not sent, while calls to the
// state service still are.
func TestConnectionsAreClosedInOrderAsSocketsRunOut(t *testing.T) {
	addr := startEchoServer(t)
	const limit = 1000
	sockets := NewSocketBudget(limit)
	worker, state := NewClient(sockets), NewClient(sockets, addr)
	ask := func(c *Client) error {
		_, _, err := c.Send(addr, ClientRequest{Method: "GET", Target: "/"}, 5*time.Second)
		return err
	}
	setFreeShare := func(freeShare float64) { sockets.openSockets.Store(limit - int64(freeShare*limit)) }
	if err := ask(worker); err != nil || sockets.openSockets.Load() != 1 {
		t.Fatalf("after the first call: %d sockets open, %v; want 1", sockets.openSockets.Load(), err)
	}
	setFreeShare(tuning.TightSocketShare - 0.01)
	openBefore := sockets.openSockets.Load()
	worker.CloseIdle()
	if n := sockets.openSockets.Load(); n != openBefore-1 {
		t.Errorf("CloseIdle while sockets are tight: %d of %d sockets open, want %d", n, openBefore, openBefore-1)
	}
	if err := ask(worker); err != nil || sockets.openSockets.Load() != openBefore-1 {
		t.Errorf("after a call while sockets are tight: %d sockets open, %v; want %d", sockets.openSockets.Load(), err, openBefore-1)
	}
	setFreeShare(tuning.ScarceSocketShare - 0.01)
	if err := ask(worker); !errors.Is(err, errSocketsScarce) {
		t.Errorf("direct command while sockets are scarce: %v, want %v", err, errSocketsScarce)
	}
	if err := ask(state); err != nil {
		t.Errorf("call of the state service while sockets are scarce: %v, want it answered", err)
	}
	if sockets.IsExhausted() {
		t.Error("sockets count as exhausted, so that workers are refused, while they are only scarce")
	}
	if setFreeShare(0.001); !sockets.IsExhausted() {
		t.Error("sockets do not count as exhausted with 0.1 % of them left")
	}
}

// TestUsersYieldToHeartbeatsWhenSocketsAreScarce checks that users' connections are closed
// after the response while sockets are tight, that users' requests are refused while sockets
// are scarce, and that heartbeats are answered all the time.
func TestUsersYieldToHeartbeatsWhenSocketsAreScarce(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Skip("cannot listen on the loopback interface:", err)
	}
	addr := probe.Addr().String()
	if err := probe.Close(); err != nil {
		t.Fatal(err)
	}
	const limit = 1000
	sockets := NewSocketBudget(limit)
	server := NewServer(ServerConfig{
		Handle:  func(_ *Request, respond ResponseWriter) { respond(200, []byte("{}"), 0) },
		Sockets: sockets,
		Log:     slog.New(slog.DiscardHandler),
		IsUser:  func(r *Request) bool { return r.Path == "/work" },
	})
	go func() { _ = server.Serve(addr) }()
	client := NewClient(NewSocketBudget(0))
	ask := func(path string) (int, bool) {
		var response *Response
		for range 200 { // until the server listens
			if response, _, err = client.Send(addr, ClientRequest{Method: "GET", Target: path}, 5*time.Second); err == nil {
				return response.Status, response.CloseAfter
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal(err)
		return 0, false
	}
	for _, test := range []struct {
		freeShare float64
		path      string
		status    int
		close     bool
	}{
		{0.5, "/work", 200, false},
		{0.5, "/beat", 200, false},
		{tuning.TightSocketShare - 0.03, "/work", 200, true},
		{tuning.TightSocketShare - 0.03, "/beat", 200, false},
		{tuning.ScarceSocketShare - 0.02, "/work", 503, true},
		{tuning.ScarceSocketShare - 0.02, "/beat", 200, false},
	} {
		sockets.openSockets.Store(limit - int64(test.freeShare*limit))
		if status, closed := ask(test.path); status != test.status || closed != test.close {
			t.Errorf("%s with a share of %.2f of the sockets left: status %d, closed %v; want %d, %v", test.path, test.freeShare, status, closed, test.status, test.close)
		}
	}
}
