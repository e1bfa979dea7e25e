package http1

import (
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lemonmoor/internal/metrics"
	"lemonmoor/internal/tuning"
)

// ResponseWriter sends the response to a request; calls after the first have no effect.
// retryAfter is in seconds, 0 for none. It may be called from any goroutine.
type ResponseWriter func(status int, body []byte, retryAfter int)

// Handler handles a request. It runs on the server's event loop and must not block; it may
// call respond later.
type Handler func(request *Request, respond ResponseWriter)

// ServerConfig configures a Server.
type ServerConfig struct {
	Handle  Handler
	Sockets *SocketBudget
	Log     *slog.Logger
	// IsUser reports whether a request comes from a user. When sockets run out, users'
	// connections are closed before those of workers. If nil, no request counts as a user's.
	IsUser func(*Request) bool
	// WorkerIdleTimeout is how long a connection that is not a user's may be idle before it
	// is closed; 0 means tuning.IdleConnectionTimeout. The timeout is needed because a
	// machine that died or was cut off does not close its connection.
	WorkerIdleTimeout time.Duration
	// Metrics returns the metrics that are served at metrics.Path. It runs on the server's event
	// loop, so that metrics can be read while the handler's own loop is overloaded. If nil, no
	// metrics are served.
	Metrics func() ([]byte, error)
}

// Server serves HTTP/1.1 on gnet's event loop. It handles one request per connection at a time.
type Server struct {
	gnet.BuiltinEventEngine
	config  ServerConfig
	started time.Time

	mu          sync.Mutex
	connections map[gnet.Conn]*connectionState
}

// connectionState is the server's state of a connection. It is shared by the event loop and
// the goroutines that send responses.
type connectionState struct {
	awaitsResponse    atomic.Bool
	lastActivityMS    atomic.Int64 // uptime at the last byte or response, in milliseconds
	hasPartialRequest atomic.Bool
	isUser            atomic.Bool // the most recent request came from a user
}

// NewServer returns a server, which listens once Serve is called.
func NewServer(config ServerConfig) *Server {
	if config.IsUser == nil {
		config.IsUser = func(*Request) bool { return false }
	}
	if config.WorkerIdleTimeout == 0 {
		config.WorkerIdleTimeout = tuning.IdleConnectionTimeout
	}
	return &Server{config: config, started: time.Now(), connections: map[gnet.Conn]*connectionState{}}
}

// bufferBytes is the capacity of each of gnet's read and write buffers of a connection.
const bufferBytes = 16 * 1024

// Serve listens on addr and serves requests. It returns only when listening fails.
func (s *Server) Serve(addr string) error {
	return gnet.Run(s, "tcp://"+addr,
		gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(bufferBytes), gnet.WithWriteBufferCap(bufferBytes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(gnetLogger{s.config.Log}))
}

func (s *Server) uptimeMS() int64 { return time.Since(s.started).Milliseconds() }

// OnOpen implements gnet.EventHandler. It counts a new connection, and closes it if the
// sockets left are reserved for calls to the state service, the cloud and the peers.
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

// OnClose implements gnet.EventHandler. It removes a connection and returns its socket to the
// budget.
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

// OnTraffic implements gnet.EventHandler. It passes the next request to the handler. Later
// requests of the connection stay buffered until the response has been written.
func (s *Server) OnTraffic(connection gnet.Conn) gnet.Action {
	state, ok := connection.Context().(*connectionState)
	if !ok {
		return gnet.Close
	}
	if state.awaitsResponse.Load() {
		if connection.InboundBuffered() > 2*tuning.MaxBodyBytes {
			return gnet.Close // the client pipelines requests, which the protocol rules out
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
	if request.Path == metrics.Path && s.config.Metrics != nil {
		return s.serveMetrics(connection)
	}
	isUser := s.config.IsUser(request)
	state.isUser.Store(isUser)
	if isUser && s.config.Sockets.IsScarce() {
		return refuse(connection, http.StatusServiceUnavailable, "no sockets left", tuning.RetryAfterSeconds)
	}
	state.awaitsResponse.Store(true)
	s.config.Handle(request, s.responseWriter(connection, state, request.CloseAfter, isUser))
	return gnet.None
}

// serveMetrics sends the metrics on the event loop.
func (s *Server) serveMetrics(connection gnet.Conn) gnet.Action {
	text, err := s.config.Metrics()
	if err != nil {
		return refuse(connection, http.StatusInternalServerError, err.Error(), 0)
	}
	if _, err := connection.Write(appendText(nil, metrics.ContentType, text)); err != nil {
		return gnet.Close
	}
	return gnet.None
}

// refuse sends an error response on the event loop and closes the connection.
func refuse(connection gnet.Conn, status int, reason string, retryAfter int) gnet.Action {
	// A write error is ignored: the connection is closed in any case.
	_, _ = connection.Write(AppendResponse(nil, status, ErrorBody(reason), retryAfter, true))
	return gnet.Close
}

// responseWriter returns the ResponseWriter for the pending request of a connection.
// closeAfter reports that the client asked for the connection to be closed afterwards.
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
				return nil //nolint:nilerr // the connection is closed, and OnClose has handled that
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
		}) // fails only if the connection is closed
	}
}

// OnTick implements gnet.EventHandler. Every tuning.SocketSweepInterval it closes idle
// connections and those whose request arrives too slowly. While sockets are tight, users'
// connections are closed once they have been idle for one such interval.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	userIdleTimeout := tuning.IdleConnectionTimeout
	if s.config.Sockets.IsTight() {
		userIdleTimeout = tuning.SocketSweepInterval
	}
	for _, connection := range s.expired(userIdleTimeout) {
		_ = connection.Close() // fails only if the connection is already closed
	}
	return tuning.SocketSweepInterval, gnet.None
}

// expired returns the connections that have been idle for too long or whose request arrives
// too slowly. Connections with a pending response are never among them.
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

// gnetLogger writes gnet's messages to the log. Warnings and errors are logged at debug level,
// because gnet warns of every connection that a client resets; fatal ones are logged as
// errors.
type gnetLogger struct{ log *slog.Logger }

// Debugf discards a message.
func (g gnetLogger) Debugf(string, ...any) {}

// Infof discards a message.
func (g gnetLogger) Infof(string, ...any) {}

// Warnf logs a warning at debug level.
func (g gnetLogger) Warnf(format string, args ...any) { g.debug(format, args) }

// Errorf logs an error at debug level.
func (g gnetLogger) Errorf(format string, args ...any) { g.debug(format, args) }

// Fatalf logs the failure that ends the server at error level.
func (g gnetLogger) Fatalf(format string, args ...any) {
	g.log.Error("HTTP server failed", "format", format, "args", args)
}

func (g gnetLogger) debug(format string, args []any) {
	g.log.Debug("gnet warning or error", "format", format, "args", args)
}
