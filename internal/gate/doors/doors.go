// Package doors serves one listener by HTTP servers that can be replaced, so
// that new limits hold for new connections while old ones keep theirs.
package doors

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/limit"
)

// Doors is a listener with the server of the present limits. See [New].
type Doors struct {
	ctx      context.Context
	listener net.Listener
	handler  http.Handler

	mu      sync.Mutex
	limits  local.Limits
	current *hall
	old     []*hall
	open    map[*conn]struct{}
}

// hall is one server with the connections that it was given.
type hall struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	ended  chan error
	once   sync.Once
	addr   net.Addr
}

// New returns doors that are closed until Serve runs. Their servers end with
// Shutdown, or with the context at the latest.
//
//	front := doors.New(ctx, listener, handler, limits)
//	go front.Serve(ctx)
//	front.SetLimits(next)
func New(ctx context.Context, listener net.Listener, handler http.Handler, limits local.Limits) *Doors {
	d := &Doors{ctx: ctx, listener: listener, handler: handler, open: map[*conn]struct{}{}}
	d.SetLimits(limits)
	return d
}

// SetLimits puts limits in force for connections that come from now on.
func (d *Doors) SetLimits(limits local.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil && d.limits == limits {
		return
	}
	if d.current != nil {
		d.old = append(d.old, d.current)
	}
	h := &hall{
		server: limit.Server(d.handler, limits), conns: make(chan net.Conn), closed: make(chan struct{}), ended: make(chan error, 1), addr: d.listener.Addr(),
	}
	h.server.ConnState = connState
	d.limits, d.current = limits, h
	go func(context.Context) { h.ended <- h.server.Serve(limit.Listen(h)) }(d.ctx)
}

// Serve accepts connections until the context ends or the listener fails.
func (d *Doors) Serve(ctx context.Context) error {
	accepted := make(chan error, 1)
	go func(context.Context) { accepted <- d.accept() }(ctx)
	select {
	case err := <-accepted:
		<-ctx.Done()
		return err
	case <-ctx.Done():
		_ = d.listener.Close()
		<-accepted
		return ctx.Err()
	}
}

func (d *Doors) accept() error {
	for {
		accepted, err := d.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A lack of descriptors ends when connections do.
			continue
		}
		tracked := &conn{Conn: accepted, idle: true, ended: d.forget}
		d.mu.Lock()
		h := d.current
		d.open[tracked] = struct{}{}
		d.mu.Unlock()
		select {
		case h.conns <- tracked:
		case <-h.closed:
			_ = tracked.Close()
		}
	}
}

func (d *Doors) forget(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, c)
}

// Close takes no more connections, ends idle ones and asks the clients of all
// others to end theirs. A client that is turned away here has sent nothing.
func (d *Doors) Close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.open {
		c.closeIdle()
	}
}

// Shutdown ends every connection, each after its request, until the context ends.
func (d *Doors) Shutdown(ctx context.Context) {
	for _, h := range d.halls() {
		if err := h.server.Shutdown(ctx); err != nil {
			_ = h.server.Close()
		}
		<-h.ended
	}
}

func (d *Doors) halls() []*hall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*hall{d.current}, d.old...)
}

// Accept implements [net.Listener].
func (h *hall) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (h *hall) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements [net.Listener].
func (h *hall) Addr() net.Addr { return h.addr }
