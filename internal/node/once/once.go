// Package once runs calls that must run at most once: it carries out what the
// ledger slice decides, against the table service, the object store and the
// target.
package once

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/infra/object"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
)

// freeWait is how long a repeat waits for the end of a call that did not run.
const freeWait = time.Second

// Options bound a [Runner].
type Options struct {
	// Limits bound the time of a call in the ledger.
	Limits ledger.Limits
	// Retention is how long records are kept.
	Retention time.Duration
	// MaxOpen is the number of calls open at once.
	MaxOpen int
}

// Defaults are the options of a node.
var Defaults = Options{
	Limits:    ledger.Limits{Hold: 5 * time.Second, Patience: 10 * time.Second},
	Retention: 24 * time.Hour,
	MaxOpen:   256,
}

// Writer writes one row on a condition.
type Writer interface {
	// Write returns what became of the write.
	Write(ctx context.Context, put table.Put) batch.Result
}

// Call is a call that must run at most once.
type Call struct {
	// Workspace is who calls.
	Workspace string
	// Key is the workspace's idempotency key.
	Key string
	// Digest is the digest of what is asked for; see [ledger.Digest].
	Digest string
	// Dispatch sends the call to a target, once, within the bound.
	Dispatch func(ctx context.Context, bound ledger.Dispatch) ledger.Finished
}

// Runner runs calls. It is a suture service; when its context ends it takes no
// more calls and lets those that are open end.
type Runner struct {
	options Options
	writer  Writer
	table   table.Client
	objects object.Client
	scope   tally.Scope
	starts  chan *flight

	mu      sync.Mutex
	flights map[string]*flight
}

// flight is one open call of this node, with everybody who waits for it.
type flight struct {
	call   Call
	state  ledger.State
	done   chan struct{}
	left   chan struct{}
	reply  ledger.Reply
	refuse *ledger.Refuse
}

// New returns a runner that works once it is served.
//
//	runner := once.New(writer, tableClient, objectClient, once.Defaults, scope)
//	supervisor.Add(runner)
//	reply, err := runner.Run(ctx, call)
func New(writer Writer, tables table.Client, objects object.Client, options Options, scope tally.Scope) *Runner {
	return &Runner{
		options: options, writer: writer, table: tables, objects: objects, scope: scope,
		starts: make(chan *flight), flights: map[string]*flight{},
	}
}

// Run runs a call or joins one of the same key. It goes on when the caller is
// gone, so that a repeat finds the answer. An error is a [*fault.Error].
func (r *Runner) Run(ctx context.Context, call Call) (ledger.Reply, error) {
	f, joined, err := r.enter(ctx, call)
	if joined && f.freed(ctx) {
		f, joined, err = r.enter(ctx, call)
	}
	if err != nil {
		return ledger.Reply{}, err
	}
	over := joined && f.over()
	select {
	case <-f.done:
	case <-ctx.Done():
		return ledger.Reply{}, failed("callerGone", http.StatusServiceUnavailable, effect.Unknown{}, 0, "the wait for the answer ended")
	}
	if f.refuse != nil {
		return ledger.Reply{}, refusal(f.refusalFor(over))
	}
	reply := f.reply
	reply.Repeated = reply.Repeated || joined
	return reply, nil
}

// over reports whether a call has ended for its caller.
func (f *flight) over() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// refusalFor gives a repeat that came after the end of an unknown call the same
// code that it gets from the record.
func (f *flight) refusalFor(over bool) ledger.Refuse {
	if _, unknown := f.refuse.Outcome.(effect.Unknown); over && unknown && f.refuse.RetryAfter == 0 {
		return ledger.Unknown()
	}
	return *f.refuse
}

// freed reports whether a call had ended without running when a repeat met it,
// and waits a moment until that is written, so that the repeat can begin anew.
func (f *flight) freed(ctx context.Context) bool {
	if !f.over() || f.refuse == nil {
		return false
	}
	if _, notRun := f.refuse.Outcome.(effect.NotRun); !notRun {
		return false
	}
	timer := time.NewTimer(freeWait)
	defer timer.Stop()
	select {
	case <-f.left:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// enter finds the open call of a key or starts it.
func (r *Runner) enter(ctx context.Context, call Call) (f *flight, joined bool, err error) {
	row := ledger.RowKey(call.Workspace, call.Key)
	r.mu.Lock()
	if open, ok := r.flights[row]; ok {
		r.mu.Unlock()
		if open.call.Digest != call.Digest {
			r.scope.Counter("effects_key_reused").Inc(1)
			return nil, false, refusal(ledger.Refuse{Code: "keyReused", Outcome: effect.NotRun{}, Message: "this idempotency key was used for another request"})
		}
		r.scope.Counter("effects_joined").Inc(1)
		return open, true, nil
	}
	if len(r.flights) >= r.options.MaxOpen {
		r.mu.Unlock()
		r.scope.Counter("effects_full").Inc(1)
		return nil, false, busy()
	}
	f = &flight{call: call, done: make(chan struct{}), left: make(chan struct{})}
	f.state = ledger.New(ledger.Call{
		Row: row, Digest: call.Digest, Nonce: rand.Text(), Expires: time.Now().Add(r.options.Retention).Unix(),
	}, r.options.Limits)
	r.flights[row] = f
	r.mu.Unlock()
	select {
	case r.starts <- f:
		return f, false, nil
	case <-ctx.Done():
	case <-time.After(r.options.Limits.Hold):
	}
	r.abandon(f)
	return nil, false, busy()
}

// abandon ends a flight that was never started.
func (r *Runner) abandon(f *flight) {
	f.refuse = &ledger.Refuse{Code: "effectsBusy", Outcome: effect.NotRun{Reason: "not started"}, RetryAfter: time.Second, Message: "this node takes no such calls now"}
	close(f.done)
	r.leave(f)
}

func (r *Runner) leave(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f.state.Call().Row)
	close(f.left)
}

// Serve runs calls until the context ends and the open ones have.
func (r *Runner) Serve(ctx context.Context) error {
	ended := make(chan *flight)
	open := 0
	for {
		select {
		case <-ctx.Done():
			for ; open > 0; open-- {
				r.leave(<-ended)
			}
			return ctx.Err()
		case f := <-r.starts:
			open++
			go func(ctx context.Context) {
				r.drive(ctx, f)
				ended <- f
			}(context.WithoutCancel(ctx))
		case f := <-ended:
			open--
			r.leave(f)
		}
		r.scope.Gauge("effects_open").Update(float64(open))
	}
}

func busy() error {
	return failed("effectsBusy", http.StatusServiceUnavailable, effect.NotRun{Reason: "busy"}, time.Second, "this node has too many such calls open")
}

func refusal(c ledger.Refuse) error {
	return failed(c.Code, status(c), c.Outcome, c.RetryAfter, c.Message)
}

func status(c ledger.Refuse) int {
	switch c.Code {
	case "keyReused":
		return http.StatusUnprocessableEntity
	case "underWay", "outcomeUnknown":
		return http.StatusConflict
	case "targetTimeout":
		return http.StatusGatewayTimeout
	case "targetBroken", "answerCut", "answerTooLarge":
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

func failed(code string, status int, outcome effect.Outcome, after time.Duration, message string) error {
	return &fault.Error{Code: code, Status: status, Outcome: outcome, RetryAfter: after, Message: message}
}
