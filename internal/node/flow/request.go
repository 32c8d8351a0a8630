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
	// checksPerTimeout is the number of stall checks within the shortest timeout.
	checksPerTimeout = 4
)

// requestState is the state of one running request. Except for the fields
// guarded by mu, only the goroutine of Run uses it.
type requestState struct {
	runner         *Runner
	job            job.Job
	ticker         *time.Ticker
	reports        chan attemptReport
	openAttempts   int
	serial         int
	arrivals       int
	mayHaveRun     bool
	pendingRefusal *cell.Refuse
	finished       bool
	result         error

	mu     sync.Mutex
	sink   func(engine.Event) error
	stream stream.State
	// running is written only by the goroutine of Run, which reads it without mu.
	running map[int]*attempt
	winner  *attempt
	sinkErr error
}

func newRequestState(r *Runner, j job.Job, sink func(engine.Event) error) *requestState {
	return &requestState{
		runner: r, job: j, sink: sink, stream: stream.Resume(j.WeightVersion, j.Offset),
		ticker:  time.NewTicker(r.checkInterval()),
		reports: make(chan attemptReport), running: map[int]*attempt{},
	}
}

// sendArrival asks the cell for an engine. It is repeated when the cell has lost
// its state.
func (s *requestState) sendArrival(ctx context.Context) error {
	s.arrivals++
	err := s.runner.loop.Send(ctx, cell.Arrived{Job: s.job})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, loop.ErrStopped):
		return s.refusal(cell.Refuse{Code: loop.Stopped, Outcome: effect.NotRun{Reason: "the node is stopping"}, RetryAfter: time.Second, Message: "the node is stopping"})
	default:
		return callerGone(s.outcome(effect.NotRun{Reason: "the caller left"}))
	}
}

func (s *requestState) run(ctx context.Context, mailbox <-chan cell.Command) error {
	for !s.finished {
		select {
		case <-ctx.Done():
			s.abort(callerGone(effect.Unknown{Reason: "the caller left"}))
		case command, ok := <-mailbox:
			s.handleCommand(ctx, command, ok)
		case e := <-s.reports:
			s.handleReport(ctx, e)
		case <-s.ticker.C:
			s.stopStalled(ctx)
		}
	}
	return s.result
}

// close stops all attempts and waits until they have cleaned up.
func (s *requestState) close() {
	s.ticker.Stop()
	for _, a := range s.running {
		a.stop(errSuperseded)
	}
	for s.openAttempts > 0 {
		if e := <-s.reports; e.cleanedUp {
			s.openAttempts--
		}
	}
}

func (s *requestState) finish(err error) {
	s.finished = true
	s.result = err
}

func (s *requestState) handleCommand(ctx context.Context, command cell.Command, ok bool) {
	if !ok {
		s.abort(&fault.Error{Code: "internal", Status: http.StatusInternalServerError, Outcome: s.outcome(effect.NotRun{}), Message: "the request lost touch with its cell"})
		return
	}
	switch c := command.(type) {
	case cell.Start:
		s.start(ctx, c)
	case cell.Cancel:
		s.stop(c)
	case cell.Refuse:
		s.refuse(ctx, c)
	}
}

func (s *requestState) start(ctx context.Context, c cell.Start) {
	if len(s.running) >= maxParallel {
		s.sendToCell(cell.Ended{Job: s.job.ID, Attempt: c.Attempt, Outcome: effect.NotRun{Reason: "enough attempts run"}, Code: engine.Busy})
		return
	}
	if len(s.running) > 0 {
		s.runner.scope.Counter("hedges").Inc(1)
	}
	s.serial++
	a := newAttempt(ctx, s, s.serial, c)
	s.mu.Lock()
	s.running[a.serial] = a
	s.mu.Unlock()
	s.openAttempts++
	go a.run()
}

func (s *requestState) stop(c cell.Cancel) {
	for _, a := range s.running {
		if a.start.Attempt == c.Attempt {
			a.stop(errSuperseded)
		}
	}
}

