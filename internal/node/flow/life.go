package flow

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/crash"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/stream"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	maxArrivals = 3
	maxParallel = 2
	// stallChecks is the number of looks at an attempt within its time limit.
	stallChecks = 4
)

// life is the state of one request while it runs. The goroutine of Run owns
// everything but what mu guards.
type life struct {
	runner   *Runner
	job      job.Job
	ticker   *time.Ticker
	ends     chan end
	open     int
	serial   int
	arrivals int
	ran      bool
	orphan   *cell.Refuse
	over     bool
	result   error

	mu     sync.Mutex
	sink   func(engine.Event) error
	stream stream.State
	// running is written by the owner alone, which reads it without mu.
	running map[int]*attempt
	winner  *attempt
	failed  error
}

func newLife(r *Runner, j job.Job, sink func(engine.Event) error) *life {
	return &life{
		runner: r, job: j, sink: sink, stream: stream.From(j.WeightVersion, j.Offset),
		ticker: time.NewTicker(r.period()),
		ends:   make(chan end), running: map[int]*attempt{},
	}
}

// arrive asks the cell for an engine, again after the cell forgot.
func (l *life) arrive(ctx context.Context) error {
	l.arrivals++
	err := l.runner.loop.Send(ctx, cell.Arrived{Job: l.job})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, loop.ErrStopped):
		return l.refusal(cell.Refuse{Code: loop.Stopped, Outcome: effect.NotRun{Reason: "the node is stopping"}, RetryAfter: time.Second, Message: "the node is stopping"})
	default:
		return callerGone(l.outcome(effect.NotRun{Reason: "the caller left"}))
	}
}

func (l *life) run(ctx context.Context, mailbox <-chan cell.Command) error {
	for !l.over {
		select {
		case <-ctx.Done():
			l.giveUp(callerGone(effect.Unknown{Reason: "the caller left"}))
		case command, ok := <-mailbox:
			l.command(ctx, command, ok)
		case e := <-l.ends:
			l.ended(ctx, e)
		case <-l.ticker.C:
			l.watch(ctx)
		}
	}
	return l.result
}

// close ends every attempt and waits until none is left.
func (l *life) close() {
	l.ticker.Stop()
	for _, a := range l.running {
		a.stop(errSuperseded)
	}
	for l.open > 0 {
		if e := <-l.ends; e.last {
			l.open--
		}
	}
}

func (l *life) finish(err error) {
	l.over = true
	l.result = err
}

func (l *life) command(ctx context.Context, command cell.Command, ok bool) {
	if !ok {
		l.giveUp(&fault.Error{Code: "internal", Status: http.StatusInternalServerError, Outcome: l.outcome(effect.NotRun{}), Message: "the request lost touch with its cell"})
		return
	}
	switch c := command.(type) {
	case cell.Start:
		l.start(ctx, c)
	case cell.Stop:
		l.stop(c)
	case cell.Refuse:
		l.refuse(ctx, c)
	}
}

func (l *life) start(ctx context.Context, c cell.Start) {
	if len(l.running) >= maxParallel {
		l.tell(cell.Ended{Job: l.job.ID, Attempt: c.Attempt, Outcome: effect.NotRun{Reason: "enough attempts run"}, Code: engine.Busy})
		return
	}
	if len(l.running) > 0 {
		l.runner.scope.Counter("hedges").Inc(1)
	}
	l.serial++
	a := newAttempt(ctx, l, l.serial, c)
	l.mu.Lock()
	l.running[a.serial] = a
	l.mu.Unlock()
	l.open++
	go a.run()
}

func (l *life) stop(c cell.Stop) {
	for _, a := range l.running {
		if a.start.Attempt == c.Attempt {
			a.stop(errSuperseded)
		}
	}
}

// refuse ends the request, but never while an attempt may still answer it.
func (l *life) refuse(ctx context.Context, c cell.Refuse) {
	if len(l.running) > 0 {
		l.orphan = &c
		return
	}
	if c.Code != loop.Restarted || l.arrivals >= maxArrivals {
		l.finish(l.refusal(c))
		return
	}
	l.orphan = nil
	l.runner.scope.Counter("rearrivals").Inc(1)
	if err := l.arrive(ctx); err != nil {
		l.finish(err)
	}
}

// ended takes the two words of an attempt: its outcome, and later that nothing
// of it is left on this node.
func (l *life) ended(ctx context.Context, e end) {
	if e.last {
		l.open--
		return
	}
	if e.attempt.reported {
		return
	}
	e.attempt.reported = true
	l.remove(e.attempt)
	err := l.sinkError()
	switch {
	case err != nil:
		l.giveUp(err)
	case l.isAnswered():
		l.finish(nil)
	case ctx.Err() != nil:
		l.giveUp(callerGone(effect.Unknown{Reason: "the caller left"}))
	case e.refused:
		l.giveUp(crashRequest(l.outcome(effect.NotRun{Reason: "the request crashes engines"})))
	default:
		l.report(e)
		if l.orphan != nil {
			l.refuse(ctx, *l.orphan)
		}
	}
}

// giveUp ends the request and frees what the cell counts for it.
func (l *life) giveUp(err error) {
	l.tell(cell.Cancelled{Job: l.job.ID})
	l.finish(err)
}

func (l *life) remove(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, a.serial)
	if l.winner == a {
		l.winner = nil
	}
}

// report tells the cell of an attempt that gave no whole answer.
func (l *life) report(e end) {
	ended := cell.Ended{
		Job: l.job.ID, Attempt: e.attempt.start.Attempt, Sent: l.sent(),
		Outcome: e.failure.Outcome, Code: e.failure.Code, RetryAfter: e.failure.RetryAfter,
	}
	if _, ok := ended.Outcome.(effect.NotRun); !ok {
		l.ran = true
	}
	l.runner.scope.Tagged(map[string]string{"code": string(ended.Code)}).Counter("attempt_failures").Inc(1)
	l.tell(ended)
}

// watch ends attempts that make no progress, without waiting for their
// goroutines. A caller that reads slowly is not the engine's fault.
func (l *life) watch(ctx context.Context) {
	for _, a := range l.running {
		if a.isStalled(l.runner.period()) {
			l.runner.scope.Counter("stalls").Inc(1)
			a.stop(errStalled)
			l.ended(ctx, end{attempt: a, failure: a.explain(errStalled)})
		}
	}
}

// tell never waits for the caller's context: the cell must learn of every end.
func (l *life) tell(message cell.Message) {
	_ = l.runner.loop.Send(context.Background(), message)
}

func (l *life) refusal(c cell.Refuse) error {
	return &fault.Error{
		Code: c.Code, Status: status(c.Code), Outcome: l.outcome(c.Outcome),
		RetryAfter: c.RetryAfter, Message: c.Message,
	}
}

// outcome says "not run" only when no attempt may have run.
func (l *life) outcome(proposed effect.Outcome) effect.Outcome {
	if l.ran || len(l.running) > 0 || l.sent() > l.job.Offset {
		return effect.Unknown{Reason: "an engine may have run a part of the request"}
	}
	if proposed == nil {
		return effect.Unknown{Reason: "nothing is known"}
	}
	return proposed
}

func status(code string) int {
	switch code {
	case string(engine.Stale):
		return http.StatusConflict
	case string(engine.Invalid):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func (l *life) isAnswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream.Ended() && l.failed == nil
}

func (l *life) sinkError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

func (l *life) sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream.Next()
}

func (l *life) place(a *attempt) crash.Place {
	return crash.Place{Job: a.id, Fingerprint: l.job.Fingerprint, Target: a.start.Target}
}
