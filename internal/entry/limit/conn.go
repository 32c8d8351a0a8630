package limit

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// headerTimeoutResponse is sent when a request header is not complete in time;
// net/http alone would close the connection without a response.
const headerTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: 84\r\n\r\n" +
	`{"error":{"code":"headTooSlow","message":"the head came too slowly","ran":"notRun"}}`

const responseWriteTimeout = time.Second

// WrapListener wraps a listener so that clients that send a request header too
// slowly get a response.
func WrapListener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// conn tracks whether part of a request header has been read.
type conn struct {
	net.Conn
	handling      atomic.Bool
	headerStarted atomic.Bool
	// interrupted is true while net/http aborts a pending read.
	interrupted atomic.Bool
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.headerStarted.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.headerStarted.Load() && !c.handling.Load() && !c.interrupted.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
		_, _ = c.Conn.Write([]byte(headerTimeoutResponse))
	}
	return n, err
}

// SetReadDeadline implements [net.Conn]. net/http aborts its own pending reads
// with a deadline in the past. The client has not been slow then, and would take
// a response for the one to its next request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.interrupted.Store(!t.IsZero() && !t.After(time.Now()))
	return c.Conn.SetReadDeadline(t)
}

// endRequest marks the end of a request: no byte of the next one has been read.
func (c *conn) endRequest() {
	c.headerStarted.Store(false)
	c.handling.Store(false)
}
