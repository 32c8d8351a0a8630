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

// drain stops the host and lets requests in progress complete within the grace
// period. It first fails readiness. Once the load balancer no longer sends requests, it
// rejects what has not been sent to a target and closes connections. It tells other hosts
// that it leaves when it no longer sends orders.
func (h *Host) drain(ctx context.Context, ordersDone <-chan error) {
	began := time.Now()
	grace := h.bounds.Load().Grace - exitMargin
	end := began.Add(grace)
	reject := time.After(min(balancerLag, grace))
	h.stop.started.Store(true)
	h.ready.Store(false)
	h.logger.Info("stopping", "requests", h.proxy.Active())
	for waiting := true; waiting; {
		select {
		case <-ordersDone:
			h.peers.Leave()
			ordersDone = nil
		case <-reject:
			waiting = false
		}
	}
	h.stop.rejecting.Store(true)
	h.proxy.CancelUnsent()
	h.logger.Info("rejecting requests", "requests", h.proxy.Active(), "afterMs", time.Since(began).Milliseconds())
	for time.Now().Before(end) {
		h.server.Close()
		if h.proxy.Active() == 0 && ordersDone == nil {
			break
		}
		select {
		case <-ordersDone:
			h.peers.Leave()
			ordersDone = nil
		case <-h.proxy.Idle():
		case <-time.After(closeInterval):
		}
	}
	if left := h.proxy.Active(); left > 0 {
		h.logger.Warn("requests ended at the end of the grace period", "requests", left)
		h.proxy.End()
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	h.server.Shutdown(ctx)
}
