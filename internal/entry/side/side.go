// Package side serves the listeners other than the callers': readiness, metrics,
// traffic between nodes, stand-ins.
package side

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Serve serves a handler until the context ends, and then returns the context's
// error, or until the listener fails. The headerTimeout limits the time to read a
// request header.
//
//	err := side.Serve(ctx, listener, meter.Handler(), 2*time.Second)
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, headerTimeout time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func(context.Context) { ended <- server.Serve(listener) }(ctx)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		// All connections are dropped, so an error of Close has no consequence.
		_ = server.Close()
		<-ended
		return ctx.Err()
	}
}
