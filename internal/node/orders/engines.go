package orders

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	jujuerrors "github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/lease"
	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/guard"
)

const (
	reportTimeout    = time.Second
	maxParallelReads = 32
	errLeaseExpiring = jujuerrors.ConstError("the lease may expire before the order completes")
)

func (g *Giver) readLease(ctx context.Context) lease.Message {
	row, err := g.options.Table.Get(ctx, Row)
	if err != nil {
		g.options.Scope.Counter("orders_lease_down").Inc(1)
		return lease.Unavailable{}
	}
	found := lease.Row{Version: row.Version}
	if row.Version > 0 && json.Unmarshal(row.Value, &found.Record) != nil {
		g.options.Scope.Counter("orders_lease_malformed").Inc(1)
		return lease.Unavailable{}
	}
	return found
}

func (g *Giver) writeLease(ctx context.Context, c lease.Write) lease.Message {
	value, err := json.Marshal(c.Record)
	if err != nil {
		return lease.Unavailable{}
	}
	return g.writeResult(g.options.Table.Commit(ctx, table.Txn{Puts: []table.Put{{Key: Row, Value: value, IfVersion: c.IfVersion}}}))
}

// readReports reads the reports of all engines, with limited concurrency. While
// every engine serves what is configured, it reads them only once per
// [Options.Quiet].
func (g *Giver) readReports(ctx context.Context) {
	now, wanted := time.Now(), g.desired()
	g.orders, _ = g.orders.Update(now, order.Configure{Engines: wanted})
	if g.orders.Settled() && now.Sub(g.lastRead) < g.options.Quiet {
		return
	}
	g.lastRead = now
	names := make(chan string, len(wanted))
	for name := range wanted {
		names <- name
	}
	close(names)
	reports := make(chan *order.Reported, len(wanted))
	for range min(maxParallelReads, len(wanted)) {
		go func(ctx context.Context) {
			for name := range names {
				reports <- g.readReport(ctx, name)
			}
		}(ctx)
	}
	for range wanted {
		if seen := <-reports; seen != nil {
			g.orders, _ = g.orders.Update(time.Now(), *seen)
		}
	}
}

func (g *Giver) readReport(ctx context.Context, name string) *order.Reported {
	client, ok := g.options.Dial(name)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := client.Load(ctx)
	if err != nil {
		return nil
	}
	return &order.Reported{Engine: name, Load: load}
}

// sendOrders sends the orders that are due and waits for them, at most
// [Options.MaxOrder].
func (g *Giver) sendOrders(ctx context.Context) {
	grant := g.lease.Grant()
	var commands []order.Command
	g.orders, commands = g.orders.Update(time.Now(), order.Tick{})
	results := make(chan order.Ended, len(commands))
	for _, command := range commands {
		if send, ok := command.(order.Send); ok {
			g.lastOrder = time.Now()
			go func(ctx context.Context) { results <- g.send(ctx, grant, send) }(ctx)
		}
	}
	g.options.Scope.Gauge("orders_given_up").Update(float64(g.orders.FailedVersions()))
	for range commands {
		g.orders, _ = g.orders.Update(time.Now(), <-results)
	}
}

// send sends one order. Right before the first byte is sent, it checks that the
// lease lasts until the order's deadline.
func (g *Giver) send(ctx context.Context, grant lease.Grant, s order.Send) order.Ended {
	ended := order.Ended{ID: s.ID, Engine: s.Engine, Result: order.NotSent}
	client, ok := g.options.Dial(s.Engine)
	if !ok {
		return ended
	}
	ctx, cancel := context.WithTimeout(ctx, g.options.MaxOrder)
	defer cancel()
	checked := guard.New(func() error {
		if !grant.Covers(time.Now(), g.options.MaxOrder) {
			return errLeaseExpiring
		}
		return nil
	})
	err := client.Order(checked.Context(ctx), withFence(s.Order, grant.Fence))
	ended.Result, ended.RetryAfter = resultOf(err)
	kind, code := kindOf(s.Order), "obeyed"
	var failure *engine.Error
	if errors.As(err, &failure) {
		code = string(failure.Code)
	}
	g.options.Scope.Tagged(map[string]string{"kind": kind, "code": code}).Counter("orders_sent").Inc(1)
	if code != "obeyed" {
		g.options.Logger.Warn("order failed", "engine", s.Engine, "kind", kind, "code", code)
	}
	return ended
}

// resultOf converts the error of an order to a result. An order refused for its
// fencing number counts as not sent; the lease is read again soon anyway.
func resultOf(err error) (order.Result, time.Duration) {
	var failure *engine.Error
	if err == nil {
		return order.Accepted, 0
	}
	if !errors.As(err, &failure) {
		return order.Unsure, 0
	}
	if _, notRun := failure.Outcome.(effect.NotRun); !notRun {
		return order.Unsure, 0
	}
	switch failure.Code {
	case engine.Fenced, engine.Unreachable, engine.Leaving, engine.Stale:
		return order.NotSent, 0
	case engine.Busy:
		return order.RateLimited, failure.RetryAfter
	default:
		return order.Refused, 0
	}
}

func withFence(o engine.Order, fence uint64) engine.Order {
	switch o := o.(type) {
	case engine.LoadModel:
		o.Fence = fence
		return o
	case engine.LoadAdapter:
		o.Fence = fence
		return o
	case engine.SetRole:
		o.Fence = fence
		return o
	default:
		return o
	}
}

func kindOf(o engine.Order) string {
	switch o.(type) {
	case engine.LoadModel:
		return "loadModel"
	case engine.LoadAdapter:
		return "loadAdapter"
	case engine.SetRole:
		return "setRole"
	default:
		return "unknown"
	}
}
