package listen

import (
	"net"
	"net/http"
	"sync"
)

// conn is a client connection whose closeIdle does nothing once a part of a
// request has been read. The server's own idle state is not enough, since it
// still holds when the first bytes of a request have already been read.
type conn struct {
	net.Conn
	// onClose is called when the connection is closed.
	onClose func(*conn)

	mu sync.Mutex
	// idle is the server's view of the connection.
	idle bool
	// pending is true if bytes have been read since the last write.
	pending bool
	// closed is true after closeIdle has closed the connection.
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
		c.pending = true
	}
	return n, err
}

// Write implements [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.pending = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.onClose(c)
	return c.Conn.Close()
}

// setIdle records the server's view of the connection.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// closeIdle closes the connection unless a request is in progress or partly
// received.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.pending && !c.closed {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// connState is the ConnState hook of the servers. It passes the idle state on to
// the connection.
func connState(c net.Conn, state http.ConnState) {
	if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = inner.NetConn()
	}
	if tracked, ok := c.(*conn); ok {
		tracked.setIdle(state == http.StateIdle || state == http.StateNew)
	}
}
