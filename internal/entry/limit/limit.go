// Package limit bounds what a connection may ask of a listener: the size of
// heads and bodies and the time in which they must come.
package limit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// Server returns an HTTP server whose connections keep to the limits. A head
// that is too large is answered with 431, one that is too slow with 408; a
// handler that reads a body that is too large or too slow gets a
// [*fault.Error] with 413 or 408 from the body's Read. The listener that it
// serves should come from [Listen].
//
//	server := limit.Server(handler, settings.Limits)
//	err := server.Serve(limit.Listen(listener))
func Server(handler http.Handler, limits local.Limits) *http.Server {
	limits = limits.WithDefaults()
	return &http.Server{
		Handler:           &bounded{next: handler, limits: limits},
		ReadHeaderTimeout: limits.HeaderTimeout(),
		IdleTimeout:       limits.IdleTimeout(),
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnContext:       withConn,
	}
}

// bounded puts the limits on each request.
type bounded struct {
	next   http.Handler
	limits local.Limits
}

// ServeHTTP implements [http.Handler].
func (b *bounded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.handling.Store(true)
		defer c.finish()
	}
	controller := http.NewResponseController(w)
	if r.Body != nil && r.Body != http.NoBody {
		_ = controller.SetReadDeadline(time.Now().Add(b.limits.BodyTimeout()))
		r.Body = &body{
			ReadCloser: http.MaxBytesReader(w, r.Body, b.limits.BodyBytes),
			declared:   r.ContentLength,
			limits:     b.limits,
			release:    func() { _ = controller.SetReadDeadline(time.Time{}) },
		}
	}
	b.next.ServeHTTP(w, r)
}

// body turns the end of a body that broke a limit into a [*fault.Error].
type body struct {
	io.ReadCloser
	declared int64
	limits   local.Limits
	release  func()
}

// Read implements [io.Reader]. A body that says it is too large is not read.
func (b *body) Read(p []byte) (int, error) {
	if b.declared > b.limits.BodyBytes {
		return 0, tooLarge(b.limits.BodyBytes)
	}
	n, err := b.ReadCloser.Read(p)
	var large *http.MaxBytesError
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.release()
	case errors.As(err, &large):
		err = tooLarge(b.limits.BodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = tooSlow(b.limits.BodyTimeout())
	}
	return n, err
}

func tooLarge(limit int64) error {
	return &fault.Error{
		Code: "bodyTooLarge", Status: http.StatusRequestEntityTooLarge, Outcome: effect.NotRun{},
		Message: fmt.Sprintf("the body is larger than %d bytes", limit),
	}
}

func tooSlow(limit time.Duration) error {
	return &fault.Error{
		Code: "bodyTooSlow", Status: http.StatusRequestTimeout, Outcome: effect.NotRun{},
		Message: fmt.Sprintf("the body did not come within %s", limit),
	}
}

type connKey struct{}

// withConn lets a request find its connection. Under TLS there is none to find.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
