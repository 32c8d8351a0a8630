package limit

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// timeoutReply answers a head that came too slowly; net/http alone would close
// the connection without a word.
const timeoutReply = "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: 84\r\n\r\n" +
	`{"error":{"code":"headTooSlow","message":"the head came too slowly","ran":"notRun"}}`

const replyTimeout = time.Second

// Listen wraps a listener so that slow heads get an answer.
func Listen(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements [net.Listener].
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// conn knows whether a part of a head has come.
type conn struct {
	net.Conn
	handling atomic.Bool
	partial  atomic.Bool
	// stopped is true while net/http itself ends a read.
	stopped atomic.Bool
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.partial.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.partial.Load() && !c.handling.Load() && !c.stopped.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(replyTimeout))
		_, _ = c.Conn.Write([]byte(timeoutReply))
	}
	return n, err
}

// SetReadDeadline implements [net.Conn]. net/http ends its own reads by a deadline
// in the past, which says nothing of the client: an answer to it would be taken
// for that to the client's next request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.stopped.Store(!t.IsZero() && !t.After(time.Now()))
	return c.Conn.SetReadDeadline(t)
}

// finish marks the end of a request: nothing of the next one has come yet.
func (c *conn) finish() {
	c.partial.Store(false)
	c.handling.Store(false)
}
