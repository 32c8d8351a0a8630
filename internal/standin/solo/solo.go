// Package solo runs one stand-in as a process of its own.
package solo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/entry/side"
)

const (
	headerTimeout = 5 * time.Second
	bindAttempts  = 50
	bindPause     = 100 * time.Millisecond
)

// Server is one stand-in behind a listener.
type Server struct {
	address string
	handler http.Handler
}

// New returns a server that does not listen yet.
//
//	err := solo.New("127.0.0.1:0", engine.Handler()).Run(ctx, os.Stdout)
func New(address string, handler http.Handler) *Server {
	return &Server{address: address, handler: handler}
}

// Run listens, prints "listening ADDRESS" as a line of its own, and serves
// until the context ends. An address that is still taken, as after a process
// was killed, is tried again for some seconds.
func (s *Server) Run(ctx context.Context, out io.Writer) error {
	listener, err := s.listen(ctx)
	if err != nil {
		return errors.Annotatef(err, "listening on %s", s.address)
	}
	if _, err := fmt.Fprintln(out, "listening", listener.Addr()); err != nil {
		return err
	}
	err = side.Serve(ctx, listener, s.handler, headerTimeout)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	for attempt := 1; ; attempt++ {
		listener, err := config.Listen(ctx, "tcp", s.address)
		if err == nil || attempt >= bindAttempts {
			return listener, err
		}
		select {
		case <-time.After(bindPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
