package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/node/flow"
	"github.com/cicadamill/cicadamill/internal/node/guard"
	"github.com/cicadamill/cicadamill/internal/node/poll"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/crash"
)

const (
	engineDialTimeout = time.Second
	engineConnections = 64
)

// streams are the parts of a node that keep streams whole.
type streams struct {
	guard *guard.Guard
	flow  []flow.Option
	front front.Option
}

func newStreams(w watch) streams {
	scope := w.scope().SubScope("stream")
	g := guard.New(scope)
	return streams{
		guard: g,
		flow:  []flow.Option{flow.WithGuard(g), flow.WithScope(scope)},
		front: front.WithScope(scope),
	}
}

// engineClient connects to engines. A host that has gone without a word must
// not hold a request for the system's own minutes.
func engineClient() *http.Client {
	dialer := &net.Dialer{Timeout: engineDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: engineConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// poller reads the engines' reports for the cell and the guard.
func (s *Server) poller() *poll.Poller {
	tell := func(ctx context.Context, target string, message cell.Message) {
		if m, ok := message.(cell.Reported); ok {
			s.streams.guard.Tell(crash.Seen{Target: m.Target, Incarnation: m.Load.Incarnation})
			s.fleet.saw(m.Target, m.Load)
		}
		s.cells.Tell(ctx, target, message)
	}
	return poll.New(s.cells.Engines, s.dial, tell, s.watch.scope().SubScope("stream"))
}
