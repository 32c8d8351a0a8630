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
	lookTimeout  = time.Second
	lookParallel = 32
	errLapsed    = jujuerrors.ConstError("the lease does not cover the order")
)

func (g *Giver) read(ctx context.Context) lease.Message {
	row, err := g.options.Table.Get(ctx, Row)
	if err != nil {
		g.options.Scope.Counter("orders_lease_down").Inc(1)
		return lease.Down{}
	}
	found := lease.Row{Version: row.Version}
	if row.Version > 0 && json.Unmarshal(row.Value, &found.Record) != nil {
		g.options.Scope.Counter("orders_lease_malformed").Inc(1)
		return lease.Down{}
	}
	return found
}

func (g *Giver) write(ctx context.Context, c lease.Write) lease.Message {
	value, err := json.Marshal(c.Record)
	if err != nil {
		return lease.Down{}
	}
	return g.result(g.options.Table.Commit(ctx, table.Txn{Puts: []table.Put{{Key: Row, Value: value, IfVersion: c.IfVersion}}}))
}

// look reads the reports of all engines, a few at a time, and less often while
// nothing is to be changed.
func (g *Giver) look(ctx context.Context) {
	now, wanted := time.Now(), g.wanted()
	g.orders, _ = g.orders.Update(now, order.Want{Engines: wanted})
	if g.orders.Settled() && now.Sub(g.looked) < g.options.Quiet {
		return
	}
	g.looked = now
	names := make(chan string, len(wanted))
	for name := range wanted {
		names <- name
	}
	close(names)
	reports := make(chan *order.Seen, len(wanted))
	for range min(lookParallel, len(wanted)) {
		go func(ctx context.Context) {
			for name := range names {
				reports <- g.report(ctx, name)
			}
		}(ctx)
	}
	for range wanted {
		if seen := <-reports; seen != nil {
			g.orders, _ = g.orders.Update(time.Now(), *seen)
		}
	}
}

func (g *Giver) report(ctx context.Context, name string) *order.Seen {
	client, ok := g.options.Dial(name)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	load, err := client.Load(ctx)
	if err != nil {
		return nil
	}
	return &order.Seen{Engine: name, Load: load}
}

// order gives the orders of one look and waits for them; none is under way
// longer than the bound.
func (g *Giver) order(ctx context.Context) {
	grant := g.lease.Grant()
	var commands []order.Command
	g.orders, commands = g.orders.Update(time.Now(), order.Tick{})
	results := make(chan order.Ended, len(commands))
	for _, command := range commands {
		if send, ok := command.(order.Send); ok {
			g.acted = time.Now()
			go func(ctx context.Context) { results <- g.send(ctx, grant, send) }(ctx)
		}
	}
	g.options.Scope.Gauge("orders_given_up").Update(float64(g.orders.GivenUp()))
	for range commands {
		g.orders, _ = g.orders.Update(time.Now(), <-results)
	}
}

// send gives one order. The lease is checked right before the first byte
// leaves, and the deadline of the order lies inside it.
func (g *Giver) send(ctx context.Context, grant lease.Grant, s order.Send) order.Ended {
	ended := order.Ended{ID: s.ID, Engine: s.Engine, Result: order.NotSent}
	client, ok := g.options.Dial(s.Engine)
	if !ok {
		return ended
	}
	ctx, cancel := context.WithTimeout(ctx, g.options.MaxOrder)
	defer cancel()
	once := guard.New(func() error {
		if !grant.Covers(time.Now(), g.options.MaxOrder) {
			return errLapsed
		}
		return nil
	})
	err := client.Order(once.Context(ctx), fenced(s.Order, grant.Fence))
	ended.Result, ended.RetryAfter = judge(err)
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

// judge turns an engine's word into a result. An order that was fenced off was
// not obeyed; the lease is read again soon anyway.
func judge(err error) (order.Result, time.Duration) {
	var failure *engine.Error
	if err == nil {
		return order.Obeyed, 0
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
		return order.Limited, failure.RetryAfter
	default:
		return order.Refused, 0
	}
}

func fenced(o engine.Order, fence uint64) engine.Order {
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
