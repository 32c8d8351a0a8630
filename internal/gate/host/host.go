// Package host assembles one gateway process: its view of the platform, the peers
// and the targets, its listeners, and the task of sending orders to engines, which
// one host has at a time.
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
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/side"
	"github.com/cicadamill/cicadamill/internal/gate/budget"
	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/credit"
	"github.com/cicadamill/cicadamill/internal/gate/deadly"
	"github.com/cicadamill/cicadamill/internal/gate/drain"
	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/listen"
	"github.com/cicadamill/cicadamill/internal/gate/needs"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/peers"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/pool"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/spill"
	"github.com/cicadamill/cicadamill/internal/gate/timing"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/node/orders"
	"github.com/cicadamill/cicadamill/internal/route/quota"
	"github.com/cicadamill/cicadamill/internal/safety/stall"
	"github.com/cicadamill/cicadamill/internal/watch/meter"
	"github.com/cicadamill/cicadamill/internal/watch/spool"
)

// Settings are the settings of one host.
type Settings struct {
	Name       string
	DataCentre string
	// Front is the listen address for clients, Ready that of the readiness probe
	// and Peer that for other hosts. Each is an IP address and port; Peer may be
	// empty.
	Front, Ready, Peer string
	// Metrics is the port of the metrics endpoint; empty for none.
	Metrics string
	// Seeds are the addresses of other hosts to contact first.
	Seeds []string
	// Strength is the host's CPU share, in cores.
	Strength float64
	// Heartbeat is the interval at which targets renew their entries.
	Heartbeat time.Duration
	// MemoryBytes is the memory limit of the process; zero means none.
	MemoryBytes int64
	// Bounds are the bounds that the platform's operators set.
	Bounds Bounds
}

// Bounds are the time limits and budgets that the platform's operators set.
// Log lines have the field names as keys.
type Bounds struct {
	// Grace is how long a process may run after it is asked to stop.
	Grace time.Duration
	// Lease is the minimum time between orders from two different hosts.
	Lease time.Duration
	// NewWeights is the time after an announcement from which on only the newest
	// weights may answer.
	NewWeights time.Duration
	// Repeats is the budget for repeated attempts of all hosts together.
	Repeats quota.Bound
	// ChecksFence is true when engines reject outdated fencing tokens.
	ChecksFence bool
	// Quota is what is tolerated of the limits of workspaces.
	Quota credit.Bound
}

// OperatorChange is the content of a row that operators wrote: [PlanChange] or
// [WeightsChange].
type OperatorChange interface{ operatorChange() }

// PlanChange is a new version of the configuration.
type PlanChange struct{ Plan *plan.Plan }

// WeightsChange announces a version of a model's weights.
type WeightsChange struct {
	Model   string
	Version uint64
}

func (PlanChange) operatorChange()    {}
func (WeightsChange) operatorChange() {}

// Platform is the host's interface to the platform that it runs on.
type Platform struct {
	// Codec translates requests and answers.
	Codec call.Codec
	// Source reads tables and watches them for changes.
	Source feed.Source
	// Table holds the gateway's own rows.
	Table table.Client
	// Engines sends orders to engines and reads their reports.
	Engines drain.Engines
	// Caches reads the cache events of engines and stores.
	Caches caches.Client
	// Now reads the boot-time clock of the host, which times the order lease.
	Now func() time.Time
	// OwnTable is the name of the gateway's own table in Source.
	OwnTable string
	// OperatorTable is the table that operators write to, TargetTable the list of
	// targets.
	OperatorTable, TargetTable string
	// DecodeOperator decodes a row of OperatorTable; a nil change means that the row
	// isn't for the gateway.
	DecodeOperator func(row feed.Row) (OperatorChange, error)
	// DecodeTarget decodes a row of TargetTable.
	DecodeTarget func(now time.Time, row feed.Row) roster.Change
}

