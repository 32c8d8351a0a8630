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
	"github.com/cicadamill/cicadamill/internal/target/answer"
)

const (
	engineDialTimeout = time.Second
	engineConnections = 64
)

// streams holds the crash guard and the options for request handling that share
// the stream metrics.
type streams struct {
	guard       *guard.Guard
	flowOptions []flow.Option
	frontOption front.Option
}

func newStreams(t telemetry) streams {
	scope := t.scope().SubScope("stream")
	g := guard.New(scope)
	return streams{
		guard:       g,
		flowOptions: []flow.Option{flow.WithGuard(g), flow.WithScope(scope)},
		frontOption: front.WithScope(scope),
	}
}

// engineClient returns the HTTP client for engines. The short dial timeout keeps
// a request from waiting out the system's TCP timeout of several minutes when a
// host is gone and sends no reset.
func engineClient() *http.Client {
	dialer := &net.Dialer{Timeout: engineDialTimeout}
	return &http.Client{Transport: answer.New(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: engineConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	})}
}

// poller returns the service that polls the engines and passes their reports to
// the cells, to the crash guard and to gossip.
func (s *Server) poller() *poll.Poller {
	deliver := func(ctx context.Context, target string, message cell.Message) {
		if m, ok := message.(cell.LoadReport); ok {
			s.streams.guard.Send(crash.Reported{Target: m.Target, Incarnation: m.Load.Incarnation})
			s.fleet.targetReported(m.Target, m.Load)
		}
		s.cells.Send(ctx, target, message)
	}
	return poll.New(s.cells.Engines, s.dial, deliver, s.telemetry.scope().SubScope("stream"))
}
