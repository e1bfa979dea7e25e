package http1

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"lemonmoor/internal/tuning"
)

// Client sends requests to the state service, the cloud and the workers, and reuses open
// connections. It is safe for concurrent use.
type Client struct {
	sockets         *SocketBudget
	alwaysReachable []string // addresses that are connected to however few sockets are left

	mu   sync.Mutex
	idle map[string][]idleConnection // by address, the most recently used last
}

type idleConnection struct {
	conn      net.Conn
	idleSince time.Time
}

// errSocketsScarce reports that a request was not sent because too few sockets are left for a
// new connection.
var errSocketsScarce = errors.New("too few sockets left for a new connection")

// NewClient returns a client without open connections. It connects to the addresses in
// alwaysReachable however few sockets are left.
func NewClient(sockets *SocketBudget, alwaysReachable ...string) *Client {
	return &Client{sockets: sockets, alwaysReachable: alwaysReachable, idle: map[string][]idleConnection{}}
}

// Send sends one request and waits for its response; timeout covers both. sent reports
// whether any part of the request may have reached the server, so that the request may have
// been carried out even if err is not nil.
func (c *Client) Send(addr string, request ClientRequest, timeout time.Duration) (response *Response, sent bool, err error) {
	deadline := time.Now().Add(timeout)
	conn := c.takeIdle(addr)
	if conn == nil {
		if conn, err = c.dial(addr, timeout); err != nil {
			return nil, false, err
		}
	}
	if err := conn.SetDeadline(deadline); err != nil {
		c.closeConnection(conn)
		return nil, false, fmt.Errorf("set deadline of connection to %s: %w", addr, err)
	}
	if _, err := conn.Write(encodeRequest(addr, request)); err != nil {
		c.closeConnection(conn)
		return nil, true, fmt.Errorf("send request to %s: %w", addr, err)
	}
	response, err = readResponse(conn)
	if err != nil {
		c.closeConnection(conn)
		return nil, true, fmt.Errorf("read response from %s: %w", addr, err)
	}
	if response.CloseAfter {
		c.closeConnection(conn)
	} else {
		c.putIdle(addr, conn)
	}
	return response, true, nil
}

// dial opens a connection. It fails with errSocketsScarce if sockets are scarce and addr is
// not always reachable.
func (c *Client) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if c.sockets.IsScarce() && !c.isAlwaysReachable(addr) {
		return nil, errSocketsScarce
	}
	c.sockets.countOpened()
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		c.sockets.countClosed()
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	return conn, nil
}

func (c *Client) isAlwaysReachable(addr string) bool { return slices.Contains(c.alwaysReachable, addr) }

// closeConnection closes a connection and returns its socket to the budget.
func (c *Client) closeConnection(conn net.Conn) {
	_ = conn.Close() // an error does not matter: the connection is not used again
	c.sockets.countClosed()
}

// initialReadBuffer is the initial size in bytes of a read buffer. Most responses fit into it.
const initialReadBuffer = 2048

// readResponse reads until one response is complete.
func readResponse(conn net.Conn) (*Response, error) {
	buf := make([]byte, 0, initialReadBuffer)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		size, readErr := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+size]
		response, _, err := ParseResponse(buf, readErr != nil)
		if err != nil {
			return nil, err
		}
		if response != nil {
			return response, nil
		}
		if readErr != nil {
			return nil, readErr
		}
	}
}

// takeIdle removes an idle connection from the pool and returns it, nil if there is none. It
// closes connections that have been idle for too long.
func (c *Client) takeIdle(addr string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		if time.Since(last.idleSince) < tuning.IdleClientConnectionTimeout {
			return last.conn
		}
		c.closeConnection(last.conn)
	}
	delete(c.idle, addr)
	return nil
}

// putIdle adds a connection to the pool for the next request. It closes the connection
// instead if the pool has enough for this address, or if sockets are tight and the address is
// not always reachable.
func (c *Client) putIdle(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= tuning.MaxIdleConnectionsPerAddress || (c.sockets.IsTight() && !c.isAlwaysReachable(addr)) {
		c.closeConnection(conn)
		return
	}
	c.idle[addr] = append(c.idle[addr], idleConnection{conn, time.Now()})
}

// CloseIdle closes the connections that have been idle for
// tuning.IdleClientConnectionTimeout. While sockets are tight it closes all idle connections
// except those to the addresses that are always reachable.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	tight := c.sockets.IsTight()
	for addr, list := range c.idle {
		closeAll := tight && !c.isAlwaysReachable(addr)
		kept := list[:0]
		for _, idle := range list {
			if !closeAll && time.Since(idle.idleSince) < tuning.IdleClientConnectionTimeout {
				kept = append(kept, idle)
			} else {
				c.closeConnection(idle.conn)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
}
