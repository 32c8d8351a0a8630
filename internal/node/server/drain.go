package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// drain counts requests in flight and, once the node is stopping, closes
// connections after their current response.
type drain struct {
	inFlight atomic.Int64
	stopping atomic.Bool
}

// wrap counts the requests of a handler. Once the node is stopping, HTTP/1
// responses ask the client to close the connection, so that its next request
// reaches another node.
func (d *drain) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		if d.stopping.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop shuts the node down gracefully. It reports not ready, hands its home
// cells to other nodes, waits for the load balancer to notice, and then waits
// until all requests from callers and from other nodes are complete. Requests
// are cut off only when the settings have a drain limit and it is reached.
func (s *Server) stop(callers *http.Server) {
	s.drain.stopping.Store(true)
	s.telemetry.health.SetReady(false)
	s.fleet.leave()
	settings := s.settings.Drain
	s.logger.Info("stopping", "open", s.drain.inFlight.Load(), "balancerLag", settings.BalancerLag(), "limit", settings.Limit())
	time.Sleep(settings.BalancerLag())
	ctx, cancel := context.WithCancel(context.Background())
	if settings.Limit() > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), settings.Limit())
	}
	defer cancel()
	err := callers.Shutdown(ctx)
	if err == nil {
		err = s.fleet.shutdown(ctx)
	}
	if err == nil {
		s.logger.Info("drained; all requests are complete")
		return
	}
	cut := s.drain.inFlight.Load()
	s.telemetry.scope().Counter("drain_cut").Inc(cut)
	s.logger.Warn("drain limit reached; closing connections with requests in flight", "requests", cut, "limit", settings.Limit())
	_ = callers.Close()
	s.fleet.close()
}
