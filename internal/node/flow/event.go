package flow

import (
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/crash"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/stream"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// event takes one event of the attempt. Events of several attempts come one at
// a time.
func (a *attempt) event(event engine.Event) error {
	l := a.life
	a.events.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := a.isCurrent(); err != nil {
		l.runner.scope.Counter("late_events").Inc(1)
		return err
	}
	if accepted, ok := event.(engine.Accepted); ok {
		return a.accept(accepted)
	}
	if err := a.win(); err != nil {
		return err
	}
	var verdict stream.Verdict
	l.stream, verdict = l.stream.Update(a.serial, event)
	switch v := verdict.(type) {
	case stream.Drop:
		l.runner.scope.Counter("repeated_events").Inc(1)
		return nil
	case stream.Fail:
		return a.broken(engine.Broken, v.Reason)
	}
	a.observe(event)
	return a.pass(event)
}

// isCurrent fails for an attempt that was given up or lost the race.
func (a *attempt) isCurrent() error {
	if a.ctx.Err() != nil {
		return a.ctx.Err()
	}
	if w := a.life.winner; w != nil && w != a && w.ctx.Err() == nil {
		return errSuperseded
	}
	return nil
}

// accept checks early that the attempt can go on with what was sent. The
// caller hears of an engine only with its first chunk.
func (a *attempt) accept(accepted engine.Accepted) error {
	l := a.life
	a.accepted = accepted
	if _, verdict := l.stream.Begin(a.serial).Update(a.serial, accepted); verdict != (stream.Pass{}) {
		return a.broken(engine.Stale, "the weights are not those of the stream so far")
	}
	l.runner.guard.Tell(crash.Seen{Target: a.start.Target, Incarnation: accepted.Incarnation, Job: a.id})
	l.tell(cell.Started{Job: l.job.ID, Attempt: a.start.Attempt, Accepted: accepted})
	return nil
}

// win makes the attempt the one that answers, with its first chunk, and ends
// all others.
func (a *attempt) win() error {
	l := a.life
	if l.winner == a {
		return nil
	}
	l.winner = a
	for _, other := range l.running {
		if other != a {
			other.stop(errSuperseded)
		}
	}
	l.stream, _ = l.stream.Begin(a.serial).Update(a.serial, a.accepted)
	a.first.Store(true)
	l.tell(cell.First{Job: l.job.ID, Attempt: a.start.Attempt})
	return a.pass(a.accepted)
}

func (a *attempt) observe(event engine.Event) {
	if done, ok := event.(engine.Done); ok {
		a.life.tell(cell.Ended{
			Job: a.life.job.ID, Attempt: a.start.Attempt, Outcome: effect.Answered{}, Sent: a.life.stream.Next(), Done: done,
		})
	}
}

// pass hands the event to the caller.
func (a *attempt) pass(event engine.Event) error {
	a.writing.Store(true)
	err := a.life.sink(event)
	a.writing.Store(false)
	if err != nil {
		a.life.failed = err
	}
	return err
}

func (a *attempt) broken(code engine.Code, reason string) error {
	return &engine.Error{Code: code, Outcome: effect.Unknown{Reason: reason}, Target: a.start.Target, Message: reason}
}
