package doors

import (
	"net"
	"net/http"
	"sync"
)

// conn is a client's connection that can be closed only while no part of a
// request has been read from it. The server's own notion of an idle connection
// lags behind what it has read.
type conn struct {
	net.Conn
	ended func(*conn)

	mu     sync.Mutex
	idle   bool
	unread bool
	closed bool
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.unread = true
	}
	return n, err
}

// Write implements [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unread = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.ended(c)
	return c.Conn.Close()
}

// setIdle notes what the server thinks of the connection.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// closeIdle closes the connection unless a request is under way or has begun to
// come in.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.unread && !c.closed {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// connState follows the server's view of a connection.
func connState(c net.Conn, state http.ConnState) {
	if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = inner.NetConn()
	}
	if tracked, ok := c.(*conn); ok {
		tracked.setIdle(state == http.StateIdle || state == http.StateNew)
	}
}
