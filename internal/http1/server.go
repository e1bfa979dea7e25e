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
	conns map[gnet.Conn]*session
}

// session is what the server keeps of a connection.
type session struct {
	busy    atomic.Bool  // a request waits for its answer
	touched atomic.Int64 // ms since start, of the last byte or answer
	partial atomic.Bool  // an incomplete request is buffered
	user    atomic.Bool  // its last request was a user's
}

// NewServer returns a server that hands requests to handle.
func NewServer(handle Handler, sockets *SocketBudget, log *slog.Logger) *Server {
	return &Server{
		handle: handle, sockets: sockets, log: log, started: time.Now(), conns: map[gnet.Conn]*session{},
		IsUser: func(*Request) bool { return false }, WorkerIdleTimeout: tuning.IdleConnectionTimeout,
	}
}

// Serve listens on addr until the process ends or listening fails.
func (s *Server) Serve(addr string) error {
	return gnet.Run(s, "tcp://"+addr,
		gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(16*1024), gnet.WithWriteBufferCap(16*1024),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(quiet{s.log}))
}

func (s *Server) ms() int64 { return time.Since(s.started).Milliseconds() }

// OnOpen notes a new connection.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	ses := &session{}
	ses.touched.Store(s.ms())
	c.SetContext(ses)
	s.sockets.opened()
	s.mu.Lock()
	s.conns[c] = ses
	s.mu.Unlock()
	if s.sockets.IsExhausted() {
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose forgets a connection.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	_, there := s.conns[c]
	delete(s.conns, c)
	s.mu.Unlock()
	if there {
		s.sockets.closed()
	}
	return gnet.None
}

// OnTraffic reads requests, one at a time: the next is not looked at before
// the answer to the last has gone out.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	ses, ok := c.Context().(*session)
	if !ok {
		return gnet.Close
	}
	if ses.busy.Load() {
		if c.InboundBuffered() > 2*tuning.MaxBodyBytes {
			return gnet.Close
		}
		return gnet.None
	}
	buf, _ := c.Peek(-1)
	if len(buf) == 0 {
		return gnet.None
	}
	ses.touched.Store(s.ms())
	req, n, err := ParseRequest(buf)
	if err != nil {
		status := 400
		if f, ok := err.(*ProtocolError); ok {
			status = f.Status
		}
		_, _ = c.Write(AppendResponse(nil, status, ErrorBody(err.Error()), 0, true))
		return gnet.Close
	}
	if req == nil {
		ses.partial.Store(true)
		return gnet.None
	}
	ses.partial.Store(false)
	_, _ = c.Discard(n)
	user := s.IsUser(req)
	ses.user.Store(user)
	if user && s.sockets.IsScarce() {
		_, _ = c.Write(AppendResponse(nil, 503, ErrorBody("no sockets left"), tuning.RetryAfterSeconds, true))
		return gnet.Close
	}
	ses.busy.Store(true)
	s.handle(req, s.replyTo(c, ses, req.Close, user))
	return gnet.None
}

// replyTo answers the request that a connection is busy with, once.
func (s *Server) replyTo(c gnet.Conn, ses *session, last, user bool) ResponseWriter {
	var once atomic.Bool
	return func(status int, body []byte, retryAfter int) {
		if !once.CompareAndSwap(false, true) {
			return
		}
		closing := last || (user && s.sockets.IsTight())
		out := AppendResponse(nil, status, body, retryAfter, closing)
		_ = c.AsyncWrite(out, func(c gnet.Conn, err error) error {
			if err != nil || c == nil {
				return nil
			}
			ses.touched.Store(s.ms())
			ses.busy.Store(false)
			if closing {
				return c.Close()
			}
			if c.InboundBuffered() > 0 {
				return c.Wake(nil)
			}
			return nil
		})
	}
}

// OnTick closes slow and idle connections, users' at once when sockets are
// tight.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := s.ms()
	users := tuning.IdleConnectionTimeout
	if s.sockets.IsTight() {
		users = tuning.SocketSweepInterval
	}
	var old []gnet.Conn
	s.mu.Lock()
	for c, ses := range s.conns {
		age := time.Duration(now-ses.touched.Load()) * time.Millisecond
		if ses.busy.Load() {
			continue
		}
		limit := s.WorkerIdleTimeout
		if ses.user.Load() {
			limit = users
		}
		if age > limit || (ses.partial.Load() && age > tuning.SlowRequestTimeout) {
			old = append(old, c)
		}
	}
	s.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
	return tuning.SocketSweepInterval, gnet.None
}

// quiet carries gnet's own messages to the log at debug level.
type quiet struct{ log *slog.Logger }

func (q quiet) Debugf(string, ...any)          {}
func (q quiet) Infof(string, ...any)           {}
func (q quiet) Warnf(format string, a ...any)  { q.log.Debug("gnet", "format", format, "args", a) }
func (q quiet) Errorf(format string, a ...any) { q.log.Debug("gnet", "format", format, "args", a) }
func (q quiet) Fatalf(format string, a ...any) { q.log.Error("gnet", "format", format, "args", a) }
