package orders

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	jujuerrors "github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/infra/epoch"
	"github.com/cicadamill/cicadamill/internal/infra/mark"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/lease"
	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/egress"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	reportTimeout    = time.Second
	maxParallelReads = 32
	errLeaseExpiring = jujuerrors.ConstError("the lease may expire before the order completes")
)

func (s *Sender) readLease(ctx context.Context) lease.Message {
	row, err := s.options.Table.Get(ctx, LeaseKey)
	if err != nil {
		s.options.Scope.Counter("orders_lease_down").Inc(1)
		return lease.Unavailable{}
	}
	var stored storedLease
	if row.Version > 0 && json.Unmarshal(row.Value, &stored) != nil {
		s.options.Scope.Counter("orders_lease_malformed").Inc(1)
		return lease.Unavailable{}
	}
	s.marks, s.readAt = stored.Marks.Add(row.ReadAt), row.ReadAt
	return lease.Row{Version: row.Version, Record: stored.Record, Epoch: epoch.Version(row.ReadAt.Version).Epoch()}
}

// storedLease is the value of the lease's row. Its marks relate versions of the store
// to times, since no other row is written as often.
type storedLease struct {
	lease.Record
	Marks mark.History `json:"marks,omitempty"`
}

// ReadMarks returns the marks in the value of the lease's row.
func ReadMarks(value []byte) (mark.History, error) {
	var stored storedLease
	err := json.Unmarshal(value, &stored)
	return stored.Marks, jujuerrors.Annotate(err, "decoding the lease")
}

func (s *Sender) writeLease(ctx context.Context, c lease.Write) lease.Message {
	value, err := json.Marshal(storedLease{Record: c.Record, Marks: s.marks})
	if err != nil {
		return lease.Unavailable{}
	}
	return s.writeResult(s.options.Table.Commit(ctx, table.Txn{
		Puts: []table.Put{{Key: LeaseKey, Value: value, IfVersion: c.IfVersion}}, ReadAt: s.readAt,
	}))
}

// readReports reads the reports of all engines, with limited concurrency. While
// every engine serves what is configured, it reads them only once per
// [Options.IdleReportInterval].
func (s *Sender) readReports(ctx context.Context) {
	now, wanted := s.options.Now(), s.desired()
	s.orders, _ = s.orders.Update(now, order.Configure{Engines: wanted})
	if s.orders.Settled() && now.Sub(s.lastRead) < s.options.IdleReportInterval {
		return
	}
	s.lastRead = now
	names := make(chan string, len(wanted))
	for name := range wanted {
		names <- name
	}
	close(names)
	reports := make(chan *order.Reported, len(wanted))
	for range min(maxParallelReads, len(wanted)) {
		go func(ctx context.Context) {
			for name := range names {
				reports <- s.readReport(ctx, name)
			}
		}(ctx)
	}
	for range wanted {
		if seen := <-reports; seen != nil {
			s.orders, _ = s.orders.Update(s.options.Now(), *seen)
		}
	}
}

func (s *Sender) readReport(ctx context.Context, name string) *order.Reported {
	client, ok := s.options.Dial(name)
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
// [Options.OrderTimeout].
func (s *Sender) sendOrders(ctx context.Context) {
	grant := s.lease.Grant()
	var commands []order.Command
	s.orders, commands = s.orders.Update(s.options.Now(), order.Tick{})
	results := make(chan order.Ended, len(commands))
	for _, command := range commands {
		if send, ok := command.(order.Send); ok {
			s.lastOrder = s.options.Now()
			go func(ctx context.Context) { results <- s.send(ctx, grant, send) }(ctx)
		}
	}
	s.options.Scope.Gauge("orders_given_up").Update(float64(s.orders.FailedVersions()))
	for range commands {
		s.orders, _ = s.orders.Update(s.options.Now(), <-results)
	}
}

// send sends one order. Right before the first byte is sent, it checks that the
// lease lasts until the order's deadline.
func (s *Sender) send(ctx context.Context, grant lease.Grant, command order.Send) order.Ended {
	ended := order.Ended{ID: command.ID, Engine: command.Engine, Result: order.NotSent}
	client, ok := s.options.Dial(command.Engine)
	if !ok {
		return ended
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.OrderTimeout)
	defer cancel()
	checked := egress.New(func() error {
		if !grant.Covers(s.options.Now(), s.options.OrderTimeout) {
			return errLeaseExpiring
		}
		return nil
	})
	err := client.Order(checked.Context(ctx), withFence(command.Order, grant.Fence))
	ended.Result, ended.RetryAfter = resultOf(err)
	kind, code := kindOf(command.Order), "obeyed"
	var failure *engine.Error
	if errors.As(err, &failure) {
		code = string(failure.Code)
	}
	s.options.Scope.Tagged(map[string]string{"kind": kind, "code": code}).Counter("orders_sent").Inc(1)
	if code != "obeyed" {
		s.options.Logger.Warn("order failed", "engine", command.Engine, "kind", kind, "code", code)
	}
	return ended
}

// resultOf converts the error of an order to a result. An order refused for its
// fencing token counts as not sent; the lease is read again soon anyway.
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
