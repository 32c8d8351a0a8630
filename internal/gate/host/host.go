// Package host assembles one gateway: what it knows of the platform, of its
// peers and of the targets, its listeners, and the duty that one host has.
package host

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/side"
	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/desk"
	"github.com/cicadamill/cicadamill/internal/gate/doors"
	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/peers"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/pool"
	"github.com/cicadamill/cicadamill/internal/gate/relay"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/trail"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/node/orders"
	"github.com/cicadamill/cicadamill/internal/route/quota"
	"github.com/cicadamill/cicadamill/internal/safety/blame"
	"github.com/cicadamill/cicadamill/internal/watch/meter"
	"github.com/cicadamill/cicadamill/internal/watch/spool"
)

// Settings are one host's own.
type Settings struct {
	// Name is the host's name.
	Name string
	// DataCentre is where it stands.
	DataCentre string
	// Front is where clients connect, Ready where the platform asks whether it
	// may send clients, Peer where other hosts connect. Each is an IP number
	// and port; Peer may be empty.
	Front, Ready, Peer string
	// Metrics is the port of the metrics; empty for none.
	Metrics string
	// Seeds are addresses of other hosts to try first.
	Seeds []string
	// Strength is the part of a core that the host has.
	Strength float64
	// MemoryBytes is what the process may use; zero means no bound.
	MemoryBytes int64
	// Bounds are the times that the platform's operators ask for.
	Bounds Bounds
}

// Bounds are the times that the platform's operators ask for.
type Bounds struct {
	// Grace is how long a process may run on after it is told to stop.
	Grace time.Duration
	// Lease is the least time between the orders of two hosts.
	Lease time.Duration
	// NewWeights is the time after which only the newest weights may answer.
	NewWeights time.Duration
	// Repeats bounds the second sendings of all hosts together.
	Repeats quota.Bound
	// ChecksFence is true when engines refuse old fencing numbers.
	ChecksFence bool
}

// News is what a row of the operators says. It is one of [NewPlan] or
// [NewWeights].
type News interface{ news() }

// NewPlan is a configuration.
type NewPlan struct{ Plan *plan.Plan }

// NewWeights names the newest version of a model's weights.
type NewWeights struct {
	Model   string
	Version uint64
}

func (NewPlan) news()    {}
func (NewWeights) news() {}

// Platform is what a host needs of the platform that it runs on.
type Platform struct {
	// Codec translates requests and answers.
	Codec call.Codec
	// Source reads tables.
	Source feed.Source
	// Table holds the rows of this product.
	Table table.Client
	// Engines speaks to engines.
	Engines desk.Engines
	// Caches reads what engines and stores tell of their caches.
	Caches caches.Client
	// OwnTable is the name of that table for Source.
	OwnTable string
	// OperatorTable is where operators write, TargetTable is the list of targets.
	OperatorTable, TargetTable string
	// Operator reads a row of the operators; nil news are none of ours.
	Operator func(row feed.Row) (News, error)
	// Target reads a row of the list of targets.
	Target func(now time.Time, row feed.Row) roster.Change
}

// Host is one gateway. See [New].
type Host struct {
	settings Settings
	platform Platform
	logger   hclog.Logger
	meter    *meter.Meter
	lines    *spool.Spool

	plan    atomic.Pointer[plan.Plan]
	targets atomic.Pointer[map[string]roster.Target]
	ready   atomic.Bool
	bounds  atomic.Pointer[Bounds]

	mu     sync.Mutex
	roster *roster.State
	blame  *blame.State
	// crashes are those that others are still to be told of.
	crashes *trail.Trail[crashed]
	// heard is how far hosts have read caches' events, reads what of it others are
	// still to be told, reported when they were told last of those read here.
	heard    map[string]caches.Position
	reads    *trail.Trail[read]
	reported map[string]time.Time
	picks    *pick.State

	pool   *pool.Pool
	peers  *peers.Peers
	desk   *desk.Desk
	giver  *orders.Giver
	relay  *relay.Handler
	doors  *doors.Doors
	feeds  map[string]*feed.Feed
	listed atomic.Bool
	stop   stopState
}

