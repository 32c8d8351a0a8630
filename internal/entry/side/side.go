// Package side serves a listener beside the one for clients: readiness, metrics,
// other nodes, a stand-in.
package side

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Serve serves a handler until the context ends, whose error it returns then, or
// the listener fails. The head of a request may take as long as headTimeout.
//
//	err := side.Serve(ctx, listener, meter.Handler(), 2*time.Second)
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, headTimeout time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout}
	ended := make(chan error, 1)
	go func(context.Context) { ended <- server.Serve(listener) }(ctx)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		// Every connection is dropped; there is nobody to tell of a failure.
		_ = server.Close()
		<-ended
		return ctx.Err()
	}
}
