// Package orders sends orders to the engines of a site, such as to load weights.
// Only the node that holds the site's lease sends them.
package orders

import (
	"context"
	"crypto/rand"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/lease"
	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Row is the key of the lease's row in the table.
const Row = "orders/lease"

// releaseTimeout bounds the release of the lease when the node stops.
const releaseTimeout = time.Second

// Options are the dependencies and time limits of a [Giver].
type Options struct {
	// Config returns the configuration in force.
	Config func() site.Config
	// Dial returns an engine's client. Its connections must be made by
	// [guard.Dial], so that the lease is checked before the first byte is sent.
	Dial func(name string) (engine.Client, bool)
	// Table holds the lease.
	Table table.Client
	// Host is this node's host, if no other process of the node can run there,
	// else empty.
	Host string
	// Term is the duration of the lease.
	Term time.Duration
	// MaxOrder is the timeout of an order.
	MaxOrder time.Duration
	// Turn is the time between the orders of two holders to engines that don't
	// check fencing numbers; zero means Term plus MaxOrder.
	Turn time.Duration
	// Stand reports whether this node competes for the lease; nil means always. A
	// holder renews its lease in either case.
	Stand func() bool
	// Interval is the time between two reads of the engines' reports.
	Interval time.Duration
	// Quiet is the time between two reads while every engine serves what is
	// configured.
	Quiet time.Duration
	// Bounds limit the number and the rate of orders.
	Bounds order.Options
	// Scope receives the metrics.
	Scope tally.Scope
	// Logger receives changes of the lease holder and failed orders.
	Logger hclog.Logger
}

// Defaults are the time limits and bounds that a node uses.
var Defaults = Options{
	Term: 12 * time.Second, MaxOrder: 3 * time.Second, Interval: time.Second, Quiet: 10 * time.Second,
	Bounds: order.Options{MaxLoads: 2, LoadInterval: time.Second, LoadTimeout: time.Minute, ReportDelay: 3 * time.Second, MaxAge: 10 * time.Second},
}

// Giver competes for the lease and, while it holds it, sends orders. It is a
// suture service.
type Giver struct {
	options   Options
	lease     lease.State
	orders    order.State
	fence     uint64
	lastRead  time.Time
	lastOrder time.Time
	granted   atomic.Pointer[lease.Grant]
}

// New returns a giver. It competes for the lease while Serve runs.
//
//	options := orders.Defaults
//	options.Table, options.Config, options.Dial = client, applied.Config, dial
//	supervisor.Add(orders.New(options))
func New(options Options) *Giver { return &Giver{options: options} }

// Serve runs until ctx ends. Each run, also after a panic, competes for the lease
// under a new identity.
func (g *Giver) Serve(ctx context.Context) error {
	g.lease = lease.New(rand.Text(), g.options.Term)
	if g.options.Host != "" {
		g.lease = lease.NewOnHost(g.options.Host, rand.Text(), g.options.Term)
	}
	g.fence = 0
	ticker := time.NewTicker(g.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.releaseLease(ctx)
			return ctx.Err()
		case <-ticker.C:
		}
		if g.lease.Grant().Fence > 0 || g.options.Stand == nil || g.options.Stand() {
			g.keepLease(ctx)
		}
		if g.updateHeld() {
			g.readReports(ctx)
			g.sendOrders(ctx)
		}
	}
}

// updateHeld reports whether this node holds the lease. When the lease is newly
// taken, it resets the state of the orders.
func (g *Giver) updateHeld() bool {
	grant := g.lease.Grant()
	g.granted.Store(&grant)
	held := grant.Covers(time.Now(), 0)
	gauge := 0.0
	if held {
		gauge = 1
	}
	g.options.Scope.Gauge("orders_lease_held").Update(gauge)
	switch {
	case held && grant.Fence != g.fence:
		g.fence = grant.Fence
		g.orders = order.New(g.options.Bounds)
		g.lastRead = time.Time{}
		g.options.Scope.Counter("orders_lease_taken").Inc(1)
		g.options.Logger.Info("took the lease for orders", "fence", grant.Fence, "quietMs", grant.SinceLastAct.Milliseconds())
	case !held && g.fence != 0:
		g.fence = 0
		g.options.Scope.Counter("orders_lease_lost").Inc(1)
		g.options.Logger.Warn("lost the lease for orders")
	}
	return held
}

// desired returns the configured state of each engine and from when on it may be
// ordered. Engines that check fencing numbers get orders once their reports must
// reflect the orders of an earlier holder. All others get orders only after the
// earlier holder's lease and longest order have passed.
func (g *Giver) desired() map[string]order.Wanted {
	config := g.options.Config()
	grant := g.lease.Grant()
	taken := grant.TakenAt
	models := map[string]site.Model{}
	for _, model := range config.Models {
		models[model.Name] = model
	}
	engines := map[string]order.Wanted{}
	for _, e := range config.Engines {
		model := models[e.Model]
		w := order.Wanted{Model: e.Model, WeightVersion: model.WeightVersion, Adapters: map[string]string{}}
		for _, adapter := range model.Adapters {
			w.Adapters[adapter.Name] = adapter.Version
		}
		w.NotBefore = taken.Add(g.options.MaxOrder + g.options.Bounds.ReportDelay)
		if !e.ChecksFence {
			w.NotBefore = taken.Add(max(0, g.handoverDelay()-grant.SinceLastAct))
		}
		engines[e.Name] = w
	}
	return engines
}

// handoverDelay returns how long after the lease was taken an order of the earlier
// holder may still arrive.
func (g *Giver) handoverDelay() time.Duration {
	if g.options.Turn > 0 {
		return g.options.Turn
	}
	return g.options.Term + g.options.MaxOrder
}

// releaseLease releases the lease, so that another node can take it at once. It
// runs after all orders have ended.
func (g *Giver) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	held := g.lease.Grant().Fence > 0
	g.runLease(ctx, lease.Release{LastAct: g.lastOrder})
	if held {
		g.options.Logger.Info("gave up the lease for orders", "fence", g.fence)
	}
}

// Fence returns the fencing number while this node holds the lease, else zero.
// It is safe for concurrent use.
func (g *Giver) Fence() uint64 {
	grant := g.granted.Load()
	if grant == nil || !grant.Covers(time.Now(), 0) {
		return 0
	}
	return grant.Fence
}

// keepLease runs the state machine of the lease until it has no more commands.
func (g *Giver) keepLease(ctx context.Context) { g.runLease(ctx, lease.Tick{}) }

func (g *Giver) runLease(ctx context.Context, message lease.Message) {
	for message != nil {
		var commands []lease.Command
		g.lease, commands = g.lease.Update(time.Now(), message)
		message = nil
		for _, command := range commands {
			message = g.executeLease(ctx, command)
		}
	}
}

func (g *Giver) executeLease(ctx context.Context, command lease.Command) lease.Message {
	ctx, cancel := context.WithTimeout(ctx, g.options.Term/4)
	defer cancel()
	switch c := command.(type) {
	case lease.Read:
		return g.readLease(ctx)
	case lease.Write:
		return g.writeLease(ctx, c)
	default:
		return nil
	}
}

// writeResult converts the result of a write to a message to the lease's state
// machine.
func (g *Giver) writeResult(err error) lease.Message {
	var outage *table.OutageError
	switch {
	case err == nil:
		return lease.Written{}
	case errors.As(err, &outage) && !outage.MayHaveApplied:
		g.options.Scope.Counter("orders_lease_down").Inc(1)
		return lease.Unavailable{}
	default:
		g.options.Scope.Counter("orders_lease_unsure").Inc(1)
		return lease.Unsure{}
	}
}
