package http1

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"lemonmoor/internal/tuning"
)

// startEchoServer answers every request on loopback with an empty object until the test
// ends, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Skip("no loopback here:", err)
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

// answerAll answers what comes on a connection until it fails.
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

// TestConnectionsAreClosedInOrderAsSocketsRunOut guards against a process that meets the platform's limit:
// near it connections that are not in use are closed, then direct commands are not
// sent, and calls to the state service are still made.
func TestConnectionsAreClosedInOrderAsSocketsRunOut(t *testing.T) {
	addr := startEchoServer(t)
	const limit = 1000
	sockets := NewSocketBudget(limit)
	worker, state := NewClient(sockets), NewClient(sockets, addr)
	ask := func(c *Client) error {
		_, _, err := c.Send(addr, ClientRequest{Method: "GET", Target: "/"}, 5*time.Second)
		return err
	}
	fill := func(left float64) { sockets.openSockets.Store(limit - int64(left*limit)) }
	if err := ask(worker); err != nil || sockets.openSockets.Load() != 1 {
		t.Fatalf("%d open, %v", sockets.openSockets.Load(), err)
	}
	fill(tuning.TightSocketShare - 0.01)
	before := sockets.openSockets.Load()
	worker.CloseIdle()
	if n := sockets.openSockets.Load(); n != before-1 {
		t.Errorf("%d of %d open after the idle one was to go", n, before)
	}
	if err := ask(worker); err != nil || sockets.openSockets.Load() != before-1 {
		t.Errorf("%d open after a call, %v", sockets.openSockets.Load(), err)
	}
	fill(tuning.ScarceSocketShare - 0.01)
	if err := ask(worker); !errors.Is(err, errSocketsScarce) {
		t.Errorf("a direct command takes one of the last sockets: %v", err)
	}
	if err := ask(state); err != nil {
		t.Errorf("the state service is not called: %v", err)
	}
	if sockets.IsExhausted() {
		t.Error("workers are refused while sockets are left for them")
	}
	if fill(0.001); !sockets.IsExhausted() {
		t.Error("the last sockets are given away")
	}
}

// TestUsersYieldToHeartbeatsWhenSocketsAreScarce: users are refused at once and told when
// to come back, and heartbeats are answered.
func TestUsersYieldToHeartbeatsWhenSocketsAreScarce(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Skip("no loopback here:", err)
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
		for range 200 { // until it listens
			if response, _, err = client.Send(addr, ClientRequest{Method: "GET", Target: path}, 5*time.Second); err == nil {
				return response.Status, response.CloseAfter
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal(err)
		return 0, false
	}
	for _, test := range []struct {
		left   float64
		path   string
		status int
		close  bool
	}{
		{0.5, "/work", 200, false},
		{0.5, "/beat", 200, false},
		{tuning.TightSocketShare - 0.03, "/work", 200, true},
		{tuning.TightSocketShare - 0.03, "/beat", 200, false},
		{tuning.ScarceSocketShare - 0.02, "/work", 503, true},
		{tuning.ScarceSocketShare - 0.02, "/beat", 200, false},
	} {
		sockets.openSockets.Store(limit - int64(test.left*limit))
		if status, closed := ask(test.path); status != test.status || closed != test.close {
			t.Errorf("%s with %.2f of the sockets left: %d, closed %v", test.path, test.left, status, closed)
		}
	}
}
