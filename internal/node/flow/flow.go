// Package flow carries one request through its life: it asks the cell for an
// engine, runs the attempt, relays the answer and tells the cell what happened.
package flow

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/stream"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Runner runs requests against the engines of one cell.
type Runner struct {
	loop *loop.Loop
	dial func(target string) (engine.Client, bool)
}

// New returns a runner. The function dial finds the client of an engine.
//
//	runner := flow.New(cellLoop, clients.Find)
//	err := runner.Run(ctx, request, sink)
func New(l *loop.Loop, dial func(target string) (engine.Client, bool)) *Runner {
	return &Runner{loop: l, dial: dial}
}

// life is the state of one request while it runs.
type life struct {
	runner *Runner
	job    job.Job
	stream stream.State
	first  bool
	sink   func(engine.Event) error
}

// Run answers a request. Events reach sink in order, each once. A failure is a
// [*fault.Error].
func (r *Runner) Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error {
	mailbox, closeMailbox := r.loop.Open(j.ID)
	defer closeMailbox()
	if err := r.loop.Send(ctx, cell.Arrived{Job: j}); err != nil {
		return gone(effect.NotRun{Reason: "the caller left"})
	}
	l := &life{runner: r, job: j, sink: sink}
	for {
		select {
		case <-ctx.Done():
			l.tell(cell.Cancelled{Job: j.ID})
			return gone(effect.Unknown{Reason: "the caller left"})
		case command := <-mailbox:
			done, err := l.handle(ctx, command)
			if done {
				return err
			}
		}
	}
}

func (l *life) handle(ctx context.Context, command cell.Command) (bool, error) {
	switch c := command.(type) {
	case cell.Start:
		err := l.attempt(ctx, c)
		return l.stream.Ended(), err
	case cell.Refuse:
		return true, l.refusal(c)
	default:
		return false, nil
	}
}

func (l *life) attempt(ctx context.Context, start cell.Start) error {
	l.stream = l.stream.Begin(start.Attempt)
	l.first = false
	client, ok := l.runner.dial(start.Target)
	if !ok {
		l.end(start, &engine.Error{Code: engine.Unreachable, Outcome: effect.NotRun{Reason: "no such engine"}, Target: start.Target})
		return nil
	}
	call := engine.Call{
		Attempt: fmt.Sprintf("%s.%d", l.job.ID, start.Attempt), Workspace: l.job.Workspace,
		Adapter: l.job.Adapter, Body: l.job.Body, Priority: start.Priority, Offset: l.stream.Next(),
		Incarnation: start.Incarnation, WeightVersion: l.weights(start),
	}
	err := client.Complete(ctx, call, func(event engine.Event) error { return l.event(start, event) })
	l.end(start, err)
	return nil
}

func (l *life) weights(start cell.Start) string {
	if l.stream.Next() > 0 {
		return l.stream.WeightVersion()
	}
	return start.WeightVersion
}

func (l *life) event(start cell.Start, event engine.Event) error {
	var verdict stream.Verdict
	l.stream, verdict = l.stream.Update(start.Attempt, event)
	switch v := verdict.(type) {
	case stream.Drop:
		return nil
	case stream.Fail:
		return &engine.Error{Code: engine.Broken, Outcome: effect.Unknown{Reason: v.Reason}, Target: start.Target, Message: v.Reason}
	}
	l.observe(start, event)
	return l.sink(event)
}

func (l *life) observe(start cell.Start, event engine.Event) {
	switch e := event.(type) {
	case engine.Accepted:
		l.tell(cell.Started{Job: l.job.ID, Attempt: start.Attempt, Accepted: e})
	case engine.Token:
		if !l.first {
			l.first = true
			l.tell(cell.First{Job: l.job.ID, Attempt: start.Attempt})
		}
	case engine.Done:
		l.tell(cell.Ended{Job: l.job.ID, Attempt: start.Attempt, Outcome: effect.Answered{}, Sent: l.stream.Next(), Done: e})
	}
}

// end tells the cell of an attempt that failed. An answered attempt has
// already been told of with its [engine.Done].
func (l *life) end(start cell.Start, err error) {
	if err == nil || l.stream.Ended() {
		return
	}
	ended := cell.Ended{Job: l.job.ID, Attempt: start.Attempt, Outcome: effect.Unknown{Reason: err.Error()}, Code: engine.Broken, Sent: l.stream.Next()}
	var failure *engine.Error
	if errors.As(err, &failure) {
		ended.Outcome, ended.Code, ended.RetryAfter = failure.Outcome, failure.Code, failure.RetryAfter
	}
	l.tell(ended)
}

// tell never waits for the caller's context: the cell must learn of every end.
func (l *life) tell(message cell.Message) {
	_ = l.runner.loop.Send(context.Background(), message)
}

func (l *life) refusal(c cell.Refuse) error {
	failure := &fault.Error{
		Code: c.Code, Status: http.StatusServiceUnavailable, Outcome: c.Outcome,
		RetryAfter: c.RetryAfter, Message: c.Message,
	}
	if l.stream.Next() > 0 {
		failure.Outcome = effect.Unknown{Reason: "a part of the answer was sent"}
	}
	return failure
}

func gone(outcome effect.Outcome) error {
	const statusClientClosedRequest = 499
	return &fault.Error{Code: "callerGone", Status: statusClientClosedRequest, Outcome: outcome, Message: "the caller closed the connection"}
}
