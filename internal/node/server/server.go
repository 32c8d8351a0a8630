// Package server assembles a node: its listeners, its cells and its background
// services, run by a supervisor.
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
	"github.com/cicadamill/cicadamill/internal/infra/boot"
	"github.com/cicadamill/cicadamill/internal/node/cells"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const idleTimeout = 2 * time.Minute

// Server is a node of the router.
type Server struct {
	settings  local.Settings
	logger    hclog.Logger
	applied   *live.Applied
	cells     *cells.Set
	fleet     *fleet
	drain     drain
	dialer    *dialer
	http      *http.Client
	ready     chan Addresses
	telemetry telemetry
	reports   sync.Map
	weights   weights
	streams   streams
}

// Addresses holds the addresses on which a running node listens.
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
	s.telemetry = newTelemetry(logger)
	s.streams = newStreams(s.telemetry)
	s.cells = s.newCells()
	s.fleet = newFleet(s)
	return s
}

// Ready returns a channel that receives the node's addresses once it is serving.
func (s *Server) Ready() <-chan Addresses { return s.ready }

// Apply parses a configuration and puts it in force if its version is newer than
// the current one.
func (s *Server) Apply(ctx context.Context, number uint64, text []byte) error {
	config, err := site.Parse(text)
	if err != nil {
		return errors.Trace(err)
	}
	return s.applyConfig(ctx, number, text, config)
}

// Serve runs the node until the context ends, and then drains it.
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
	clock, err := boot.New()
	if err != nil {
		return err
	}
	effects := s.openEffects(clock)
	defer effects.close()
	handler := s.telemetry.wrapCallers(effects.wrap(front.New(s.settings.Name, s.servedConfig, s.telemetry.wrapRunner(s.fleet.forwarder), s.streams.frontOption)))
	listener, err := s.listen(callers, s.settings.CallerAddress, s.settings.CallerTLS)
	if err != nil {
		return err
	}
	supervisor := suture.New(s.settings.Name, suture.Spec{EventHook: s.logSupervisorEvent})
	supervisor.Add(s.cells)
	supervisor.Add(configs.follower)
	supervisor.Add(configs)
	s.fleet.addTo(supervisor)
	supervisor.Add(s.streams.guard)
	supervisor.Add(s.poller())
	supervisor.Add(s.orderSender(clock))
	if operators != nil {
		supervisor.Add(operators)
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	stopped := supervisor.ServeBackground(running)
	defer func() { _ = s.telemetry.meter.Close() }()
	s.telemetry.health.SetReady(true)
	s.ready <- Addresses{Caller: listener.Addr().String(), Peer: s.fleet.address(), Operator: operators.address()}
	err = s.serveHTTP(ctx, listener, handler)
	stop()
	<-stopped
	return err
}

// serveHTTP serves callers until the context ends, and then drains the requests
// in flight.
func (s *Server) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := limit.Server(s.drain.wrap(handler), s.settings.Limits)
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

func (s *Server) logSupervisorEvent(event suture.Event) {
	s.telemetry.scope().Counter(partFailures).Inc(1)
	s.logger.Warn("supervisor event", "event", event.String())
}

// dial returns the client of an engine.
func (s *Server) dial(target string) (engine.Client, bool) { return s.dialer.find(target) }

// engineTargets converts the engines of a configuration to cell targets. An
// engine without a capacity gets a capacity of 1.
func engineTargets(config site.Config) []cell.Target {
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
