// Package limit bounds the size of request headers and bodies and the time in
// which they must arrive.
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

// Server returns an HTTP server that enforces the limits. A request header that is
// too large gets status 431, one that is too slow 408. A handler that reads a body
// that is too large or too slow gets a [*fault.Error] with 413 or 408 from the
// body's Read. Serve a listener from [WrapListener], which sends the 408 for slow
// headers.
//
//	server := limit.Server(handler, settings.Limits)
//	err := server.Serve(limit.WrapListener(listener))
func Server(handler http.Handler, limits local.Limits) *http.Server {
	limits = limits.WithDefaults()
	return &http.Server{
		Handler: &limitHandler{next: handler, limits: limits},
		// The handler also gets OPTIONS *, which net/http would answer itself.
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            limits.HeaderTimeout(),
		IdleTimeout:                  limits.IdleTimeout(),
		MaxHeaderBytes:               limits.HeaderBytes,
		ConnContext:                  withConn,
	}
}

// limitHandler enforces the limits on each request.
type limitHandler struct {
	next   http.Handler
	limits local.Limits
}

// ServeHTTP implements [http.Handler].
func (h *limitHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.handling.Store(true)
		defer c.endRequest()
	}
	controller := http.NewResponseController(w)
	if r.Body != nil && r.Body != http.NoBody {
		_ = controller.SetReadDeadline(time.Now().Add(h.limits.BodyTimeout()))
		r.Body = &limitedBody{
			ReadCloser:     http.MaxBytesReader(w, r.Body, h.limits.BodyBytes),
			declaredLength: r.ContentLength,
			limits:         h.limits,
			clearDeadline:  func() { _ = controller.SetReadDeadline(time.Time{}) },
		}
	}
	h.next.ServeHTTP(w, r)
}

// limitedBody returns a [*fault.Error] from the read that exceeds a limit.
type limitedBody struct {
	io.ReadCloser
	declaredLength int64
	limits         local.Limits
	clearDeadline  func()
}

// Read implements [io.Reader]. A body whose declared length exceeds the limit is
// not read.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.declaredLength > b.limits.BodyBytes {
		return 0, tooLarge(b.limits.BodyBytes)
	}
	n, err := b.ReadCloser.Read(p)
	var large *http.MaxBytesError
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.clearDeadline()
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

// withConn stores the connection in the context of its requests. Under TLS it is
// not a *conn, so slow headers get no response.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
