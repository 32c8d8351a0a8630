// Package once runs calls that must run at most once. It executes the commands
// of the ledger's state machine against the table service, the object store and
// the target.
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

// removalTimeout bounds how long a repeat waits for the removal of a call that
// did not run.
const removalTimeout = time.Second

// Limits are the limits of a [Runner].
type Limits struct {
	// Limits bound how long a call may take in the ledger.
	Limits ledger.Limits
	// Retention is how long records are kept.
	Retention time.Duration
	// MaxOpen is the maximum number of open calls.
	MaxOpen int
	// Now reads the clock that times the calls, which should count the time for which
	// the host was suspended and never step; nil means [time.Now].
	Now func() time.Time
}

// DefaultLimits are the limits that a node uses.
var DefaultLimits = Limits{
	Limits:    ledger.Limits{Hold: 5 * time.Second, JoinTimeout: 10 * time.Second},
	Retention: 24 * time.Hour,
	MaxOpen:   256,
}

// Writer makes conditional writes of single rows.
type Writer interface {
	// Write writes a row and returns the result.
	Write(ctx context.Context, put table.Put) batch.Result
}

// Call is a call that must run at most once.
type Call struct {
	// Workspace is the workspace that makes the call.
	Workspace string
	// Key is the workspace's idempotency key.
	Key string
	// Digest identifies the content of the request; see [ledger.Digest].
	Digest string
	// Dispatch sends the call to a target, once, within the time of bound.
	Dispatch func(ctx context.Context, bound ledger.Dispatch) ledger.Finished
}

// Runner runs calls that must run at most once. It is a suture service. When its
// context ends, it accepts no more calls and waits for the open ones.
type Runner struct {
	limits  Limits
	writer  Writer
	table   table.Client
	objects object.Client
	scope   tally.Scope
	starts  chan *flight

	mu      sync.Mutex
	flights map[string]*flight
}

// flight is an open call on this node, shared by all requests with its key.
type flight struct {
	call  Call
	state ledger.State
	// done is closed when reply or refuse is set.
	done chan struct{}
	// removed is closed when the last write is over and the flight is removed.
	removed chan struct{}
	reply   ledger.Reply
	refuse  *ledger.Refuse
}

// New returns a runner. It accepts calls while Serve runs.
//
//	runner := once.New(writer, tableClient, objectClient, once.DefaultLimits, scope)
//	supervisor.Add(runner)
//	reply, err := runner.Run(ctx, call)
func New(writer Writer, tables table.Client, objects object.Client, limits Limits, scope tally.Scope) *Runner {
	if limits.Now == nil {
		limits.Now = time.Now
	}
	return &Runner{
		limits: limits, writer: writer, table: tables, objects: objects, scope: scope,
		starts: make(chan *flight), flights: map[string]*flight{},
	}
}

// Run runs a call, or joins the open call with the same key. The call continues
// when ctx ends, so that a repeat can get its answer. An error is a
// [*fault.Error].
func (r *Runner) Run(ctx context.Context, call Call) (ledger.Reply, error) {
	f, joined, err := r.joinOrStart(ctx, call)
	if joined && f.awaitRemovalIfNotRun(ctx) {
		f, joined, err = r.joinOrStart(ctx, call)
	}
	if err != nil {
		return ledger.Reply{}, err
	}
	wasDone := joined && f.isDone()
	select {
	case <-f.done:
	case <-ctx.Done():
		return ledger.Reply{}, newError("callerGone", http.StatusServiceUnavailable, effect.Unknown{}, 0, "the wait for the answer ended")
	}
	if f.refuse != nil {
		return ledger.Reply{}, refusal(f.refusalFor(wasDone))
	}
	reply := f.reply
	reply.Repeated = reply.Repeated || joined
	return reply, nil
}

// isDone reports whether the reply or refusal of the call is known. Its last
// write may still be under way.
func (f *flight) isDone() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// refusalFor returns the refusal for one request. A repeat that arrives after a
// call ended with an unknown outcome gets the same code here as from the stored
// record.
func (f *flight) refusalFor(wasDone bool) ledger.Refuse {
	if _, unknown := f.refuse.Outcome.(effect.Unknown); wasDone && unknown && f.refuse.RetryAfter == 0 {
		return ledger.RefuseUnknown()
	}
	return *f.refuse
}

// awaitRemovalIfNotRun waits for the removal of a call that has ended without
// running, so that a repeat can start a new one. It reports whether the call was
// removed in time.
func (f *flight) awaitRemovalIfNotRun(ctx context.Context) bool {
	if !f.isDone() || f.refuse == nil {
		return false
	}
	if _, notRun := f.refuse.Outcome.(effect.NotRun); !notRun {
		return false
	}
	timer := time.NewTimer(removalTimeout)
	defer timer.Stop()
	select {
	case <-f.removed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// joinOrStart returns the open call with the same key, or starts a new one.
func (r *Runner) joinOrStart(ctx context.Context, call Call) (f *flight, joined bool, err error) {
	rowKey := ledger.RowKey(call.Workspace, call.Key)
	r.mu.Lock()
	if open, ok := r.flights[rowKey]; ok {
		r.mu.Unlock()
		if open.call.Digest != call.Digest {
			r.scope.Counter("effects_key_reused").Inc(1)
			return nil, false, refusal(ledger.Refuse{Code: "keyReused", Outcome: effect.NotRun{}, Message: "this idempotency key was used for another request"})
		}
		r.scope.Counter("effects_joined").Inc(1)
		return open, true, nil
	}
	if len(r.flights) >= r.limits.MaxOpen {
		r.mu.Unlock()
		r.scope.Counter("effects_full").Inc(1)
		return nil, false, busy()
	}
	f = &flight{call: call, done: make(chan struct{}), removed: make(chan struct{})}
	f.state = ledger.New(ledger.Call{
		Row: rowKey, Digest: call.Digest, Nonce: rand.Text(), Expires: time.Now().Add(r.limits.Retention).Unix(),
	}, r.limits.Limits)
	r.flights[rowKey] = f
	r.mu.Unlock()
	select {
	case r.starts <- f:
		return f, false, nil
	case <-ctx.Done():
	case <-time.After(r.limits.Limits.Hold):
	}
	r.abandon(f)
	return nil, false, busy()
}

// abandon refuses a flight that Serve did not accept.
func (r *Runner) abandon(f *flight) {
	f.refuse = &ledger.Refuse{Code: "effectsBusy", Outcome: effect.NotRun{Reason: "not started"}, RetryAfter: time.Second, Message: "this node takes no such calls now"}
	close(f.done)
	r.remove(f)
}

func (r *Runner) remove(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f.state.Call().Row)
	close(f.removed)
}

// Serve runs calls until ctx ends, and returns when the open calls have ended.
func (r *Runner) Serve(ctx context.Context) error {
	ended := make(chan *flight)
	open := 0
	for {
		select {
		case <-ctx.Done():
			for ; open > 0; open-- {
				r.remove(<-ended)
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
			r.remove(f)
		}
		r.scope.Gauge("effects_open").Update(float64(open))
	}
}

func busy() error {
	return newError("effectsBusy", http.StatusServiceUnavailable, effect.NotRun{Reason: "busy"}, time.Second, "this node has too many such calls open")
}

func refusal(c ledger.Refuse) error {
	return newError(c.Code, status(c), c.Outcome, c.RetryAfter, c.Message)
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

func newError(code string, status int, outcome effect.Outcome, after time.Duration, message string) error {
	return &fault.Error{Code: code, Status: status, Outcome: outcome, RetryAfter: after, Message: message}
}
