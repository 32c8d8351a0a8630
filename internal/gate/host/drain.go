package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// balancerLag is how long the platform's load balancer keeps sending requests
	// after readiness fails: it probes once a second and removes a host after two
	// failed probes.
	balancerLag = 2700 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process exits.
	exitMargin = 600 * time.Millisecond
	// closeInterval is how often idle connections are closed while draining.
	closeInterval = 50 * time.Millisecond
	// shutdownTimeout bounds the shutdown of the remaining connections.
	shutdownTimeout = 200 * time.Millisecond
)

// stopState tracks the shutdown, apart from readiness, so that a stopping host
// can't become ready again.
type stopState struct {
	started atomic.Bool
	// rejecting is true once a new request might not complete before the process
	// exits.
	rejecting atomic.Bool
}

var _ http.Handler = (*connectionCloser)(nil)

// connectionCloser asks clients to close their connections while the host stops.
type connectionCloser struct {
	next http.Handler
	host *Host
}

// ServeHTTP implements [http.Handler].
func (c *connectionCloser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.host.stopping() {
		w.Header().Set("Connection", "close")
	}
	c.next.ServeHTTP(w, r)
}

func (h *Host) closeConnections(next http.Handler) http.Handler {
	return &connectionCloser{next: next, host: h}
}

func (h *Host) stopping() bool { return h.stop.started.Load() }

// drain stops the host without cutting off requests. It first fails readiness and
// waits until this host no longer sends orders, and closes connections once the
// load balancer no longer sends requests.
func (h *Host) drain(ctx context.Context, ordersDone <-chan error) {
	end := time.Now().Add(h.bounds.Load().Grace - exitMargin)
	h.stop.started.Store(true)
	h.ready.Store(false)
	h.logger.Info("stopping", "requests", h.proxy.Active())
	<-ordersDone
	h.peers.Leave()
	lag := time.NewTimer(balancerLag)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-time.After(time.Until(end)):
	}
	h.stop.rejecting.Store(true)
	for time.Now().Before(end) {
		h.server.Close()
		if h.proxy.Active() == 0 {
			break
		}
		select {
		case <-h.proxy.Idle():
		case <-time.After(closeInterval):
		}
	}
	if left := h.proxy.Active(); left > 0 {
		h.logger.Warn("requests cut off at the end of the grace period", "requests", left)
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	h.server.Shutdown(ctx)
}