// New returns a host that does not run yet. Its log goes to out.
//
//	gateway := host.New(settings, platform, logger, lines)
//	err := gateway.Serve(ctx)
func New(settings Settings, platform Platform, logger hclog.Logger, lines *spool.Spool) *Host {
	h := &Host{
		settings: settings, platform: platform, logger: logger, lines: lines,
		roster: roster.New(), blame: blame.New(), crashes: trail.New[crashed](maxCrashes),
		heard: map[string]caches.Position{}, reads: trail.New[read](maxPositions), reported: map[string]time.Time{},
		picks: pick.New(pick.Options{DataCentre: settings.DataCentre, Seed: seedOf(settings.Name)}),
		meter: meter.New(time.Second, logger), feeds: map[string]*feed.Feed{},
	}
	h.targets.Store(&map[string]roster.Target{})
	h.bounds.Store(&settings.Bounds)
	h.pool = pool.New(func(string) { h.meter.Scope().Counter("connections_opened").Inc(1) })
	h.peers = peers.New(peers.Options{
		Self: h.self(), Address: settings.Peer, Compose: h.compose, Hear: h.hear, Drop: h.drop,
		Rows: h.rows, Tables: h.tables, Told: h.poke, Parts: h.parts, Scope: h.meter.Scope(), Logger: logger,
	})
	h.desk = desk.New(desk.Options{
		Engines: platform.Engines, Targets: h.listedTargets, Running: h.running, Wanted: h.wanted,
		ChecksFence: func() bool { return h.bounds.Load().ChecksFence }, Loaded: h.seen, Logger: logger,
	})
	h.giver = orders.New(h.giverOptions())
	h.relay = relay.New(relay.Options{
		Codec: platform.Codec, Plan: h.plan.Load, Picks: h.picks, Lock: &h.mu, Pool: h.pool, Fleet: h.peers,
		Bound: settings.Bounds.Repeats, Leave: time.Minute, Seen: h.seen, Scope: h.meter.Scope(), Logger: logger,
		Blame: h.blame, Stopping: h.stop.late.Load,
	})
	h.addFeed(platform.OperatorTable, h.operatorRows, h.operatorRows, nil)
	h.addFeed(platform.TargetTable, h.targetReset, h.targetChange, h.regained)
	return h
}

func (h *Host) addFeed(name string, reset, change func(feed.Page), regained func()) {
	h.feeds[name] = feed.New(feed.Options{
		Table: name, Source: h.platform.Source, Peers: h.peers.Rows, Reset: reset, Change: change, Regained: regained,
		Upstream: h.upstream, Leads: h.peers.Leads,
		Scope: h.meter.Scope(), Logger: h.logger,
	})
}

// SetBounds puts other bounds in force.
func (h *Host) SetBounds(bounds Bounds) {
	h.bounds.Store(&bounds)
	h.relay.SetBound(bounds.Repeats)
	h.logger.Info("bounds in force", "bounds", bounds)
}

// Serve runs the host until the context ends and every request has its answer.
func (h *Host) Serve(ctx context.Context) error {
	began := time.Now()
	h.logger.Info("starting", "front", h.settings.Front, "peer", h.settings.Peer, "pid", os.Getpid())
	front, err := net.Listen("tcp", h.settings.Front)
	if err != nil {
		return errors.Annotate(err, "listening for clients")
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.doors = doors.New(running, front, h.closing(h.relay), local.Limits{})
	supervisor := suture.New(h.settings.Name, suture.Spec{EventHook: h.supervised})
	for _, f := range h.feeds {
		supervisor.Add(f)
	}
	supervisor.Add(h.doors)
	supervisor.Add(&service{run: h.keep})
	supervisor.Add(&service{run: h.register})
	supervisor.Add(&service{run: h.keepNamings})
	supervisor.Add(&service{run: h.warm})
	supervisor.Add(caches.New(caches.Options{
		Name: h.settings.Name, Client: h.platform.Caches, Sources: h.cacheSources, Learn: h.learn, Forget: h.forget, Position: h.position, Reached: h.reached,
		Nodes: h.nodes, Scope: h.meter.Scope(), Logger: h.logger,
	}))
	for name, listener := range h.sideListeners() {
		supervisor.Add(&service{run: func(ctx context.Context) error { return h.serveSide(ctx, name, listener) }})
	}
	if h.settings.Peer != "" {
		supervisor.Add(h.peers)
	}
	ended := supervisor.ServeBackground(running)
	duty, leaveDuty := context.WithCancel(ctx)
	dutyEnded := make(chan error, 1)
	go func(ctx context.Context) { dutyEnded <- h.giver.Serve(ctx) }(duty)
	<-ctx.Done()
	h.drain(running, dutyEnded)
	leaveDuty()
	stop()
	<-ended
	h.logger.Info("stopped", "ranMs", time.Since(began).Milliseconds(), "linesDropped", h.lines.Dropped())
	return errors.Annotate(h.meter.Close(), "stopping")
}

// service makes a function a suture service.
type service struct{ run func(context.Context) error }

// Serve implements [suture.Service].
func (s *service) Serve(ctx context.Context) error { return s.run(ctx) }

func (h *Host) supervised(event suture.Event) {
	h.meter.Scope().Counter("part_failures").Inc(1)
	h.logger.Warn("supervised part", "event", event.String())
}

// sideListeners are the listeners beside that for clients.
func (h *Host) sideListeners() map[string]sideListener {
	all := map[string]sideListener{"ready": {address: h.settings.Ready, handler: http.HandlerFunc(h.serveReady)}}
	if h.settings.Peer != "" {
		all["peers"] = sideListener{address: h.settings.Peer, handler: h.peers}
	}
	if h.settings.Metrics != "" {
		all["metrics"] = sideListener{address: ":" + h.settings.Metrics, handler: h.meter.Handler()}
	}
	return all
}

type sideListener struct {
	address string
	handler http.Handler
}

// sideTimeout bounds the head of a request on the listeners beside the clients'.
const sideTimeout = 2 * time.Second

func (h *Host) serveSide(ctx context.Context, name string, s sideListener) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		h.logger.Error("can't listen", "listener", name, "address", s.address, "error", err)
		return errors.Annotatef(err, "listening for %s", name)
	}
	return side.Serve(ctx, listener, s.handler, sideTimeout)
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
