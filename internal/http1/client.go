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

// Client calls the state service, the cloud and the workers, and keeps connections to them
// for the next call. It is safe for concurrent use.
type Client struct {
	sockets         *SocketBudget
	alwaysReachable []string // addresses that are called however few sockets are left

	mu   sync.Mutex
	idle map[string][]idleConnection // by address, the one used last at the end
}

type idleConnection struct {
	conn      net.Conn
	idleSince time.Time
}

// errSocketsScarce says that a call was not sent because too few sockets are left.
var errSocketsScarce = errors.New("no socket to spare")

// NewClient returns a client without connections. The addresses in alwaysReachable are
// called however few sockets are left.
func NewClient(sockets *SocketBudget, alwaysReachable ...string) *Client {
	return &Client{sockets: sockets, alwaysReachable: alwaysReachable, idle: map[string][]idleConnection{}}
}

// Send sends one request and waits for its response, timeout for both together. sent
// reports whether any of the request may have reached the other side, so that it may have
// been carried out although there is an error.
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
		return nil, false, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := conn.Write(encodeRequest(addr, request)); err != nil {
		c.closeConnection(conn)
		return nil, true, fmt.Errorf("send to %s: %w", addr, err)
	}
	response, err = readResponse(conn)
	if err != nil {
		c.closeConnection(conn)
		return nil, true, fmt.Errorf("answer of %s: %w", addr, err)
	}
	if response.CloseAfter {
		c.closeConnection(conn)
	} else {
		c.putIdle(addr, conn)
	}
	return response, true, nil
}

// dial opens a connection unless too few sockets are left for that.
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
	_ = conn.Close() // the connection is given up either way
	c.sockets.countClosed()
}

// initialReadBuffer is the size in bytes of a buffer that most responses fit into.
const initialReadBuffer = 2048

// readResponse waits for one whole response.
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

// takeIdle returns an open connection that is not in use, nil if there is none.
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

// putIdle keeps a connection for the next call, or closes it if there are enough or
// sockets are tight.
func (c *Client) putIdle(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= tuning.MaxIdleConnectionsPerAddress || (c.sockets.IsTight() && !c.isAlwaysReachable(addr)) {
		c.closeConnection(conn)
		return
	}
	c.idle[addr] = append(c.idle[addr], idleConnection{conn, time.Now()})
}

// CloseIdle closes the connections that have not been used for
// tuning.IdleClientConnectionTimeout and, while sockets are tight, all that are not in use,
// except those to the addresses that must stay reachable.
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
