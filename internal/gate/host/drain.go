package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// balancerLag is how long the platform's balancer goes on sending after
	// readiness is off: it asks every second and believes the second miss.
	balancerLag = 2700 * time.Millisecond
	// exitMargin is how long before the end of the grace the process ends.
	exitMargin = 600 * time.Millisecond
	// closeStep is how often connections are closed that have become idle.
	closeStep = 50 * time.Millisecond
	// closeTime bounds the end of the last connections.
	closeTime = 200 * time.Millisecond
)

// state of the stop, apart so that readiness can't come back.
type stopState struct {
	begun atomic.Bool
	// late is true once a request might not end before the process does.
	late atomic.Bool
}

var _ http.Handler = (*closer)(nil)

// closer asks clients to leave their connections while the host stops.
type closer struct {
	next http.Handler
	host *Host
}

// ServeHTTP implements [http.Handler].
func (c *closer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.host.stopping() {
		w.Header().Set("Connection", "close")
	}
	c.next.ServeHTTP(w, r)
}

func (h *Host) closing(next http.Handler) http.Handler { return &closer{next: next, host: h} }

func (h *Host) stopping() bool { return h.stop.begun.Load() }

// drain stops the host without cutting off a request: the duty goes first, then
// readiness, and connections end once the balancer sends no more.
func (h *Host) drain(ctx context.Context, duty <-chan error) {
	end := time.Now().Add(h.bounds.Load().Grace - exitMargin)
	h.stop.begun.Store(true)
	h.ready.Store(false)
	h.logger.Info("stopping", "requests", h.relay.Active())
	<-duty
	h.peers.Leave()
	lag := time.NewTimer(balancerLag)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-time.After(time.Until(end)):
	}
	h.stop.late.Store(true)
	for time.Now().Before(end) {
		h.doors.Close()
		if h.relay.Active() == 0 {
			break
		}
		select {
		case <-h.relay.Idle():
		case <-time.After(closeStep):
		}
	}
	if left := h.relay.Active(); left > 0 {
		h.logger.Warn("requests cut off", "requests", left)
	}
	ctx, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	h.doors.Shutdown(ctx)
}
