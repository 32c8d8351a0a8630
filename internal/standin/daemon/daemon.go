// Package daemon serves one stand-in as a separate process.
package daemon

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
	bindInterval  = 100 * time.Millisecond
)

// Server serves one stand-in on a TCP address.
type Server struct {
	address string
	handler http.Handler
}

// New returns a server for the handler of a stand-in. It does not listen before
// [Server.Run].
//
//	err := daemon.New("127.0.0.1:0", engine.Handler()).Run(ctx, os.Stdout)
func New(address string, handler http.Handler) *Server {
	return &Server{address: address, handler: handler}
}

// Run listens, prints the line "listening ADDRESS" to out, and serves until the
// context is cancelled. It retries for about 5 seconds if listening fails, since
// the address may still be in use after the previous process was killed.
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
		case <-time.After(bindInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
