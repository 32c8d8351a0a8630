package flow

import (
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/crash"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/stream"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// handleEvent processes one event of the attempt. The lock serialises the events
// of concurrent attempts.
func (a *attempt) handleEvent(event engine.Event) error {
	s := a.request
	a.events.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := a.checkCurrent(); err != nil {
		s.runner.scope.Counter("late_events").Inc(1)
		return err
	}
	if accepted, ok := event.(engine.Accepted); ok {
		return a.accept(accepted)
	}
	if err := a.claimAnswer(); err != nil {
		return err
	}
	var verdict stream.Verdict
	s.stream, verdict = s.stream.Update(a.serial, event)
	switch v := verdict.(type) {
	case stream.Drop:
		s.runner.scope.Counter("repeated_events").Inc(1)
		return nil
	case stream.Fail:
		return a.unknownOutcome(engine.Broken, v.Reason)
	}
	a.reportDone(event)
	return a.forward(event)
}

// checkCurrent returns an error if the attempt was cancelled or another attempt
// is answering.
func (a *attempt) checkCurrent() error {
	if a.ctx.Err() != nil {
		return a.ctx.Err()
	}
	if w := a.request.winner; w != nil && w != a && w.ctx.Err() == nil {
		return errSuperseded
	}
	return nil
}

// accept checks that the attempt's weight version matches the chunks already
// sent. The event is passed to the caller only with the first chunk.
func (a *attempt) accept(accepted engine.Accepted) error {
	s := a.request
	a.accepted = accepted
	if _, verdict := s.stream.Begin(a.serial).Update(a.serial, accepted); verdict != (stream.Pass{}) {
		return a.unknownOutcome(engine.Stale, "the weights are not those of the stream so far")
	}
	s.runner.guard.Send(crash.Reported{Target: a.start.Target, Incarnation: accepted.Incarnation, Job: a.id})
	s.sendToCell(cell.Started{Job: s.job.ID, Attempt: a.start.Attempt, Accepted: accepted})
	return nil
}

// claimAnswer makes the attempt, on its first chunk, the one that answers, and
// stops all others.
func (a *attempt) claimAnswer() error {
	s := a.request
	if s.winner == a {
		return nil
	}
	s.winner = a
	for _, other := range s.running {
		if other != a {
			other.stop(errSuperseded)
		}
	}
	s.stream, _ = s.stream.Begin(a.serial).Update(a.serial, a.accepted)
	a.answering.Store(true)
	s.sendToCell(cell.FirstToken{Job: s.job.ID, Attempt: a.start.Attempt})
	return a.forward(a.accepted)
}

func (a *attempt) reportDone(event engine.Event) {
	if done, ok := event.(engine.Done); ok {
		a.request.sendToCell(cell.Ended{
			Job: a.request.job.ID, Attempt: a.start.Attempt, Outcome: effect.Answered{}, Sent: a.request.stream.Next(), Done: done,
		})
	}
}

// forward passes the event to the sink. A blocked sink is no stall of the
// engine, so writing is set meanwhile.
func (a *attempt) forward(event engine.Event) error {
	a.writing.Store(true)
	err := a.request.sink(event)
	a.writing.Store(false)
	if err != nil {
		a.request.sinkErr = err
	}
	return err
}

func (a *attempt) unknownOutcome(code engine.Code, reason string) error {
	return &engine.Error{Code: code, Outcome: effect.Unknown{Reason: reason}, Target: a.start.Target, Message: reason}
}
