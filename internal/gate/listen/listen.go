// Package listen serves HTTP on one listener with limits that can be changed
// while it runs. Each set of limits has a server of its own, so that new limits
// apply to new connections and open connections keep theirs.
package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/limit"
)

// Server is an HTTP server with replaceable limits. See [New].
type Server struct {
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

// New returns a server that accepts no connections until Serve runs. Its
// servers run until Shutdown, or until the context ends at the latest.
//
//	front := listen.New(ctx, listener, handler, limits)
//	go front.Serve(ctx)
//	front.SetLimits(next)
func New(ctx context.Context, listener net.Listener, handler http.Handler, limits local.Limits) *Server {
	d := &Server{ctx: ctx, listener: listener, handler: handler, openConns: map[*conn]struct{}{}}
	d.SetLimits(limits)
	return d
}

// SetLimits sets the limits of connections accepted from now on.
func (s *Server) SetLimits(limits local.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.limits == limits {
		return
	}
	if s.current != nil {
		s.old = append(s.old, s.current)
	}
	added := &limitedServer{
		server: limit.Server(s.handler, limits), conns: make(chan net.Conn), closed: make(chan struct{}), ended: make(chan error, 1), addr: s.listener.Addr(),
	}
	added.server.ConnState = connState
	s.limits, s.current = limits, added
	go func(context.Context) { added.ended <- added.server.Serve(limit.WrapListener(added)) }(s.ctx)
}

// Serve accepts connections until the context ends or the listener fails.
func (s *Server) Serve(ctx context.Context) error {
	accepted := make(chan error, 1)
	go func(context.Context) { accepted <- s.accept() }(ctx)
	select {
	case err := <-accepted:
		<-ctx.Done()
		return err
	case <-ctx.Done():
		_ = s.listener.Close()
		<-accepted
		return ctx.Err()
	}
}

func (s *Server) accept() error {
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Retry: a shortage of file descriptors ends when connections close.
			continue
		}
		tracked := &conn{Conn: accepted, idle: true, onClose: s.untrack}
		s.mu.Lock()
		current := s.current
		s.openConns[tracked] = struct{}{}
		s.mu.Unlock()
		select {
		case current.conns <- tracked:
		case <-current.closed:
			_ = tracked.Close()
		}
	}
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openConns, c)
}

// Close closes the listener and all idle connections. It closes no connection
// on which a request is in progress or partly received, so no request is lost;
// call it again to close those that have become idle.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.openConns {
		c.closeIdle()
	}
}

// Shutdown shuts down all servers gracefully: each connection is closed after its
// request. When the context ends, it closes the remaining ones.
func (s *Server) Shutdown(ctx context.Context) {
	for _, limited := range s.servers() {
		if err := limited.server.Shutdown(ctx); err != nil {
			_ = limited.server.Close()
		}
		<-limited.ended
	}
}

func (s *Server) servers() []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*limitedServer{s.current}, s.old...)
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