// Host is one gateway process. See [New].
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
	roster *roster.List
	// cachePositions are the positions up to which hosts have read each cache's
	// events, positionUpdates those to send to other hosts, and positionReportedAt
	// the times at which this host last added one.
	cachePositions     map[string]caches.Position
	positionUpdates    *oplog.Log[positionUpdate]
	positionReportedAt map[string]time.Time
	picker             *pick.Picker
	needs              *needs.Tracker
	credit             *credit.Tracker
	// creditLabels are the workspaces with metrics of their own.
	creditLabels map[string]tally.Scope
	// unknownAges are announcements that this host learned of late, by the store
	// version of their row; storedAges are those whose time is in the store.
	unknownAges map[modelVersion]uint64
	storedAges  map[modelVersion]struct{}
	stalls      stall.Detector
	// storedModels are the models in the store, as far as this host knows.
	storedModels map[string]timing.Model
	// slowTargets are the targets last logged as slow, missingTargets those last logged
	// as kept without an entry.
	slowTargets, missingTargets []string
	// loggedMaxReplacedAge is the last logged limit on the age of replaced weights.
	// Only the maintenance loop uses it.
	loggedMaxReplacedAge time.Duration

	deadly        *deadly.Detector
	pool          *pool.Pool
	peers         *peers.Peers
	drainer       *drain.Drainer
	orders        *orders.Sender
	proxy         *proxy.Handler
	server        *listen.Server
	feeds         map[string]*feed.Feed
	targetsListed atomic.Bool
	// rowsRead is true once the rows of the other hosts have been read.
	rowsRead  atomic.Bool
	startedAt time.Time
	// ageUnknown receives a value when unknownAges has grown.
	ageUnknown chan struct{}
	stop       stopState
}

const (
	// heldMemoryPercent is the part of the process's memory that bodies, answers and
	// events may take together, in percent.
	heldMemoryPercent = 40
	// defaultHeldBytes is that part if the process has no memory limit.
	defaultHeldBytes = 64 << 20
)

func heldBytes(memoryBytes int64) int {
	if memoryBytes <= 0 {
		return defaultHeldBytes
	}
	return int(memoryBytes * heldMemoryPercent / 100)
}

// New returns a host that is not running yet.
//
//	gateway := host.New(settings, platform, logger, lines)
//	err := gateway.Serve(ctx)
func New(settings Settings, platform Platform, logger hclog.Logger, lines *spool.Spool) *Host {
	h := &Host{
		settings: settings, platform: platform, logger: logger, lines: lines,
		roster: roster.New(), needs: needs.New(settings.Name), credit: credit.New(settings.Name, settings.Bounds.Quota), creditLabels: map[string]tally.Scope{},
		cachePositions: map[string]caches.Position{}, positionUpdates: oplog.New[positionUpdate](maxPositions), positionReportedAt: map[string]time.Time{},
		meter: meter.New(time.Second, logger), feeds: map[string]*feed.Feed{},
		startedAt:   time.Now(),
		unknownAges: map[modelVersion]uint64{}, storedAges: map[modelVersion]struct{}{}, ageUnknown: make(chan struct{}, 1),
	}
	h.picker = pick.New(pick.Options{DataCentre: settings.DataCentre, Seed: seedOf(settings.Name), Needs: h.needs, Spill: spill.New(settings.DataCentre)})
	h.targets.Store(&map[string]roster.Target{})
	h.bounds.Store(&settings.Bounds)
	h.pool = pool.New(func(string) { h.meter.Scope().Counter("connections_opened").Inc(1) })
	h.peers = peers.New(peers.Options{
		Self: h.self(), Address: settings.Peer, Compose: h.compose, Apply: h.receive, DropLoad: h.dropPeer,
		Rows: h.rows, Tables: h.tables, OnParentReply: h.notifyFeeds, Parts: h.parts, Scope: h.meter.Scope(), Logger: logger,
	})
	h.deadly = deadly.New(deadly.Options{
		Self: settings.Name, Up: h.namesUp, Dial: (&net.Dialer{}).DialContext, Scope: h.meter.Scope(), Logger: logger,
	})
	h.drainer = drain.New(drain.Options{
		Engines: platform.Engines, Targets: h.listedTargets, Running: h.running, Wanted: h.wanted,
		ChecksFence: func() bool { return h.bounds.Load().ChecksFence }, Loaded: h.observeVersion, Logger: logger,
	})
	h.orders = orders.New(h.orderOptions())
	h.proxy = proxy.New(proxy.Options{
		Codec: platform.Codec, Plan: h.plan.Load, Picker: h.picker, Lock: &h.mu, Pool: h.pool, Memory: budget.New(heldBytes(settings.MemoryBytes)), Fleet: h.peers,
		RetryBound: settings.Bounds.Repeats, DefaultTimeout: time.Minute, OnVersion: h.observeVersion, OnNeeds: h.observeNeeds, OnSend: h.countSent, Scope: h.meter.Scope(), Logger: logger,
		Deadly: h.deadly, Stopping: h.stop.rejecting.Load, Limiter: h,
	})
	h.addFeed(platform.OperatorTable, h.operatorRows, h.operatorRows, nil)
	h.addFeed(platform.TargetTable, h.targetReset, h.targetChange, h.storeReturned)
	return h
}

