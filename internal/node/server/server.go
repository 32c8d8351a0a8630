// Package server assembles one node: its listeners, its cell and the parts that
// keep it informed, all under one supervisor.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"github.com/cicadamill/cicadamill/internal/config/live"
	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/entry/limit"
	"github.com/cicadamill/cicadamill/internal/node/cells"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const idleTimeout = 2 * time.Minute

// Server is one node.
type Server struct {
	settings local.Settings
	logger   hclog.Logger
	applied  *live.Applied
	cells    *cells.Set
	fleet    *fleet
	drain    drain
	dialer   *dialer
	http     *http.Client
	ready    chan Addresses
	watch    watch
	reports  sync.Map
	weights  weights
	streams  streams
}

// Addresses are where a running node listens.
type Addresses struct {
	// Caller is the address for callers, as IP number and port.
	Caller string
	// Peer is the address for other nodes; empty without a listener.
	Peer string
	// Operator is the address for operators; empty without a listener.
	Operator string
}

// New returns a node that is not running yet.
//
//	node := server.New(settings, logger)
//	err := node.Serve(ctx)
func New(settings local.Settings, logger hclog.Logger) *Server {
	s := &Server{
		settings: settings,
		logger:   logger,
		applied:  live.New(),
		ready:    make(chan Addresses, 1),
		http:     engineClient(),
	}
	s.dialer = newDialer(s.applied, s.http)
	s.watch = newWatch(logger)
	s.streams = newStreams(s.watch)
	s.cells = s.newCells()
	s.fleet = newFleet(s)
	return s
}

// Ready returns a channel that gets the node's addresses once it serves.
func (s *Server) Ready() <-chan Addresses { return s.ready }

// Apply puts a configuration in force if it is newer.
func (s *Server) Apply(ctx context.Context, number uint64, text []byte) error {
	config, err := site.Parse(text)
	if err != nil {
		return errors.Trace(err)
	}
	return s.put(ctx, number, text, config)
}

// Serve runs the node until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	if err := s.bootstrap(ctx); err != nil {
		return err
	}
	if err := s.fleet.open(); err != nil {
		return err
	}
	configs, err := s.openConfigs()
	if err != nil {
		return err
	}
	operators, err := s.openOperators(configs)
	if err != nil {
		return err
	}
	effects := s.openEffects()
	defer effects.close()
	handler := s.watch.callers(effects.around(front.New(s.settings.Name, s.served, s.watch.runner(s.fleet.steer), s.streams.front)))
	listener, err := s.listen(callers, s.settings.CallerAddress, s.settings.CallerTLS)
	if err != nil {
		return err
	}
	supervisor := suture.New(s.settings.Name, suture.Spec{EventHook: s.supervised})
	supervisor.Add(s.cells)
	supervisor.Add(configs.follower)
	supervisor.Add(configs)
	s.fleet.add(supervisor)
	supervisor.Add(s.streams.guard)
	supervisor.Add(s.poller())
	supervisor.Add(s.giver())
	if operators != nil {
		supervisor.Add(operators)
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	stopped := supervisor.ServeBackground(running)
	defer func() { _ = s.watch.meter.Close() }()
	s.watch.health.SetReady(true)
	s.ready <- Addresses{Caller: listener.Addr().String(), Peer: s.fleet.address(), Operator: operators.address()}
	err = s.serveHTTP(ctx, listener, handler)
	stop()
	<-stopped
	return err
}

// serveHTTP answers callers until the context ends, and then until every request
// under way has its answer.
func (s *Server) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := limit.Server(s.drain.around(handler), s.settings.Limits)
	ended := make(chan error, 1)
	go func(context.Context) { ended <- server.Serve(listener) }(ctx)
	select {
	case err := <-ended:
		return errors.Annotate(err, "serving callers")
	case <-ctx.Done():
	}
	s.stop(server)
	<-ended
	return nil
}

func (s *Server) supervised(event suture.Event) {
	s.watch.scope().Counter(partFailures).Inc(1)
	s.logger.Warn("supervised part", "event", event.String())
}

// dial returns the client of an engine.
func (s *Server) dial(target string) (engine.Client, bool) { return s.dialer.find(target) }

// targets lists the engines of a configuration as the cell knows them.
func targets(config site.Config) []cell.Target {
	applications := map[string][]string{}
	for _, application := range config.Applications {
		for _, name := range application.Engines {
			applications[name] = append(applications[name], application.Name)
		}
	}
	all := make([]cell.Target, 0, len(config.Engines))
	for _, e := range config.Engines {
		capacity := e.Capacity
		if capacity == 0 {
			capacity = 1
		}
		all = append(all, cell.Target{
			Name: e.Name, DataCentre: e.DataCentre, Model: e.Model, Applications: applications[e.Name],
			Capacity: capacity, CacheBlocks: e.CacheBlocks,
		})
	}
	return all
}
