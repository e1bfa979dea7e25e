package http1

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lemonmoor/internal/tuning"
)

// ResponseWriter answers a request once; it may be called from any goroutine.
type ResponseWriter func(status int, body []byte, retryAfter int)

// Handler takes requests off the network. It must not block.
type Handler func(req *Request, reply ResponseWriter)

// Server serves HTTP/1.1 on gnet's event loop.
type Server struct {
	gnet.BuiltinEventEngine
	// IsUser tells users' requests from the others'.
	IsUser func(*Request) bool
	// WorkerIdleTimeout is when a connection that is no user's counts as forsaken: a
	// machine that died or was cut off does not close its own.
	WorkerIdleTimeout time.Duration

	handle  Handler
	sockets *SocketBudget
	log     *slog.Logger
	started time.Time

	mu    sync.Mutex
	connections map[gnet.Conn]*connectionState
}

// connectionState is what the server keeps of a connection.
type connectionState struct {
	awaitsResponse    atomic.Bool  // a request waits for its answer
	lastActivityMS atomic.Int64 // ms since start, of the last byte or answer
	hasPartialRequest atomic.Bool  // an incomplete request is buffered
	isUser    atomic.Bool  // its last request was a user's
}

// NewServer returns a server that hands requests to handle.
func NewServer(handle Handler, sockets *SocketBudget, log *slog.Logger) *Server {
	return &Server{
		handle: handle, sockets: sockets, log: log, started: time.Now(), connections: map[gnet.Conn]*connectionState{},
		IsUser: func(*Request) bool { return false }, WorkerIdleTimeout: tuning.IdleConnectionTimeout,
	}
}

// Serve listens on addr until the process ends or listening fails.
func (s *Server) Serve(addr string) error {
	return gnet.Run(s, "tcp://"+addr,
		gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(16*1024), gnet.WithWriteBufferCap(16*1024),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(gnetLogger{s.log}))
}

func (s *Server) uptimeMS() int64 { return time.Since(s.started).Milliseconds() }

// OnOpen notes a new connection.
func (s *Server) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	state := &connectionState{}
	state.lastActivityMS.Store(s.uptimeMS())
	connection.SetContext(state)
	s.sockets.noteOpened()
	s.mu.Lock()
	s.connections[connection] = state
	s.mu.Unlock()
	if s.sockets.IsExhausted() {
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose forgets a connection.
func (s *Server) OnClose(connection gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	_, there := s.connections[connection]
	delete(s.connections, connection)
	s.mu.Unlock()
	if there {
		s.sockets.noteClosed()
	}
	return gnet.None
}

// OnTraffic reads requests, one at a time: the next is not looked at before
// the answer to the last has gone out.
func (s *Server) OnTraffic(connection gnet.Conn) gnet.Action {
	state, ok := connection.Context().(*connectionState)
	if !ok {
		return gnet.Close
	}
	if state.awaitsResponse.Load() {
		if connection.InboundBuffered() > 2*tuning.MaxBodyBytes {
			return gnet.Close
		}
		return gnet.None
	}
	buf, _ := connection.Peek(-1)
	if len(buf) == 0 {
		return gnet.None
	}
	state.lastActivityMS.Store(s.uptimeMS())
	request, size, err := ParseRequest(buf)
	if err != nil {
		status := 400
		if f, ok := err.(*ProtocolError); ok {
			status = f.Status
		}
		_, _ = connection.Write(AppendResponse(nil, status, ErrorBody(err.Error()), 0, true))
		return gnet.Close
	}
	if request == nil {
		state.hasPartialRequest.Store(true)
		return gnet.None
	}
	state.hasPartialRequest.Store(false)
	_, _ = connection.Discard(size)
	isUser := s.IsUser(request)
	state.isUser.Store(isUser)
	if isUser && s.sockets.IsScarce() {
		_, _ = connection.Write(AppendResponse(nil, 503, ErrorBody("no sockets left"), tuning.RetryAfterSeconds, true))
		return gnet.Close
	}
	state.awaitsResponse.Store(true)
	s.handle(request, s.responseWriter(connection, state, request.CloseAfter, isUser))
	return gnet.None
}

// responseWriter answers the request that a connection is busy with, once.
func (s *Server) responseWriter(connection gnet.Conn, state *connectionState, closeAfter, isUser bool) ResponseWriter {
	var once atomic.Bool
	return func(status int, body []byte, retryAfter int) {
		if !once.CompareAndSwap(false, true) {
			return
		}
		closing := closeAfter || (isUser && s.sockets.IsTight())
		out := AppendResponse(nil, status, body, retryAfter, closing)
		_ = connection.AsyncWrite(out, func(connection gnet.Conn, err error) error {
			if err != nil || connection == nil {
				return nil
			}
			state.lastActivityMS.Store(s.uptimeMS())
			state.awaitsResponse.Store(false)
			if closing {
				return connection.Close()
			}
			if connection.InboundBuffered() > 0 {
				return connection.Wake(nil)
			}
			return nil
		})
	}
}

// OnTick closes slow and idle connections, users' at once when sockets are
// tight.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := s.uptimeMS()
	userIdleTimeout := tuning.IdleConnectionTimeout
	if s.sockets.IsTight() {
		userIdleTimeout = tuning.SocketSweepInterval
	}
	var expired []gnet.Conn
	s.mu.Lock()
	for connection, state := range s.connections {
		age := time.Duration(now-state.lastActivityMS.Load()) * time.Millisecond
		if state.awaitsResponse.Load() {
			continue
		}
		limit := s.WorkerIdleTimeout
		if state.isUser.Load() {
			limit = userIdleTimeout
		}
		if age > limit || (state.hasPartialRequest.Load() && age > tuning.SlowRequestTimeout) {
			expired = append(expired, connection)
		}
	}
	s.mu.Unlock()
	for _, connection := range expired {
		_ = connection.Close()
	}
	return tuning.SocketSweepInterval, gnet.None
}

// gnetLogger carries gnet's own messages to the log at debug level.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(string, ...any)          {}
func (g gnetLogger) Infof(string, ...any)           {}
func (g gnetLogger) Warnf(format string, a ...any)  { g.log.Debug("gnet", "format", format, "args", a) }
func (g gnetLogger) Errorf(format string, a ...any) { g.log.Debug("gnet", "format", format, "args", a) }
func (g gnetLogger) Fatalf(format string, a ...any) { g.log.Error("gnet", "format", format, "args", a) }
