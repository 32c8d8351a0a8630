package engine

import (
	"fmt"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// Code says why a target gave no whole answer.
type Code string

// The codes of an [Error].
const (
	// Busy means that the target's queue is full.
	Busy Code = "busy"
	// Leaving means that the target wants no new work.
	Leaving Code = "leaving"
	// Stale means that the incarnation or weight version did not match.
	Stale Code = "stale"
	// Fenced means that an order carried an old fencing number.
	Fenced Code = "fenced"
	// Unreachable means that no connection could be made.
	Unreachable Code = "unreachable"
	// Broken means that the connection ended before the answer did.
	Broken Code = "broken"
	// Stalled means that the target sent nothing for too long.
	Stalled Code = "stalled"
	// Superseded means that another attempt of the same request answers.
	Superseded Code = "superseded"
	// Invalid means that the target refused the content of the request.
	Invalid Code = "invalid"
)

// Error is the failure of a call to a target.
//
//	var failure *engine.Error
//	if errors.As(err, &failure) && failure.Code == engine.Busy {
//		backOff(failure.RetryAfter)
//	}
type Error struct {
	// Code is the kind of failure.
	Code Code
	// Outcome is what is known of the work itself.
	Outcome effect.Outcome
	// RetryAfter is the target's own wish; zero means none.
	RetryAfter time.Duration
	// Target is the address that failed.
	Target string
	// Message is a text for people.
	Message string
}

// Error returns a text for logs.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: %s (%s): %s", e.Target, e.Code, effect.Name(e.Outcome), e.Message)
}
