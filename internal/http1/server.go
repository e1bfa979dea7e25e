package http1

import (
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lemonmoor/internal/tuning"
)

// ResponseWriter answers a request; calls after the first do nothing. retryAfter is in
// seconds, 0 for none. It may be called from any goroutine.
type ResponseWriter func(status int, body []byte, retryAfter int)

// Handler takes a request off the network. It must not block.
type Handler func(request *Request, respond ResponseWriter)

// ServerConfig is what a server needs to know of the process that it serves.
type ServerConfig struct {
	Handle  Handler
	Sockets *SocketBudget
	Log     *slog.Logger
	// IsUser reports whether a request comes from a user, whose connections yield to those
	// of workers when sockets run out. Nil takes none for a user's.
	IsUser func(*Request) bool
	// WorkerIdleTimeout is how long a connection that is no user's may be idle. A machine
	// that died or was cut off does not close its own. 0 stands for
	// tuning.IdleConnectionTimeout.
	WorkerIdleTimeout time.Duration
}

// Server serves HTTP/1.1 on gnet's event loop, one request of a connection at a time.
type Server struct {
	gnet.BuiltinEventEngine
	config  ServerConfig
	started time.Time

	mu          sync.Mutex
	connections map[gnet.Conn]*connectionState
}

// connectionState is what the server knows of a connection. The event loop and the
// goroutines that answer share it.
type connectionState struct {
	awaitsResponse    atomic.Bool
	lastActivityMS    atomic.Int64 // uptime at the last byte or response, in milliseconds
	hasPartialRequest atomic.Bool
	isUser            atomic.Bool // the last request came from a user
}

// NewServer returns a server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	if config.IsUser == nil {
		config.IsUser = func(*Request) bool { return false }
	}
	if config.WorkerIdleTimeout == 0 {
		config.WorkerIdleTimeout = tuning.IdleConnectionTimeout
	}
	return &Server{config: config, started: time.Now(), connections: map[gnet.Conn]*connectionState{}}
}

// bufferBytes is the capacity of gnet's read and write buffers of one connection.
const bufferBytes = 16 * 1024

// Serve listens on addr until the process ends or listening fails.
func (s *Server) Serve(addr string) error {
	return gnet.Run(s, "tcp://"+addr,
		gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(bufferBytes), gnet.WithWriteBufferCap(bufferBytes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(gnetLogger{s.config.Log}))
}

func (s *Server) uptimeMS() int64 { return time.Since(s.started).Milliseconds() }

// OnOpen implements gnet.EventHandler: it counts a new connection, and closes it if the
// last sockets are needed for calls that must go through.
func (s *Server) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	state := &connectionState{}
	state.lastActivityMS.Store(s.uptimeMS())
	connection.SetContext(state)
	s.config.Sockets.countOpened()
	s.mu.Lock()
	s.connections[connection] = state
	s.mu.Unlock()
	if s.config.Sockets.IsExhausted() {
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler: it forgets a connection.
func (s *Server) OnClose(connection gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	_, tracked := s.connections[connection]
	delete(s.connections, connection)
	s.mu.Unlock()
	if tracked {
		s.config.Sockets.countClosed()
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler: it hands the next request to the handler. Further
// ones wait until the response has been written.
func (s *Server) OnTraffic(connection gnet.Conn) gnet.Action {
	state, ok := connection.Context().(*connectionState)
	if !ok {
		return gnet.Close
	}
	if state.awaitsResponse.Load() {
		if connection.InboundBuffered() > 2*tuning.MaxBodyBytes {
			return gnet.Close // it pipelines requests, which the protocol rules out
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
		status := http.StatusBadRequest
		var protocolError *ProtocolError
		if errors.As(err, &protocolError) {
			status = protocolError.Status
		}
		return refuse(connection, status, err.Error(), 0)
	}
	state.hasPartialRequest.Store(request == nil)
	if request == nil {
		return gnet.None
	}
	_, _ = connection.Discard(size) // no more than Peek returned
	isUser := s.config.IsUser(request)
	state.isUser.Store(isUser)
	if isUser && s.config.Sockets.IsScarce() {
		return refuse(connection, http.StatusServiceUnavailable, "no sockets left", tuning.RetryAfterSeconds)
	}
	state.awaitsResponse.Store(true)
	s.config.Handle(request, s.responseWriter(connection, state, request.CloseAfter, isUser))
	return gnet.None
}

// refuse answers on the event loop and has the connection closed.
func refuse(connection gnet.Conn, status int, reason string, retryAfter int) gnet.Action {
	_, _ = connection.Write(AppendResponse(nil, status, ErrorBody(reason), retryAfter, true)) // closed either way
	return gnet.Close
}

// responseWriter returns what answers the request that a connection waits with. closeAfter
// says that the client asked for the connection to be closed.
func (s *Server) responseWriter(connection gnet.Conn, state *connectionState, closeAfter, isUser bool) ResponseWriter {
	var answered atomic.Bool
	return func(status int, body []byte, retryAfter int) {
		if !answered.CompareAndSwap(false, true) {
			return
		}
		closing := closeAfter || (isUser && s.config.Sockets.IsTight())
		response := AppendResponse(nil, status, body, retryAfter, closing)
		_ = connection.AsyncWrite(response, func(connection gnet.Conn, err error) error {
			if err != nil || connection == nil {
				return nil //nolint:nilerr // the connection is gone, and OnClose has been told
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
		}) // fails only if the connection is gone
	}
}

// OnTick implements gnet.EventHandler: it closes idle connections and those whose request
// arrives too slowly. While sockets are tight, users' idle ones go at once.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	userIdleTimeout := tuning.IdleConnectionTimeout
	if s.config.Sockets.IsTight() {
		userIdleTimeout = tuning.SocketSweepInterval
	}
	for _, connection := range s.expired(userIdleTimeout) {
		_ = connection.Close() // fails only if it is closed already
	}
	return tuning.SocketSweepInterval, gnet.None
}

// expired lists the connections that are to be closed.
func (s *Server) expired(userIdleTimeout time.Duration) []gnet.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.uptimeMS()
	var expired []gnet.Conn
	for connection, state := range s.connections {
		if state.awaitsResponse.Load() {
			continue
		}
		idle := time.Duration(now-state.lastActivityMS.Load()) * time.Millisecond
		limit := s.config.WorkerIdleTimeout
		if state.isUser.Load() {
			limit = userIdleTimeout
		}
		if idle > limit || (state.hasPartialRequest.Load() && idle > tuning.SlowRequestTimeout) {
			expired = append(expired, connection)
		}
	}
	return expired
}

// gnetLogger carries gnet's own messages to the log: at debug level, since gnet warns of
// every connection that a client resets, and fatal ones as errors.
type gnetLogger struct{ log *slog.Logger }

// Debugf drops a message.
func (g gnetLogger) Debugf(string, ...any) {}

// Infof drops a message.
func (g gnetLogger) Infof(string, ...any) {}

// Warnf logs a warning at debug level.
func (g gnetLogger) Warnf(format string, args ...any) { g.debug(format, args) }

// Errorf logs an error at debug level.
func (g gnetLogger) Errorf(format string, args ...any) { g.debug(format, args) }

// Fatalf logs what ends the server.
func (g gnetLogger) Fatalf(format string, args ...any) {
	g.log.Error("HTTP server failed", "format", format, "args", args)
}

func (g gnetLogger) debug(format string, args []any) {
	g.log.Debug("HTTP server message", "format", format, "args", args)
}
