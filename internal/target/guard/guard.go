// Package guard watches the moment when the first byte of a request leaves.
//
// It sits at the socket, below the HTTP client, so that "no byte has left" is
// exact, and so that the client can't send a request again by itself: net/http
// repeats any request that carries an Idempotency-Key when a reused connection
// breaks.
package guard

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const dialTimeout = 2 * time.Second

// ErrAgain means that a request was about to leave on a second connection.
var ErrAgain = errors.New("guard: the request has left before")

// Once lets one request leave once, if its check still holds at that moment.
type Once struct {
	check func() error
	mu    sync.Mutex
	left  *conn
}

// New returns a guard for one request. The check runs right before the first
// byte leaves; when it fails, nothing leaves and the write gets its error.
//
//	once := guard.New(func() error { return bound.Check(time.Now()) })
//	request = request.WithContext(once.Context(ctx))
//	_, err := transport.RoundTrip(request) // transport dials with guard.Dial
//	ran := once.Left()
func New(check func() error) *Once { return &Once{check: check} }

// Left reports whether a byte of the request may have left.
func (o *Once) Left() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.left != nil
}

// Context returns a context whose request is watched.
func (o *Once) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.once.Store(o)
		}
	}})
}

func (o *Once) pass(c *conn) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch o.left {
	case c:
		return nil
	case nil:
		if err := o.check(); err != nil {
			return err
		}
		o.left = c
		return nil
	default:
		return ErrAgain
	}
}

// Dial opens connections on which a [Once] can watch. It fits the field
// DialContext of [http.Transport].
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}

// Wrap makes a connection one on which a [Once] can watch.
func Wrap(c net.Conn) net.Conn { return &conn{Conn: c} }

type conn struct {
	net.Conn
	once atomic.Pointer[Once]
}

// Write implements [net.Conn].
func (c *conn) Write(data []byte) (int, error) {
	if once := c.once.Load(); once != nil {
		if err := once.pass(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}