func (h *Host) addFeed(name string, reset, change func(feed.Page), onAvailable func()) {
	h.feeds[name] = feed.New(feed.Options{
		Table: name, Source: h.platform.Source, FetchFromPeer: h.peers.FetchRows, Reset: reset, Change: change, OnAvailable: onAvailable,
		Upstream: h.upstream, HasChildren: h.peers.HasChildren, Stalled: h.observeClocks, RowLife: rowLife(h.settings.Heartbeat),
		Scope: h.meter.Scope(), Logger: h.logger,
	})
}

// rowLife returns how long a target's entry outlives an outage at least, with a tenth to
// spare: it lapses after three intervals, and the last write is up to one of them old.
func rowLife(heartbeat time.Duration) time.Duration { return 2 * heartbeat * 9 / 10 }

// SetBounds replaces the bounds.
func (h *Host) SetBounds(bounds Bounds) {
	h.bounds.Store(&bounds)
	h.proxy.SetRetryBound(bounds.Repeats)
	h.setQuota(bounds.Quota)
	h.logger.Info("bounds updated", "bounds", bounds)
}

// Serve runs the host until the context is cancelled, then drains it.
func (h *Host) Serve(ctx context.Context) error {
	startedAt := time.Now()
	h.logger.Info("starting", "front", h.settings.Front, "peer", h.settings.Peer, "pid", os.Getpid())
	front, err := net.Listen("tcp", h.settings.Front)
	if err != nil {
		return errors.Annotate(err, "listening for clients")
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.server = listen.New(serveCtx, front, h.closeConnections(h.proxy), local.Limits{})
	supervisor := suture.New(h.settings.Name, suture.Spec{EventHook: h.logSupervisorEvent})
	for _, f := range h.feeds {
		supervisor.Add(f)
	}
	supervisor.Add(h.server)
	supervisor.Add(&service{run: h.maintain})
	supervisor.Add(&service{run: h.register})
	supervisor.Add(&service{run: h.runAnnouncements})
	supervisor.Add(&service{run: h.runModels})
	supervisor.Add(&service{run: h.warmUp})
	supervisor.Add(caches.New(caches.Options{
		Name: h.settings.Name, Client: h.platform.Caches, Sources: h.cacheSources, Apply: h.applyCacheEvents, Forget: h.clearCache, Position: h.cachePosition, SetPosition: h.recordPosition,
		Nodes: h.nodes, Scope: h.meter.Scope(), Logger: h.logger,
	}))
	for name, listener := range h.sideListeners() {
		supervisor.Add(&service{run: func(ctx context.Context) error { return h.serveSide(ctx, name, listener) }})
	}
	if h.settings.Peer != "" {
		supervisor.Add(h.peers)
		supervisor.Add(&service{run: h.watchGone})
	}
	supervisorDone := supervisor.ServeBackground(serveCtx)
	ordersCtx, stopOrders := context.WithCancel(ctx)
	ordersDone := make(chan error, 1)
	go func(ctx context.Context) { ordersDone <- h.orders.Serve(ctx) }(ordersCtx)
	<-ctx.Done()
	h.drain(serveCtx, ordersDone)
	stopOrders()
	stop()
	<-supervisorDone
	h.logger.Info("stopped", "ranMs", time.Since(startedAt).Milliseconds(), "linesDropped", h.lines.Dropped())
	return errors.Annotate(h.meter.Close(), "stopping")
}

// service adapts a function to [suture.Service].
type service struct{ run func(context.Context) error }

// Serve implements [suture.Service].
func (s *service) Serve(ctx context.Context) error { return s.run(ctx) }

func (h *Host) logSupervisorEvent(event suture.Event) {
	h.meter.Scope().Counter("part_failures").Inc(1)
	h.logger.Warn("supervisor event", "event", event.String())
}

// sideListeners returns all listeners except the one for clients.
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

// sideTimeout bounds the time to read a request header on these listeners.
const sideTimeout = 2 * time.Second

func (h *Host) serveSide(ctx context.Context, name string, s sideListener) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		h.logger.Error("failed to listen", "listener", name, "address", s.address, "error", err)
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
