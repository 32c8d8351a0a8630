package flow

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/crash"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

var (
	errSuperseded = errors.New("another attempt answers")
	errStalled    = errors.New("the engine sent nothing for too long")
)

// attempt is one call to one engine. It has its own goroutine, and an identity
// that no other attempt shares, also when the cell counts from one again.
type attempt struct {
	life     *life
	serial   int
	id       string
	start    cell.Start
	ctx      context.Context
	stop     context.CancelCauseFunc
	accepted engine.Accepted

	events  atomic.Int64
	writing atomic.Bool
	first   atomic.Bool
	sent    atomic.Bool

	// What follows belongs to the goroutine of Run.
	seen     int64
	idle     time.Duration
	reported bool
}

// end is an attempt's word to the goroutine that owns the request: first the
// outcome, then that nothing of it is left.
type end struct {
	attempt *attempt
	failure *engine.Error
	refused bool
	last    bool
}

func newAttempt(ctx context.Context, l *life, serial int, start cell.Start) *attempt {
	a := &attempt{life: l, serial: serial, id: fmt.Sprintf("%s.%d", l.job.ID, serial), start: start}
	a.ctx, a.stop = context.WithCancelCause(ctx)
	return a
}

func (a *attempt) run() {
	defer a.stop(nil)
	failure, refused := a.guarded()
	cancelled := a.ctx.Err() != nil
	a.life.ends <- end{attempt: a, failure: failure, refused: refused}
	if cancelled {
		a.cancel()
	}
	a.life.ends <- end{attempt: a, last: true}
}

// guarded runs the attempt when the guard lets it.
func (a *attempt) guarded() (*engine.Error, bool) {
	place := a.life.place(a)
	g := a.life.runner.guard
	switch g.Enter(a.ctx, place).(type) {
	case crash.Go:
	case crash.Refuse:
		return nil, true
	default:
		return a.notRun(engine.Busy, "the engine is kept free for a suspect request"), false
	}
	failure := a.complete()
	if failure != nil && failure.Code == engine.Broken && a.ctx.Err() == nil {
		a.probe()
	}
	g.Tell(crash.Left{Job: place.Job, Fingerprint: place.Fingerprint, Target: place.Target, Finished: failure == nil})
	return failure, false
}

// complete makes the call. A panic on the way ends only this attempt.
func (a *attempt) complete() (failure *engine.Error) {
	defer func() {
		if p := recover(); p != nil {
			a.life.runner.scope.Counter("attempt_panics").Inc(1)
			failure = &engine.Error{Code: engine.Broken, Outcome: effect.Unknown{Reason: "internal"}, Target: a.start.Target, Message: fmt.Sprint(p)}
		}
	}()
	client, ok := a.life.runner.dial(a.start.Target)
	if !ok {
		return a.notRun(engine.Unreachable, "no such engine")
	}
	a.bringIn(client)
	if gate := a.life.runner.gate; gate != nil && gate(a.start.Target, a.start.Incarnation) {
		a.life.runner.scope.Counter("leaving_refused").Inc(1)
		return a.notRun(engine.Leaving, "the engine is leaving")
	}
	a.sent.Store(true)
	return a.explain(client.Complete(a.ctx, a.call(), a.event))
}

func (a *attempt) call() engine.Call {
	l := a.life
	l.mu.Lock()
	defer l.mu.Unlock()
	call := engine.Call{
		Attempt: a.id, Workspace: l.job.Workspace, Adapter: l.job.Adapter, Body: l.job.Body,
		Priority: a.start.Priority, Offset: l.stream.Next(),
		Incarnation: a.start.Incarnation, WeightVersion: a.start.WeightVersion,
	}
	if call.Offset > 0 {
		call.WeightVersion = l.stream.WeightVersion()
		l.runner.scope.Counter("resumes").Inc(1)
	}
	return call
}

// bringIn imports cached blocks first. The call that follows names the
// incarnation and the weights, so that an engine which changed meanwhile
// refuses it; a failed import only costs the recomputation.
func (a *attempt) bringIn(client engine.Client) {
	if a.start.Import == nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, importTimeout)
	defer cancel()
	if err := client.Import(ctx, *a.start.Import); err != nil {
		a.life.runner.scope.Counter("import_failures").Inc(1)
	}
}

// explain turns what ended a call into what is known of it.
func (a *attempt) explain(err error) *engine.Error {
	if err == nil {
		return nil
	}
	failure := &engine.Error{Code: engine.Broken, Outcome: effect.Unknown{Reason: err.Error()}, Target: a.start.Target, Message: err.Error()}
	var known *engine.Error
	if errors.As(err, &known) {
		*failure = *known
	}
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errStalled):
		failure.Code, failure.Message = engine.Stalled, cause.Error()
	case errors.Is(cause, errSuperseded):
		failure.Code, failure.Message = engine.Superseded, cause.Error()
	}
	return failure
}

func (a *attempt) notRun(code engine.Code, reason string) *engine.Error {
	return &engine.Error{Code: code, Outcome: effect.NotRun{Reason: reason}, Target: a.start.Target, Message: reason}
}

// probe asks whether an engine that broke off is dead. It must be answered
// before the request is tried elsewhere, else a request that crashes engines
// would take the next one before it is a suspect.
func (a *attempt) probe() {
	client, ok := a.life.runner.dial(a.start.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	load, err := client.Load(ctx)
	g := a.life.runner.guard
	if err == nil {
		g.Tell(crash.Seen{Target: a.start.Target, Incarnation: load.Incarnation})
		return
	}
	g.Tell(crash.Died{Job: a.id, Target: a.start.Target, Silent: ctx.Err() != nil})
}

// cancel frees the engine at once; closing the connection may be noticed late.
func (a *attempt) cancel() {
	client, ok := a.life.runner.dial(a.start.Target)
	if !ok {
		return
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer done()
	a.life.runner.scope.Counter("cancels").Inc(1)
	if err := client.Cancel(ctx, a.id); err != nil {
		a.life.runner.scope.Counter("cancel_failures").Inc(1)
	}
}

// isStalled counts the time without an event, in steps of the watch's period.
func (a *attempt) isStalled(period time.Duration) bool {
	events := a.events.Load()
	if events != a.seen || a.writing.Load() {
		a.seen, a.idle = events, 0
		return false
	}
	a.idle += period
	return a.idle > a.limit()
}

// limit is how long the engine may say nothing now. A suspect that waits for
// an engine of its own is not counted as waiting for the engine's word.
func (a *attempt) limit() time.Duration {
	r := a.life.runner
	switch {
	case a.first.Load():
		return r.stall
	case a.events.Load() > 0 || !a.sent.Load():
		return r.first
	default:
		return r.head
	}
}
