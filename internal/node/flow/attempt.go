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

// attempt is one call to one engine, in its own goroutine. Its id is built from
// a number that the request counts, because a restarted cell numbers its
// attempts from one again.
type attempt struct {
	request  *requestState
	serial   int
	id       string
	start    cell.Start
	ctx      context.Context
	stop     context.CancelCauseFunc
	accepted engine.Accepted

	// events counts the events received.
	events atomic.Int64
	// writing is set while the sink handles an event.
	writing atomic.Bool
	// answering is set once the attempt's first chunk is passed to the caller.
	answering atomic.Bool
	// sent is set right before the call is sent.
	sent atomic.Bool

	// The fields below are used only by the goroutine of Run.
	checkedEvents int64
	idle          time.Duration
	reported      bool
}

// attemptReport is what an attempt sends to the goroutine of Run. Each attempt
// sends two: its outcome, and one with cleanedUp set once it has also cancelled
// the call at the engine, if needed.
type attemptReport struct {
	attempt   *attempt
	failure   *engine.Error
	refused   bool
	cleanedUp bool
}

func newAttempt(ctx context.Context, s *requestState, serial int, start cell.Start) *attempt {
	a := &attempt{request: s, serial: serial, id: fmt.Sprintf("%s.%d", s.job.ID, serial), start: start}
	a.ctx, a.stop = context.WithCancelCause(ctx)
	return a
}

func (a *attempt) run() {
	defer a.stop(nil)
	failure, refused := a.runGuarded()
	cancelled := a.ctx.Err() != nil
	a.request.reports <- attemptReport{attempt: a, failure: failure, refused: refused}
	if cancelled {
		a.cancel()
	}
	a.request.reports <- attemptReport{attempt: a, cleanedUp: true}
}

// runGuarded runs the attempt if the crash guard admits it. The second result
// reports whether the guard refused the request.
func (a *attempt) runGuarded() (*engine.Error, bool) {
	place := a.request.place(a)
	g := a.request.runner.guard
	switch g.Admit(a.ctx, place).(type) {
	case crash.Start:
	case crash.Refuse:
		return nil, true
	default:
		return a.notRun(engine.Busy, "the engine is kept free for a suspect request"), false
	}
	failure := a.complete()
	if failure != nil && failure.Code == engine.Broken && a.ctx.Err() == nil {
		a.probe()
	}
	g.Send(crash.Ended{Job: place.Job, Fingerprint: place.Fingerprint, Target: place.Target, Finished: failure == nil})
	return failure, false
}

// complete makes the call. A panic fails only this attempt.
func (a *attempt) complete() (failure *engine.Error) {
	defer func() {
		if p := recover(); p != nil {
			a.request.runner.scope.Counter("attempt_panics").Inc(1)
			failure = &engine.Error{Code: engine.Broken, Outcome: effect.Unknown{Reason: "internal"}, Target: a.start.Target, Message: fmt.Sprint(p)}
		}
	}()
	client, ok := a.request.runner.dial(a.start.Target)
	if !ok {
		return a.notRun(engine.Unreachable, "no such engine")
	}
	a.importBlocks(client)
	if isLeaving := a.request.runner.isLeaving; isLeaving != nil && isLeaving(a.start.Target, a.start.Incarnation) {
		a.request.runner.scope.Counter("leaving_refused").Inc(1)
		return a.notRun(engine.Leaving, "the engine is leaving")
	}
	a.sent.Store(true)
	return a.classify(client.Complete(a.ctx, a.call(), a.handleEvent))
}

func (a *attempt) call() engine.Call {
	s := a.request
	s.mu.Lock()
	defer s.mu.Unlock()
	call := engine.Call{
		Attempt: a.id, Workspace: s.job.Workspace, Adapter: s.job.Adapter, Body: s.job.Body,
		Priority: a.start.Priority, Offset: s.stream.Next(),
		Incarnation: a.start.Incarnation, WeightVersion: a.start.WeightVersion,
	}
	if call.Offset > 0 {
		call.WeightVersion = s.stream.WeightVersion()
		s.runner.scope.Counter("resumes").Inc(1)
	}
	return call
}

// importBlocks imports cached blocks before the call, if the cell asked for it.
// The call names the incarnation and the weight version, so an engine that
// changed in the meantime refuses it. If the import fails, the engine computes
// the blocks itself.
func (a *attempt) importBlocks(client engine.Client) {
	if a.start.Import == nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, importTimeout)
	defer cancel()
	if err := client.Import(ctx, *a.start.Import); err != nil {
		a.request.runner.scope.Counter("import_failures").Inc(1)
	}
}

// classify converts the error of a call to an [engine.Error]. An error of
// another type leaves it unknown whether the call ran.
func (a *attempt) classify(err error) *engine.Error {
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

// probe checks whether an engine that broke off the call has crashed, and
// reports it to the guard. It must finish before the request is retried;
// otherwise a request that crashes engines could crash the next one before the
// guard suspects it.
func (a *attempt) probe() {
	client, ok := a.request.runner.dial(a.start.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	load, err := client.Load(ctx)
	g := a.request.runner.guard
	if err == nil {
		g.Send(crash.Reported{Target: a.start.Target, Incarnation: load.Incarnation})
		return
	}
	g.Send(crash.Crashed{Job: a.id, Target: a.start.Target, Silent: ctx.Err() != nil})
}

// cancel cancels the call at the engine explicitly, because the engine may
// notice the closed connection late.
func (a *attempt) cancel() {
	client, ok := a.request.runner.dial(a.start.Target)
	if !ok {
		return
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(a.ctx), cancelTimeout)
	defer done()
	a.request.runner.scope.Counter("cancels").Inc(1)
	if err := client.Cancel(ctx, a.id); err != nil {
		a.request.runner.scope.Counter("cancel_failures").Inc(1)
	}
}

// isStalled reports whether the attempt has had no event for longer than its
// limit. It is called once every interval; a blocked sink doesn't count.
func (a *attempt) isStalled(interval time.Duration) bool {
	events := a.events.Load()
	if events != a.checkedEvents || a.writing.Load() {
		a.checkedEvents, a.idle = events, 0
		return false
	}
	a.idle += interval
	return a.idle > a.idleLimit()
}

// idleLimit returns the timeout for the next event. The accept timeout applies
// only once the call is sent; before that a suspect request may still wait for
// the guard to free an engine.
func (a *attempt) idleLimit() time.Duration {
	r := a.request.runner
	switch {
	case a.answering.Load():
		return r.stallTimeout
	case a.events.Load() > 0 || !a.sent.Load():
		return r.firstTokenTimeout
	default:
		return r.acceptTimeout
	}
}
