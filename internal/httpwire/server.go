package httpwire

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lemonmoor/internal/tuning"
)

// Reply answers a request once; it may be called from any goroutine.
type Reply func(status int, body []byte, retryAfter int)

// Handler takes requests off the network. It must not block.
type Handler func(req *Request, reply Reply)

// Server serves HTTP/1.1 on gnet's event loop.
type Server struct {
	gnet.BuiltinEventEngine
	handle  Handler
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
}

// NewServer returns a server that hands requests to handle.
func NewServer(handle Handler, log *slog.Logger) *Server {
	return &Server{handle: handle, log: log, started: time.Now(), conns: map[gnet.Conn]*session{}}
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
	s.mu.Lock()
	s.conns[c] = ses
	s.mu.Unlock()
	return nil, gnet.None
}

// OnClose forgets a connection.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
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
		if c.InboundBuffered() > 2*tuning.BodyLimit {
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
		if f, ok := err.(*Fault); ok {
			status = f.Status
		}
		_, _ = c.Write(AppendAnswer(nil, status, ErrorBody(err.Error()), 0, true))
		return gnet.Close
	}
	if req == nil {
		ses.partial.Store(true)
		return gnet.None
	}
	ses.partial.Store(false)
	_, _ = c.Discard(n)
	ses.busy.Store(true)
	var once atomic.Bool
	s.handle(req, func(status int, body []byte, retryAfter int) {
		if !once.CompareAndSwap(false, true) {
			return
		}
		out := AppendAnswer(nil, status, body, retryAfter, req.Close)
		_ = c.AsyncWrite(out, func(c gnet.Conn, err error) error {
			if err != nil || c == nil {
				return nil
			}
			ses.touched.Store(s.ms())
			ses.busy.Store(false)
			if req.Close {
				return c.Close()
			}
			if c.InboundBuffered() > 0 {
				return c.Wake(nil)
			}
			return nil
		})
	})
	return gnet.None
}

// OnTick closes slow and idle connections.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := s.ms()
	var old []gnet.Conn
	s.mu.Lock()
	for c, ses := range s.conns {
		age := time.Duration(now-ses.touched.Load()) * time.Millisecond
		if ses.busy.Load() {
			continue
		}
		if age > tuning.IdleConnection || (ses.partial.Load() && age > tuning.SlowRequest) {
			old = append(old, c)
		}
	}
	s.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
	return 5 * time.Second, gnet.None
}

// quiet carries gnet's own messages to the log at debug level.
type quiet struct{ log *slog.Logger }

func (q quiet) Debugf(string, ...any)          {}
func (q quiet) Infof(string, ...any)           {}
func (q quiet) Warnf(format string, a ...any)  { q.log.Debug("gnet", "format", format, "args", a) }
func (q quiet) Errorf(format string, a ...any) { q.log.Debug("gnet", "format", format, "args", a) }
func (q quiet) Fatalf(format string, a ...any) { q.log.Error("gnet", "format", format, "args", a) }
