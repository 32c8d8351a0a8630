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

// trip is one request on its way over at most a few nodes. Each try is a leg.
type trip struct {
	steer  *Steer
	job    job.Job
	sink   func(engine.Event) error
	stream stream.State
	began  time.Time
	legs   int
	// unsure is true once a leg was lost that may have run.
	unsure bool
}

func newTrip(s *Steer, j job.Job, sink func(engine.Event) error) *trip {
	return &trip{steer: s, job: j, sink: sink, stream: stream.From(j.WeightVersion, j.Offset), began: time.Now()}
}

// visit tries the homes of a cell in turn, and this node at the latest after
// them.
func (t *trip) visit(ctx context.Context, c group.Cell) error {
	for i, home := range t.steer.fleet.Homes(c.ID, c.DataCentre, maxHomes) {
		if home.Self {
			break
		}
		if t.steer.isAvoided(home.Name) {
			t.steer.count("steer_avoided")
			continue
		}
		if i > 0 {
			t.steer.count("steer_successors")
		}
		t.steer.count("steer_forwarded")
		err := t.leg(func(j job.Job, sink func(engine.Event) error) error {
			return t.steer.remote.Run(ctx, home.Address, c.ID, j, sink)
		})
		outcome, lost := isLost(err)
		if !lost || ctx.Err() != nil {
			return err
		}
		t.lost(home, outcome, err)
	}
	t.steer.count("steer_local")
	return t.leg(func(j job.Job, sink func(engine.Event) error) error {
		return t.steer.local.Run(ctx, c.ID, j, sink)
	})
}

// lost notes what a lost leg leaves behind.
func (t *trip) lost(home Home, outcome effect.Outcome, err error) {
	if _, notRun := outcome.(effect.NotRun); notRun {
		t.steer.count("steer_lost_not_run")
	} else {
		t.steer.count("steer_lost_unknown")
		t.unsure = true
	}
	var gone *hop.LostError
	if errors.As(err, &gone) {
		t.steer.avoid(home.Name)
		t.steer.fleet.Doubt(home.Name)
	}
}

// leg runs the rest of the request once. Every leg has an ID of its own, so that
// what a lost node still does to its attempts touches no later one.
func (t *trip) leg(run func(j job.Job, sink func(engine.Event) error) error) error {
	t.legs++
	j := t.job
	if t.legs > 1 {
		j.ID = fmt.Sprintf("%s-%d", t.job.ID, t.legs)
	}
	if t.stream.Next() > 0 {
		j.Offset, j.WeightVersion = t.stream.Next(), t.stream.WeightVersion()
		if t.legs > 1 {
			t.steer.count("steer_resumed")
		}
	}
	if j.Deadline > 0 {
		j.Deadline = max(time.Millisecond, j.Deadline-time.Since(t.began))
	}
	serial := t.legs
	t.stream = t.stream.Begin(serial)
	err := run(j, func(event engine.Event) error { return t.event(serial, event) })
	if err == nil && !t.stream.Ended() {
		return &hop.LostError{Outcome: effect.Unknown{Reason: "no end"}, Cause: errors.New("the answer has no end")}
	}
	return err
}

// event passes each chunk once and in order, whichever leg it comes from.
func (t *trip) event(serial int, event engine.Event) error {
	next, verdict := t.stream.Update(serial, event)
	switch v := verdict.(type) {
	case stream.Drop:
		return nil
	case stream.Fail:
		return &hop.LostError{Outcome: effect.Unknown{Reason: v.Reason}, Cause: errors.New(v.Reason)}
	}
	begun := t.stream.Next() > t.job.Offset
	t.stream = next
	if _, ok := event.(engine.Accepted); ok && begun {
		return nil
	}
	return t.sink(event)
}

// isElsewhere reports whether another cell may do what this one did not.
func (t *trip) isElsewhere(err error) bool {
	var refused *fault.Error
	if !errors.As(err, &refused) || t.unsure || t.stream.Next() > 0 {
		return false
	}
	_, notRun := refused.Outcome.(effect.NotRun)
	return notRun && refused.Code == "noEngine"
}

// close gives the error its final form: a request of which a lost node may have
// run a part never ends as "not run".
func (t *trip) close(err error) error {
	if err == nil {
		return nil
	}
	var lost *hop.LostError
	if errors.As(err, &lost) && !errors.Is(err, context.Canceled) {
		err = &fault.Error{Code: "nodeLost", Status: 502, Outcome: lost.Outcome, RetryAfter: time.Second, Message: "the node that answered was lost"}
	}
	if errors.Is(err, context.Canceled) {
		err = &fault.Error{Code: "callerGone", Status: statusCallerGone, Outcome: effect.Unknown{Reason: "the caller left"}, Message: "the caller closed the connection"}
	}
	var known *fault.Error
	if !errors.As(err, &known) {
		return err
	}
	if _, notRun := known.Outcome.(effect.NotRun); notRun && (t.unsure || t.stream.Next() > t.job.Offset) {
		changed := *known
		changed.Outcome = effect.Unknown{Reason: "an earlier try may have run"}
		return &changed
	}
	return err
}
