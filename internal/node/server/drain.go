package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// drain counts the requests under way and tells connections that the node stops.
type drain struct {
	open     atomic.Int64
	stopping atomic.Bool
}

// around counts the requests of a handler. Once the node stops, each answer also
// ends its connection, so that the next request goes to another node.
func (d *drain) around(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.open.Add(1)
		defer d.open.Add(-1)
		if d.stopping.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop ends the node without cutting a request: readiness goes off and the homes
// move, the balancer gets time to notice, and then each request under way gets
// its whole answer, whoever brought it. Only a limit in the settings cuts.
func (s *Server) stop(callers *http.Server) {
	s.drain.stopping.Store(true)
	s.watch.health.SetReady(false)
	s.fleet.leave()
	settings := s.settings.Drain
	s.logger.Info("stopping", "open", s.drain.open.Load(), "balancerLag", settings.BalancerLag(), "limit", settings.Limit())
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
		s.logger.Info("every request has its answer")
		return
	}
	cut := s.drain.open.Load()
	s.watch.scope().Counter("drain_cut").Inc(cut)
	s.logger.Warn("the stop limit cuts requests", "requests", cut, "limit", settings.Limit())
	_ = callers.Close()
	s.fleet.close()
}