// refuse ends the request, or asks again if the cell was restarted. While an
// attempt is running, the refusal is kept until the attempt fails.
func (s *requestState) refuse(ctx context.Context, c cell.Refuse) {
	if len(s.running) > 0 {
		s.pendingRefusal = &c
		return
	}
	if c.Code != loop.Restarted || s.arrivals >= maxArrivals {
		s.finish(s.refusal(c))
		return
	}
	s.pendingRefusal = nil
	s.runner.scope.Counter("rearrivals").Inc(1)
	if err := s.sendArrival(ctx); err != nil {
		s.finish(err)
	}
}

// handleReport processes the two reports of an attempt: its outcome, and later
// that it has cleaned up.
func (s *requestState) handleReport(ctx context.Context, e attemptReport) {
	if e.cleanedUp {
		s.openAttempts--
		return
	}
	if e.attempt.reported {
		return
	}
	e.attempt.reported = true
	s.remove(e.attempt)
	err := s.sinkError()
	switch {
	case err != nil:
		s.abort(err)
	case s.isAnswered():
		s.finish(nil)
	case ctx.Err() != nil:
		s.abort(callerGone(effect.Unknown{Reason: "the caller left"}))
	case e.refused:
		s.abort(crashRequest(s.outcome(effect.NotRun{Reason: "the request crashes engines"})))
	default:
		s.reportFailure(e)
		if s.pendingRefusal != nil {
			s.refuse(ctx, *s.pendingRefusal)
		}
	}
}

// abort ends the request with an error and makes the cell release its capacity.
func (s *requestState) abort(err error) {
	s.sendToCell(cell.Cancelled{Job: s.job.ID})
	s.finish(err)
}

func (s *requestState) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, a.serial)
	if s.winner == a {
		s.winner = nil
	}
}

// reportFailure reports an attempt without a complete answer to the cell.
func (s *requestState) reportFailure(e attemptReport) {
	ended := cell.Ended{
		Job: s.job.ID, Attempt: e.attempt.start.Attempt, Sent: s.sent(),
		Outcome: e.failure.Outcome, Code: e.failure.Code, RetryAfter: e.failure.RetryAfter,
	}
	if _, ok := ended.Outcome.(effect.NotRun); !ok {
		s.mayHaveRun = true
	}
	s.runner.scope.Tagged(map[string]string{"code": string(ended.Code)}).Counter("attempt_failures").Inc(1)
	s.sendToCell(ended)
}

// stopStalled fails attempts that make no progress, without waiting for their
// goroutines. A caller that reads slowly doesn't count as a stall.
func (s *requestState) stopStalled(ctx context.Context) {
	for _, a := range s.running {
		if a.isStalled(s.runner.checkInterval()) {
			s.runner.scope.Counter("stalls").Inc(1)
			a.stop(errStalled)
			s.handleReport(ctx, attemptReport{attempt: a, failure: a.classify(errStalled)})
		}
	}
}

// sendToCell sends a message regardless of the caller's context: the cell must
// receive the end of every attempt to release its capacity.
func (s *requestState) sendToCell(message cell.Message) {
	_ = s.runner.loop.Send(context.Background(), message)
}

func (s *requestState) refusal(c cell.Refuse) error {
	return &fault.Error{
		Code: c.Code, Status: status(c.Code), Outcome: s.outcome(c.Outcome),
		RetryAfter: c.RetryAfter, Message: c.Message,
	}
}

// outcome returns the proposed outcome only if no attempt may have run, and
// otherwise [effect.Unknown].
func (s *requestState) outcome(proposed effect.Outcome) effect.Outcome {
	if s.mayHaveRun || len(s.running) > 0 || s.sent() > s.job.Offset {
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

func (s *requestState) isAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Ended() && s.sinkErr == nil
}

func (s *requestState) sinkError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sinkErr
}

func (s *requestState) sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Next()
}

func (s *requestState) place(a *attempt) crash.Admit {
	return crash.Admit{Job: a.id, Fingerprint: s.job.Fingerprint, Target: a.start.Target}
}
