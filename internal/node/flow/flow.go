// Package flow runs a request from arrival to answer: it asks the cell for an
// engine, runs the attempts, streams the answer to the caller and reports the
// result of each attempt to the cell.
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
	defaultAcceptTimeout     = 10 * time.Second
	defaultFirstTokenTimeout = time.Minute
	defaultStallTimeout      = 10 * time.Second
	cancelTimeout            = 2 * time.Second
	probeTimeout             = 500 * time.Millisecond
	importTimeout            = 2 * time.Second

	statusClientClosedRequest = 499
)

// Runner runs requests against the engines of one cell.
type Runner struct {
	loop              *loop.Loop
	dial              func(target string) (engine.Client, bool)
	guard             *guard.Guard
	scope             tally.Scope
	acceptTimeout     time.Duration
	firstTokenTimeout time.Duration
	stallTimeout      time.Duration
	isLeaving         func(target, incarnation string) bool
}

// Option changes a [Runner].
type Option func(*Runner)

// WithGuard sets the guard against requests that crash engines. All runners of
// a node should share one; the default is a guard of the runner's own.
func WithGuard(g *guard.Guard) Option { return func(r *Runner) { r.guard = g } }

// WithScope sets the metrics scope. The default discards metrics.
func WithScope(scope tally.Scope) Option { return func(r *Runner) { r.scope = scope } }

// WithAcceptTimeout sets the timeout for an engine to accept an attempt.
func WithAcceptTimeout(d time.Duration) Option { return func(r *Runner) { r.acceptTimeout = d } }

// WithLeavingCheck sets a check that runs right before each call is sent. If it
// reports that the target is leaving, the call is not sent.
func WithLeavingCheck(isLeaving func(target, incarnation string) bool) Option {
	return func(r *Runner) { r.isLeaving = isLeaving }
}

// WithFirstTokenTimeout sets the timeout for the first token of an attempt.
func WithFirstTokenTimeout(d time.Duration) Option {
	return func(r *Runner) { r.firstTokenTimeout = d }
}

// WithStallTimeout sets the timeout between two events of an attempt, from the first
// token on.
func WithStallTimeout(d time.Duration) Option { return func(r *Runner) { r.stallTimeout = d } }

// New returns a runner. The function dial returns the client of an engine.
//
//	runner := flow.New(cellLoop, clients.Find, flow.WithStallTimeout(5*time.Second))
//	err := runner.Run(ctx, request, sink)
func New(l *loop.Loop, dial func(target string) (engine.Client, bool), options ...Option) *Runner {
	r := &Runner{loop: l, dial: dial, scope: tally.NoopScope, acceptTimeout: defaultAcceptTimeout, firstTokenTimeout: defaultFirstTokenTimeout, stallTimeout: defaultStallTimeout}
	for _, option := range options {
		option(r)
	}
	if r.guard == nil {
		r.guard = guard.New(r.scope)
	}
	return r
}

// checkInterval is the time between two checks for stalled attempts.
func (r *Runner) checkInterval() time.Duration {
	return min(r.acceptTimeout, r.firstTokenTimeout, r.stallTimeout) / checksPerTimeout
}

// Run answers a request. It passes events to sink in order, each once, from one
// goroutine at a time; [engine.Accepted] comes right before the first chunk. It
// returns a [*fault.Error], or the error of sink, which ends the request. When
// Run returns, this node runs no attempt of the request any more.
func (r *Runner) Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error {
	if r.guard.MustRefuse(j.Fingerprint) {
		return r.countEnd(crashRequest(effect.NotRun{Reason: "the request crashes engines"}))
	}
	mailbox, closeMailbox := r.loop.OpenMailbox(j.ID)
	defer closeMailbox()
	s := newRequestState(r, j, sink)
	defer s.close()
	if err := s.sendArrival(ctx); err != nil {
		return r.countEnd(err)
	}
	return r.countEnd(s.run(ctx, mailbox))
}

// countEnd counts a finished request by its code and returns err.
func (r *Runner) countEnd(err error) error {
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
	return &fault.Error{Code: "callerGone", Status: statusClientClosedRequest, Outcome: outcome, Message: "the caller closed the connection"}
}
