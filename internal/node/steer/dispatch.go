package steer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/peer/hop"
	"github.com/cicadamill/cicadamill/internal/route/group"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/stream"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const statusCallerGone = 499

// dispatch is the state of one request that is tried on a few nodes in turn.
type dispatch struct {
	forwarder *Forwarder
	job       job.Job
	sink      func(engine.Event) error
	stream    stream.State
	began     time.Time
	attempts  int
	// mayHaveRun is true after a node failed that may have run the request.
	mayHaveRun bool
}

func newDispatch(s *Forwarder, j job.Job, sink func(engine.Event) error) *dispatch {
	return &dispatch{forwarder: s, job: j, sink: sink, stream: stream.Resume(j.WeightVersion, j.Offset), began: time.Now()}
}

// tryCell runs the request on the home nodes of a cell in turn until one does not
// fail. If this node is next in the list, or all of them failed, it runs the
// request itself.
func (d *dispatch) tryCell(ctx context.Context, c group.Cell) error {
	for i, home := range d.forwarder.fleet.Homes(c.ID, c.DataCentre, maxHomes) {
		if home.Self {
			break
		}
		if d.forwarder.isAvoided(home.Name) {
			d.forwarder.count("steer_avoided")
			continue
		}
		if i > 0 {
			d.forwarder.count("steer_successors")
		}
		d.forwarder.count("steer_forwarded")
		err := d.attempt(func(j job.Job, sink func(engine.Event) error) error {
			return d.forwarder.remote.Run(ctx, home.Address, c.ID, j, sink)
		})
		outcome, failed := isNodeFailure(err)
		if !failed || ctx.Err() != nil {
			return err
		}
		d.recordFailure(home, outcome, err)
	}
	d.forwarder.count("steer_local")
	return d.attempt(func(j job.Job, sink func(engine.Event) error) error {
		return d.forwarder.local.Run(ctx, c.ID, j, sink)
	})
}

// recordFailure counts a node failure. A node whose connection failed is avoided
// for a while and reported to the fleet; one that refused is not.
func (d *dispatch) recordFailure(home Home, outcome effect.Outcome, err error) {
	if _, notRun := outcome.(effect.NotRun); notRun {
		d.forwarder.count("steer_lost_not_run")
	} else {
		d.forwarder.count("steer_lost_unknown")
		d.mayHaveRun = true
	}
	var lostError *hop.LostError
	if errors.As(err, &lostError) {
		d.forwarder.avoid(home.Name)
		d.forwarder.fleet.ReportFailure(home.Name)
	}
}

// attempt runs the rest of the request once, from the next offset that the caller
// needs. Each attempt has its own ID, so that whatever a failed node still does to
// an earlier one, such as cancelling it, does not affect the current one.
func (d *dispatch) attempt(run func(j job.Job, sink func(engine.Event) error) error) error {
	d.attempts++
	j := d.job
	if d.attempts > 1 {
		j.ID = fmt.Sprintf("%s-%d", d.job.ID, d.attempts)
	}
	if d.stream.Next() > 0 {
		j.Offset, j.WeightVersion = d.stream.Next(), d.stream.WeightVersion()
		if d.attempts > 1 {
			d.forwarder.count("steer_resumed")
		}
	}
	if j.Deadline > 0 {
		j.Deadline = max(time.Millisecond, j.Deadline-time.Since(d.began))
	}
	number := d.attempts
	d.stream = d.stream.Begin(number)
	err := run(j, func(event engine.Event) error { return d.forward(number, event) })
	if err == nil && !d.stream.Ended() {
		return &hop.LostError{Outcome: effect.Unknown{Reason: "no end"}, Cause: errors.New("the answer has no end")}
	}
	return err
}

// forward passes each chunk to the caller once and in order, across all attempts.
func (d *dispatch) forward(attempt int, event engine.Event) error {
	next, verdict := d.stream.Update(attempt, event)
	switch v := verdict.(type) {
	case stream.Drop:
		return nil
	case stream.Fail:
		return &hop.LostError{Outcome: effect.Unknown{Reason: v.Reason}, Cause: errors.New(v.Reason)}
	}
	begun := d.stream.Next() > d.job.Offset
	d.stream = next
	if _, ok := event.(engine.Accepted); ok && begun {
		return nil
	}
	return d.sink(event)
}

// canTryOtherCell reports whether another cell may be tried after an error: the
// cell had no engine, and the request has certainly not run.
func (d *dispatch) canTryOtherCell(err error) bool {
	var refused *fault.Error
	if !errors.As(err, &refused) || d.mayHaveRun || d.stream.Next() > 0 {
		return false
	}
	_, notRun := refused.Outcome.(effect.NotRun)
	return notRun && refused.Code == "noEngine"
}

// finalError converts an error to the one returned to the caller. If a failed
// node may have run a part of the request, the outcome is never "not run".
func (d *dispatch) finalError(err error) error {
	if err == nil {
		return nil
	}
	var lostError *hop.LostError
	if errors.As(err, &lostError) && !errors.Is(err, context.Canceled) {
		err = &fault.Error{Code: "nodeLost", Status: 502, Outcome: lostError.Outcome, RetryAfter: time.Second, Message: "the node that answered was lost"}
	}
	if errors.Is(err, context.Canceled) {
		err = &fault.Error{Code: "callerGone", Status: statusCallerGone, Outcome: effect.Unknown{Reason: "the caller left"}, Message: "the caller closed the connection"}
	}
	var known *fault.Error
	if !errors.As(err, &known) {
		return err
	}
	if _, notRun := known.Outcome.(effect.NotRun); notRun && (d.mayHaveRun || d.stream.Next() > d.job.Offset) {
		changed := *known
		changed.Outcome = effect.Unknown{Reason: "an earlier try may have run"}
		return &changed
	}
	return err
}
