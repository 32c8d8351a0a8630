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
	"github.com/cicadamill/cicadamill/internal/infra/mark"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/lease"
	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// LeaseKey is the key of the lease's row in the table.
const LeaseKey = "orders/lease"

// releaseTimeout bounds the release of the lease when the node stops.
const releaseTimeout = time.Second

// Options are the dependencies and time limits of a [Sender].
type Options struct {
	// Config returns the configuration in force.
	Config func() site.Config
	// Dial returns an engine's client. Its connections must be made by
	// [egress.Dial], so that the lease is checked before the first byte is sent.
	Dial func(name string) (engine.Client, bool)
	// Table holds the lease.
	Table table.Client
	// Host is this node's host, if no other process of the node can run there,
	// else empty.
	Host string
	// Term is the duration of the lease.
	Term time.Duration
	// OrderTimeout is the timeout of an order.
	OrderTimeout time.Duration
	// HandoverDelay is the time between the orders of two holders to engines that don't
	// check fencing tokens; zero means Term plus OrderTimeout.
	HandoverDelay time.Duration
	// Competes reports whether this node competes for the lease; nil means always. A
	// holder renews its lease in either case.
	Competes func() bool
	// ReportInterval is the time between two reads of the engines' reports.
	ReportInterval time.Duration
	// IdleReportInterval is the time between two reads while every engine serves what
	// is configured.
	IdleReportInterval time.Duration
	// Now reads the clock that the lease and the orders are timed by; see package
	// lease for what it must count.
	Now func() time.Time
	// Limits limit the number and the rate of orders.
	Limits order.Options
	// Scope receives the metrics.
	Scope tally.Scope
	// Logger receives changes of the lease holder and failed orders.
	Logger hclog.Logger
}

// DefaultOptions are the time limits and bounds that a node uses.
var DefaultOptions = Options{
	Term: 12 * time.Second, OrderTimeout: 3 * time.Second, ReportInterval: time.Second, IdleReportInterval: 10 * time.Second,
	Limits: order.Options{MaxLoads: 2, LoadInterval: time.Second, LoadTimeout: time.Minute, ReportDelay: 3 * time.Second, MaxAge: 10 * time.Second},
}

// Sender competes for the lease and, while it holds it, sends orders. It is a
// suture service.
type Sender struct {
	options   Options
	lease     lease.State
	orders    order.State
	fence     uint64
	lastRead  time.Time
	lastOrder time.Time
	// marks are those of the lease's row as last read, and the time of that read.
	marks   mark.History
	readAt  mark.Mark
	granted atomic.Pointer[lease.Grant]
}

// New returns a Sender. It competes for the lease while Serve runs.
//
//	options := orders.DefaultOptions
//	options.Table, options.Config, options.Dial = client, applied.Config, dial
//	options.Now = clock.Now
//	supervisor.Add(orders.New(options))
func New(options Options) *Sender { return &Sender{options: options} }

// Serve runs until ctx ends. Each run, also after a panic, competes for the lease
// under a new identity.
func (s *Sender) Serve(ctx context.Context) error {
	s.lease = lease.New(rand.Text(), s.options.Term)
	if s.options.Host != "" {
		s.lease = lease.NewOnHost(s.options.Host, rand.Text(), s.options.Term)
	}
	s.fence = 0
	ticker := time.NewTicker(s.options.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.releaseLease(ctx)
			return ctx.Err()
		case <-ticker.C:
		}
		if s.lease.Grant().Fence > 0 || s.options.Competes == nil || s.options.Competes() {
			s.keepLease(ctx)
		}
		if s.updateHeld() {
			s.readReports(ctx)
			s.sendOrders(ctx)
		}
	}
}

// updateHeld reports whether this node holds the lease. When the lease is newly
// taken, it resets the state of the orders.
func (s *Sender) updateHeld() bool {
	grant := s.lease.Grant()
	s.granted.Store(&grant)
	held := grant.Covers(s.options.Now(), 0)
	gauge := 0.0
	if held {
		gauge = 1
	}
	s.options.Scope.Gauge("orders_lease_held").Update(gauge)
	switch {
	case held && grant.Fence != s.fence:
		s.fence = grant.Fence
		s.orders = order.New(s.options.Limits)
		s.lastRead = time.Time{}
		s.options.Scope.Counter("orders_lease_taken").Inc(1)
		s.options.Logger.Info("took the lease for orders", "fence", grant.Fence, "quietMs", grant.SinceLastAct.Milliseconds())
	case !held && s.fence != 0:
		s.fence = 0
		s.options.Scope.Counter("orders_lease_lost").Inc(1)
		s.options.Logger.Warn("lost the lease for orders")
	}
	return held
}

// desired returns the configured state of each engine and from when on it may be
// ordered. Engines that check fencing tokens get orders once their reports must
// reflect the orders of an earlier holder. All others get orders only after the
// earlier holder's lease and longest order have passed.
func (s *Sender) desired() map[string]order.Wanted {
	config := s.options.Config()
	grant := s.lease.Grant()
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
		w.NotBefore = taken.Add(s.options.OrderTimeout + s.options.Limits.ReportDelay)
		if !e.ChecksFence {
			w.NotBefore = taken.Add(max(0, s.handoverDelay()-grant.SinceLastAct))
		}
		engines[e.Name] = w
	}
	return engines
}

// handoverDelay returns how long after the lease was taken an order of the earlier
// holder may still arrive.
func (s *Sender) handoverDelay() time.Duration {
	if s.options.HandoverDelay > 0 {
		return s.options.HandoverDelay
	}
	return s.options.Term + s.options.OrderTimeout
}

// releaseLease releases the lease, so that another node can take it at once. It
// runs after all orders have ended.
func (s *Sender) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	held := s.lease.Grant().Fence > 0
	s.runLease(ctx, lease.Release{LastAct: s.lastOrder})
	if held {
		s.options.Logger.Info("released the lease for orders", "fence", s.fence)
	}
}

// Fence returns the fencing token while this node holds the lease, else zero.
// It is safe for concurrent use.
func (s *Sender) Fence() uint64 {
	grant := s.granted.Load()
	if grant == nil || !grant.Covers(s.options.Now(), 0) {
		return 0
	}
	return grant.Fence
}

// keepLease runs the state machine of the lease until it has no more commands.
func (s *Sender) keepLease(ctx context.Context) { s.runLease(ctx, lease.Tick{}) }

func (s *Sender) runLease(ctx context.Context, message lease.Message) {
	for message != nil {
		var commands []lease.Command
		s.lease, commands = s.lease.Update(s.options.Now(), message)
		message = nil
		for _, command := range commands {
			message = s.executeLease(ctx, command)
		}
	}
}

func (s *Sender) executeLease(ctx context.Context, command lease.Command) lease.Message {
	ctx, cancel := context.WithTimeout(ctx, s.options.Term/4)
	defer cancel()
	switch c := command.(type) {
	case lease.Read:
		return s.readLease(ctx)
	case lease.Write:
		return s.writeLease(ctx, c)
	default:
		return nil
	}
}

// writeResult converts the result of a write into a message for the lease's state
// machine.
func (s *Sender) writeResult(err error) lease.Message {
	var outage *table.OutageError
	switch {
	case err == nil:
		return lease.Written{}
	case errors.As(err, &outage) && !outage.MayHaveApplied:
		s.options.Scope.Counter("orders_lease_down").Inc(1)
		return lease.Unavailable{}
	default:
		s.options.Scope.Counter("orders_lease_unsure").Inc(1)
		return lease.Unsure{}
	}
}
