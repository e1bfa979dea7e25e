package http1

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"lemonmoor/internal/tuning"
)

// ErrorBody is the JSON body of a refusal.
func ErrorBody(reason string) []byte {
	b, err := json.Marshal(map[string]string{"error": reason})
	if err != nil {
		return []byte("{}")
	}
	return b
}

// Client keeps connections to the services that the program calls.
type Client struct {
	sockets *SocketBudget
	alwaysReachable   []string // addresses that are called however few sockets are left
	mu      sync.Mutex
	idle    map[string][]idleConnection
}

type idleConnection struct {
	conn net.Conn
	idleSince   time.Time
}

// errSocketsScarce says that a call was not sent because too few sockets are left.
var errSocketsScarce = errors.New("no socket to spare")

// NewClient returns a client without connections. Calls to the vital addresses
// are made however few sockets are left.
func NewClient(sockets *SocketBudget, vital ...string) *Client {
	return &Client{sockets: sockets, alwaysReachable: vital, idle: map[string][]idleConnection{}}
}

// Send sends one request and waits for its answer. sent tells whether any of it
// may have reached the other side.
func (c *Client) Send(addr string, request ClientRequest, timeout time.Duration) (response *Response, sent bool, err error) {
	deadline := time.Now().Add(timeout)
	conn := c.takeIdle(addr)
	if conn == nil {
		if c.sockets.IsScarce() && !slices.Contains(c.alwaysReachable, addr) {
			return nil, false, errSocketsScarce
		}
		c.sockets.noteOpened()
		conn, err = net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			c.sockets.noteClosed()
			return nil, false, fmt.Errorf("connect to %s: %w", addr, err)
		}
	}
	if err := conn.SetDeadline(deadline); err != nil {
		c.closeConnection(conn)
		return nil, false, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := conn.Write(appendRequest(nil, addr, request)); err != nil {
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

// closeConnection closes a connection.
func (c *Client) closeConnection(conn net.Conn) {
	_ = conn.Close() // the connection is given up either way
	c.sockets.noteClosed()
}

// readResponse waits for one whole answer.
func readResponse(conn net.Conn) (*Response, error) {
	buf := make([]byte, 0, 2048)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		ans, _, perr := ParseResponse(buf, err != nil)
		if perr != nil {
			return nil, perr
		}
		if ans != nil {
			return ans, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

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

func (c *Client) putIdle(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= tuning.MaxIdleConnectionsPerAddress || (c.sockets.IsTight() && !slices.Contains(c.alwaysReachable, addr)) {
		c.closeConnection(conn)
		return
	}
	c.idle[addr] = append(c.idle[addr], idleConnection{conn, time.Now()})
}

// CloseIdle closes connections that nobody has used for a while, and all to others
// than the vital addresses when sockets are tight.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	tight := c.sockets.IsTight()
	for addr, list := range c.idle {
		spare := tight && !slices.Contains(c.alwaysReachable, addr)
		kept := list[:0]
		for _, idle := range list {
			if !spare && time.Since(idle.idleSince) < tuning.IdleClientConnectionTimeout {
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
