// Package flow carries one request through its life: it asks the cell for an
// engine, runs the attempts, relays the answer and tells the cell what
// happened.
package flow

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/guard"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	defaultHead   = 10 * time.Second
	defaultFirst  = time.Minute
	defaultStall  = 10 * time.Second
	cancelTimeout = 2 * time.Second
	probeTimeout  = 500 * time.Millisecond
	importTimeout = 2 * time.Second

	statusCallerGone = 499
)

// Runner runs requests against the engines of one cell.
type Runner struct {
	loop  *loop.Loop
	dial  func(target string) (engine.Client, bool)
	guard *guard.Guard
	scope tally.Scope
	head  time.Duration
	first time.Duration
	stall time.Duration
	gate  func(target, incarnation string) bool
}

// Option changes a [Runner].
type Option func(*Runner)

// WithGuard shares the node's guard against requests that crash engines. All
// runners of a node should share one.
func WithGuard(g *guard.Guard) Option { return func(r *Runner) { r.guard = g } }

// WithScope sets where counters go.
func WithScope(scope tally.Scope) Option { return func(r *Runner) { r.scope = scope } }

// WithHead bounds the time until an engine says that it took an attempt.
func WithHead(d time.Duration) Option { return func(r *Runner) { r.head = d } }

// WithGate sets what is asked right before a call leaves: whether the target may
// get no new work.
func WithGate(isLeaving func(target, incarnation string) bool) Option {
	return func(r *Runner) { r.gate = isLeaving }
}

// WithFirst bounds the time to the first token of an attempt.
func WithFirst(d time.Duration) Option { return func(r *Runner) { r.first = d } }

// WithStall bounds the time between two events of an attempt.
func WithStall(d time.Duration) Option { return func(r *Runner) { r.stall = d } }

// New returns a runner. The function dial finds the client of an engine.
//
//	runner := flow.New(cellLoop, clients.Find, flow.WithStall(5*time.Second))
//	err := runner.Run(ctx, request, sink)
func New(l *loop.Loop, dial func(target string) (engine.Client, bool), options ...Option) *Runner {
	r := &Runner{loop: l, dial: dial, scope: tally.NoopScope, head: defaultHead, first: defaultFirst, stall: defaultStall}
	for _, option := range options {
		option(r)
	}
	if r.guard == nil {
		r.guard = guard.New(r.scope)
	}
	return r
}

// period is the time between two looks at the attempts of a request.
func (r *Runner) period() time.Duration { return min(r.head, r.first, r.stall) / stallChecks }

// Run answers a request. Events reach sink in order, each once, from one
// goroutine at a time; [engine.Accepted] comes right before the first chunk. A
// failure is a [*fault.Error], or the error of sink, which ends the request.
// When Run returns, no attempt of the request runs any more on this node.
func (r *Runner) Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error {
	if r.guard.Convicted(j.Fingerprint) {
		return r.count(crashRequest(effect.NotRun{Reason: "the request crashes engines"}))
	}
	mailbox, closeMailbox := r.loop.Open(j.ID)
	defer closeMailbox()
	l := newLife(r, j, sink)
	defer l.close()
	if err := l.arrive(ctx); err != nil {
		return r.count(err)
	}
	return r.count(l.run(ctx, mailbox))
}

// count counts the ends of requests by code.
func (r *Runner) count(err error) error {
	code := "answered"
	if err != nil {
		code = fault.From(err).Code
	}
	r.scope.Tagged(map[string]string{"code": code}).Counter("request_ends").Inc(1)
	return err
}

func crashRequest(outcome effect.Outcome) *fault.Error {
	return &fault.Error{
		Code: "crashRequest", Status: http.StatusUnprocessableEntity, Outcome: outcome,
		Message: "engines that ran this request crashed; it is refused for some minutes",
	}
}

func callerGone(outcome effect.Outcome) *fault.Error {
	return &fault.Error{Code: "callerGone", Status: statusCallerGone, Outcome: outcome, Message: "the caller closed the connection"}
}
