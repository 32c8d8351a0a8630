package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/cicadamill/cicadamill/internal/entry/plain"
	"github.com/cicadamill/cicadamill/internal/infra/webobj"
	"github.com/cicadamill/cicadamill/internal/infra/webtab"
	"github.com/cicadamill/cicadamill/internal/node/group"
	"github.com/cicadamill/cicadamill/internal/node/once"
	"github.com/cicadamill/cicadamill/internal/node/sweep"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
)

const (
	platformConnections = 16
	sweepInterval       = time.Minute
	effectsEndTimeout   = 45 * time.Second
)

// ledgerBatch bounds the transactions of one node.
var ledgerBatch = batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxOpen: 2}

// effects are the parts that run calls to plain services. They outlive the
// callers' listener, so that a call under way ends and its answer is kept.
type effects struct {
	handler http.Handler
	end     []func()
}

// openEffects starts the parts; close ends them after the listener has drained.
func (s *Server) openEffects() *effects {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformConnections, IdleConnTimeout: idleTimeout}}
	table := webtab.New(s.settings.TableAddress, client)
	objects := webobj.New(s.settings.ObjectAddress, client)
	scope := s.watch.scope()
	writer := group.New(table, ledgerBatch, scope)
	runner := once.New(writer, table, objects, once.Defaults, scope)
	e := &effects{handler: plain.New(plain.Options{
		Node: s.settings.Name, DataCentre: s.settings.DataCentre, Config: s.applied.Config,
		Ledger: runner, Label: s.watch.labels.Label, Scope: scope,
		Leaving: func(target string) bool { return s.fleet.isLeaving(target, "") },
	})}
	e.start(s, writer)
	e.start(s, runner, sweep.New(table, objects, sweepInterval, rand.Uint64(), scope))
	return e
}

func (e *effects) start(s *Server, services ...suture.Service) {
	ctx, cancel := context.WithCancel(context.Background())
	supervisor := suture.New(s.settings.Name+" effects", suture.Spec{EventHook: s.supervised, Timeout: effectsEndTimeout})
	for _, service := range services {
		supervisor.Add(service)
	}
	stopped := supervisor.ServeBackground(ctx)
	e.end = append(e.end, func() {
		cancel()
		<-stopped
	})
}

// close ends the parts, the last started first.
func (e *effects) close() {
	for i := len(e.end) - 1; i >= 0; i-- {
		e.end[i]()
	}
}

// around serves the plain services beside the paths of another handler.
func (e *effects) around(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.Handle(plain.Prefix, e.handler)
	return mux
}
