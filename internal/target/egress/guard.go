// Package egress runs a check right before the first byte of a request is sent,
// and records whether any byte was sent.
//
// It wraps the connection, below the HTTP client, so that the record is exact
// and so that the client can't send a request twice: net/http retries a
// request that has an Idempotency-Key when a reused connection breaks. Reads of
// the connection end with an error if it was reset, even if the kernel reported
// that to a write, or if the head of the answer to a request with a guard has a
// folded line or too many lines.
package egress

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const dialTimeout = 2 * time.Second

// errRetired means that a connection takes no further request. The HTTP client then
// uses another one, because nothing has been written.
var errRetired = errors.New("guard: the connection is retired")

// ErrAlreadySent means that the HTTP client tried to send a request on a second
// connection.
var ErrAlreadySent = errors.New("guard: the request has left before")

// Guard lets one request be sent at most once, and only if its check succeeds.
type Guard struct {
	check func() error
	mu    sync.Mutex
	used  *guardedConn // the connection on which the request was sent
	// judged is closed once the answer has been judged; nil if nobody judges it.
	judged chan struct{}
	judge  sync.Once
}

// New returns a guard for one request. The check runs right before the first
// byte is sent. If it fails, nothing is sent and the write returns its error.
//
//	guard := egress.New(func() error { return ctx.Err() })
//	request = request.WithContext(guard.Context(ctx))
//	_, err := transport.RoundTrip(request) // transport dials with egress.Dial
//	mayHaveRun := guard.Sent()
func New(check func() error) *Guard { return &Guard{check: check} }

// NewJudged returns a guard for one request whose connection sends no further request
// until [Guard.Judge] is called: the HTTP client hands a connection on before its caller
// has seen the answer.
func NewJudged(check func() error) *Guard {
	return &Guard{check: check, judged: make(chan struct{})}
}

// Judge lets the connection send further requests, unless [Guard.Retire] was called. It
// must be called for each guard of [NewJudged], more than once does no harm.
func (g *Guard) Judge() {
	if g.judged != nil {
		g.judge.Do(func() { close(g.judged) })
	}
}

// Sent reports whether any byte of the request may have been sent.
func (g *Guard) Sent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used != nil
}

// Stop prevents the request from being sent, with the error that its connection returns.
// It returns false if a byte may have been sent.
func (g *Guard) Stop(err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.used != nil {
		return false
	}
	g.check = func() error { return err }
	return true
}

// Retire makes the connection on which the request was sent its last one.
func (g *Guard) Retire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.used != nil {
		g.used.last.Store(g)
	}
}

// Context returns a context that attaches the guard to the connection of its
// request.
func (g *Guard) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			c.guard.Store(g)
		}
	}})
}

func (g *Guard) admit(c *guardedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.used {
	case c:
		return nil
	case nil:
		if err := g.check(); err != nil {
			return err
		}
		// An idle connection keeps its guard, and the check what it refers to.
		g.used, g.check = c, nil
		return nil
	default:
		return ErrAlreadySent
	}
}

// Dial opens connections that support a [Guard]. It is meant for the
// DialContext field of [http.Transport].
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Wrap(c), nil
}

// Wrap returns a connection that supports a [Guard].
func Wrap(c net.Conn) net.Conn { return &guardedConn{Conn: c} }

type guardedConn struct {
	net.Conn
	guard atomic.Pointer[Guard]
	// written is the guard of the request that was written last. Only Write uses it,
	// which the HTTP client calls for one request after the other.
	written *Guard
	// last is the guard of the last request; nil if further ones may follow.
	last atomic.Pointer[Guard]
	// writing is held during a write; broken is the first error of a write that means
	// that the connection broke.
	writing sync.Mutex
	broken  error
	// sending is true if a request was begun since the last read. head is the head of the
	// answer to a request with a guard; only Read uses it.
	sending atomic.Bool
	head    head
}

// Read implements [net.Conn]. The kernel reports a reset to one call only: if that is a
// write, reads see the same end as after a proper close.
func (c *guardedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.sending.Swap(false) {
		c.head = head{reading: true}
	}
	if err := c.head.scan(data[:n]); err != nil {
		return 0, err
	}
	if errors.Is(err, io.EOF) {
		if broken := c.writeError(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// writeError returns the error of a write that means that the connection broke. At the end
// of the input it interrupts a write in progress: the peer has answered, and may never
// read the rest of the request.
func (c *guardedConn) writeError() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.broken
}

// Write implements [net.Conn].
func (c *guardedConn) Write(data []byte) (int, error) {
	guard := c.guard.Load()
	if c.written != guard {
		if c.written != nil && c.written.judged != nil {
			<-c.written.judged
		}
		c.written = guard
		c.sending.Store(true)
	}
	if last := c.last.Load(); last != nil && guard != last {
		return 0, errRetired
	}
	if guard != nil {
		if err := guard.admit(c); err != nil {
			return 0, err
		}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if c.broken == nil && isBreak(err) {
		c.broken = err
	}
	return n, err
}

// isBreak reports whether the error of a write means that the connection broke. EPIPE
// doesn't: the peer had ended its side before, or an earlier call got the error.
func isBreak(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
