package httpwire

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
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
	mu   sync.Mutex
	idle map[string][]idleConn
}

type idleConn struct {
	conn net.Conn
	at   time.Time
}

// keepIdle is how long an unused connection is kept; keepPer how many to one
// address.
const (
	keepIdle = 20 * time.Second
	keepPer  = 3
)

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{idle: map[string][]idleConn{}} }

// Do sends one request and waits for its answer. sent tells whether any of it
// may have reached the other side.
func (c *Client) Do(addr string, call Call, timeout time.Duration) (ans *Answer, sent bool, err error) {
	deadline := time.Now().Add(timeout)
	conn := c.take(addr)
	if conn == nil {
		conn, err = net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			return nil, false, fmt.Errorf("connect to %s: %w", addr, err)
		}
	}
	if err := conn.SetDeadline(deadline); err != nil {
		conn.Close()
		return nil, false, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := conn.Write(appendCall(nil, addr, call)); err != nil {
		conn.Close()
		return nil, true, fmt.Errorf("send to %s: %w", addr, err)
	}
	ans, err = read(conn)
	if err != nil {
		conn.Close()
		return nil, true, fmt.Errorf("answer of %s: %w", addr, err)
	}
	if ans.Close {
		conn.Close()
	} else {
		c.put(addr, conn)
	}
	return ans, true, nil
}

// read waits for one whole answer.
func read(conn net.Conn) (*Answer, error) {
	buf := make([]byte, 0, 2048)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		ans, _, perr := ParseAnswer(buf, err != nil)
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

func (c *Client) take(addr string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		if time.Since(last.at) < keepIdle {
			return last.conn
		}
		last.conn.Close()
	}
	delete(c.idle, addr)
	return nil
}

func (c *Client) put(addr string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= keepPer {
		conn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], idleConn{conn, time.Now()})
}

// Sweep closes connections that nobody has used for a while.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, i := range list {
			if time.Since(i.at) < keepIdle {
				kept = append(kept, i)
			} else {
				i.conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
}
