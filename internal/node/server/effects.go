package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/cicadamill/cicadamill/internal/entry/plain"
	"github.com/cicadamill/cicadamill/internal/infra/boot"
	"github.com/cicadamill/cicadamill/internal/infra/webobj"
	"github.com/cicadamill/cicadamill/internal/infra/webtab"
	"github.com/cicadamill/cicadamill/internal/node/commit"
	"github.com/cicadamill/cicadamill/internal/node/once"
	"github.com/cicadamill/cicadamill/internal/node/sweep"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
	"github.com/cicadamill/cicadamill/internal/target/answer"
)

const (
	platformConnections = 16
	sweepInterval       = time.Minute
	effectsEndTimeout   = 45 * time.Second
)

// ledgerBatch limits how many rows a transaction writes, how many writes wait
// and how many transactions run at a time.
var ledgerBatch = batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxInFlight: 2}

// effects holds the handler and the background services for calls to plain
// services. They are stopped after the callers' listener, so that calls in flight
// complete and their responses are stored.
type effects struct {
	handler http.Handler
	stops   []func()
}

// openEffects starts the background services. The caller must call close after
// the callers' listener has drained.
func (s *Server) openEffects(clock *boot.Clock) *effects {
	client := &http.Client{Transport: answer.New(&http.Transport{MaxIdleConnsPerHost: platformConnections, IdleConnTimeout: idleTimeout})}
	table := webtab.New(s.settings.TableAddress, client)
	objects := webobj.New(s.settings.ObjectAddress, client)
	scope := s.telemetry.scope()
	writer := commit.New(table, ledgerBatch, scope)
	limits := once.DefaultLimits
	limits.Now = clock.Now
	runner := once.New(writer, table, objects, limits, scope)
	e := &effects{handler: plain.New(plain.Options{
		Node: s.settings.Name, DataCentre: s.settings.DataCentre, Config: s.applied.Config,
		Ledger: runner, Now: clock.Now, MetricLabel: s.telemetry.labels.Label, Scope: scope,
		Leaving: func(target string) bool { return s.fleet.isLeaving(target, "") },
	})}
	e.start(s, writer)
	e.start(s, runner, sweep.New(table, objects, sweepInterval, rand.Uint64(), scope))
	return e
}

func (e *effects) start(s *Server, services ...suture.Service) {
	ctx, cancel := context.WithCancel(context.Background())
	supervisor := suture.New(s.settings.Name+" effects", suture.Spec{EventHook: s.logSupervisorEvent, Timeout: effectsEndTimeout})
	for _, service := range services {
		supervisor.Add(service)
	}
	stopped := supervisor.ServeBackground(ctx)
	e.stops = append(e.stops, func() {
		cancel()
		<-stopped
	})
}

// close stops the services in reverse order of their start: the runner needs
// the writer until it has ended.
func (e *effects) close() {
	for i := len(e.stops) - 1; i >= 0; i-- {
		e.stops[i]()
	}
}

// wrap adds the paths of plain services to a handler.
func (e *effects) wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.Handle(plain.Prefix, e.handler)
	return mux
}
