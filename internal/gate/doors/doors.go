// Package doors serves HTTP on one listener with limits that can be changed
// while it runs. Each set of limits has a server of its own, so that new limits
// apply to new connections and open connections keep theirs.
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

// Doors is an HTTP listener with replaceable limits. See [New].
type Doors struct {
	ctx      context.Context
	listener net.Listener
	handler  http.Handler

	mu        sync.Mutex
	limits    local.Limits
	current   *limitedServer
	old       []*limitedServer
	openConns map[*conn]struct{}
}

// limitedServer is the HTTP server of one set of limits. It is also the listener
// from which that server accepts the connections handed to it.
type limitedServer struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
	ended  chan error
	once   sync.Once
	addr   net.Addr
}

// New returns a listener that accepts no connections until Serve runs. Its
// servers run until Shutdown, or until the context ends at the latest.
//
//	front := doors.New(ctx, listener, handler, limits)
//	go front.Serve(ctx)
//	front.SetLimits(next)
func New(ctx context.Context, listener net.Listener, handler http.Handler, limits local.Limits) *Doors {
	d := &Doors{ctx: ctx, listener: listener, handler: handler, openConns: map[*conn]struct{}{}}
	d.SetLimits(limits)
	return d
}

// SetLimits sets the limits of connections accepted from now on.
func (d *Doors) SetLimits(limits local.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil && d.limits == limits {
		return
	}
	if d.current != nil {
		d.old = append(d.old, d.current)
	}
	s := &limitedServer{
		server: limit.Server(d.handler, limits), conns: make(chan net.Conn), closed: make(chan struct{}), ended: make(chan error, 1), addr: d.listener.Addr(),
	}
	s.server.ConnState = connState
	d.limits, d.current = limits, s
	go func(context.Context) { s.ended <- s.server.Serve(limit.Listen(s)) }(d.ctx)
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
			// Retry: a shortage of file descriptors ends when connections close.
			continue
		}
		tracked := &conn{Conn: accepted, idle: true, onClose: d.untrack}
		d.mu.Lock()
		s := d.current
		d.openConns[tracked] = struct{}{}
		d.mu.Unlock()
		select {
		case s.conns <- tracked:
		case <-s.closed:
			_ = tracked.Close()
		}
	}
}

func (d *Doors) untrack(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.openConns, c)
}

// Close closes the listener and all idle connections. It closes no connection
// on which a request is in progress or partly received, so no request is lost;
// call it again to close those that have become idle.
func (d *Doors) Close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.openConns {
		c.closeIdle()
	}
}

// Shutdown shuts down all servers gracefully: each connection is closed after its
// request. When the context ends, it closes the remaining ones.
func (d *Doors) Shutdown(ctx context.Context) {
	for _, s := range d.servers() {
		if err := s.server.Shutdown(ctx); err != nil {
			_ = s.server.Close()
		}
		<-s.ended
	}
}

func (d *Doors) servers() []*limitedServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*limitedServer{d.current}, d.old...)
}

// Accept implements [net.Listener].
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (s *limitedServer) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Addr implements [net.Listener].
func (s *limitedServer) Addr() net.Addr { return s.addr }
