// Package orders gives the engines of a site their orders, on the one node that
// holds the lease for it.
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

// Row is the key of the lease in the table.
const Row = "orders/lease"

// handOverTimeout bounds the calls that give the lease up when the node stops.
const handOverTimeout = time.Second

// Options are what a [Giver] needs.
type Options struct {
	// Config returns the configuration in force.
	Config func() site.Config
	// Dial finds an engine's client, whose connections must be made by
	// [guard.Dial] so that the lease is checked at the socket.
	Dial func(name string) (engine.Client, bool)
	// Table holds the lease.
	Table table.Client
	// Host is this node's host if no other process of the node can run there;
	// empty if that is not known.
	Host string
	// Term is the length of the lease.
	Term time.Duration
	// MaxOrder is the longest time that an order may be under way.
	MaxOrder time.Duration
	// Turn is the time between the orders of two holders to engines that don't
	// check fencing numbers; zero means the term and the longest order.
	Turn time.Duration
	// Stand tells whether this node competes for the lease; nil means that it
	// always does. A holder keeps it either way.
	Stand func() bool
	// Interval is the time between two looks at the engines.
	Interval time.Duration
	// Quiet is the time between two looks while every engine serves what is wanted.
	Quiet time.Duration
	// Bounds bound what goes on at a time.
	Bounds order.Options
	// Scope takes the metrics.
	Scope tally.Scope
	// Logger hears of changes of the holder.
	Logger hclog.Logger
}

// Defaults are the times and bounds of a node.
var Defaults = Options{
	Term: 12 * time.Second, MaxOrder: 3 * time.Second, Interval: time.Second, Quiet: 10 * time.Second,
	Bounds: order.Options{MaxLoads: 2, LoadInterval: time.Second, LoadTimeout: time.Minute, Settle: 3 * time.Second, MaxAge: 10 * time.Second},
}

// Giver is a suture service.
type Giver struct {
	options Options
	lease   lease.State
	orders  order.State
	fence   uint64
	looked  time.Time
	acted   time.Time
	granted atomic.Pointer[lease.Grant]
}

// New returns a giver that competes for the lease once it is served.
//
//	options := orders.Defaults
//	options.Table, options.Config, options.Dial = client, applied.Config, dial
//	supervisor.Add(orders.New(options))
func New(options Options) *Giver { return &Giver{options: options} }

// Serve runs until the context ends. Each start is a new candidate for the
// lease, also after a panic.
func (g *Giver) Serve(ctx context.Context) error {
	g.lease = lease.New(rand.Text(), g.options.Term)
	if g.options.Host != "" {
		g.lease = lease.NewOn(g.options.Host, rand.Text(), g.options.Term)
	}
	g.fence = 0
	ticker := time.NewTicker(g.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.handOver(ctx)
			return ctx.Err()
		case <-ticker.C:
		}
		if g.lease.Grant().Fence > 0 || g.options.Stand == nil || g.options.Stand() {
			g.keepLease(ctx)
		}
		if g.holds() {
			g.look(ctx)
			g.order(ctx)
		}
	}
}

// holds reports whether this node holds the lease, and starts anew when it has
// just got it.
func (g *Giver) holds() bool {
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
		g.looked = time.Time{}
		g.options.Scope.Counter("orders_lease_taken").Inc(1)
		g.options.Logger.Info("took the lease for orders", "fence", grant.Fence, "quietMs", grant.Quiet.Milliseconds())
	case !held && g.fence != 0:
		g.fence = 0
		g.options.Scope.Counter("orders_lease_lost").Inc(1)
		g.options.Logger.Warn("lost the lease for orders")
	}
	return held
}

// wanted is what the configuration asks of each engine. Engines that check
// fencing numbers get orders once reports are younger than what an earlier
// holder ordered; for all others its whole lease and its longest order pass
// first.
func (g *Giver) wanted() map[string]order.Wanted {
	config := g.options.Config()
	grant := g.lease.Grant()
	taken := grant.Taken
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
		w.NotBefore = taken.Add(g.options.MaxOrder + g.options.Bounds.Settle)
		if !e.ChecksFence {
			w.NotBefore = taken.Add(max(0, g.turn()-grant.Quiet))
		}
		engines[e.Name] = w
	}
	return engines
}

// turn returns the time after taking the lease before which another holder's
// orders may still be under way.
func (g *Giver) turn() time.Duration {
	if g.options.Turn > 0 {
		return g.options.Turn
	}
	return g.options.Term + g.options.MaxOrder
}

// handOver gives the lease up, so that another node can take it at once. No
// order is under way any more.
func (g *Giver) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	held := g.lease.Grant().Fence > 0
	g.drive(ctx, lease.Leave{LastAct: g.acted})
	if held {
		g.options.Logger.Info("gave up the lease for orders", "fence", g.fence)
	}
}

// Fence returns the fencing number while this node holds the lease, else zero.
// It may be called from any goroutine.
func (g *Giver) Fence() uint64 {
	grant := g.granted.Load()
	if grant == nil || !grant.Covers(time.Now(), 0) {
		return 0
	}
	return grant.Fence
}

// keepLease carries out what the lease slice wants, until it waits.
func (g *Giver) keepLease(ctx context.Context) { g.drive(ctx, lease.Tick{}) }

func (g *Giver) drive(ctx context.Context, message lease.Message) {
	for message != nil {
		var commands []lease.Command
		g.lease, commands = g.lease.Update(time.Now(), message)
		message = nil
		for _, command := range commands {
			message = g.operate(ctx, command)
		}
	}
}

func (g *Giver) operate(ctx context.Context, command lease.Command) lease.Message {
	ctx, cancel := context.WithTimeout(ctx, g.options.Term/4)
	defer cancel()
	switch c := command.(type) {
	case lease.Read:
		return g.read(ctx)
	case lease.Write:
		return g.write(ctx, c)
	default:
		return nil
	}
}

// result turns an error of the table into what the lease slice hears.
func (g *Giver) result(err error) lease.Message {
	var outage *table.OutageError
	switch {
	case err == nil:
		return lease.Written{}
	case errors.As(err, &outage) && !outage.MayHaveApplied:
		g.options.Scope.Counter("orders_lease_down").Inc(1)
		return lease.Down{}
	default:
		g.options.Scope.Counter("orders_lease_unsure").Inc(1)
		return lease.Unsure{}
	}
}
