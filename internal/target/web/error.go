package web

import (
	"fmt"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// Code says why a target gave no whole answer.
type Code string

// The codes of an [Error].
const (
	// BadRequest means that the call can't be put on the wire.
	BadRequest Code = "badRequest"
	// Unreachable means that no byte of the call has left.
	Unreachable Code = "targetUnreachable"
	// Broken means that the connection ended without an answer.
	Broken Code = "targetBroken"
	// TimedOut means that the answer did not come in time.
	TimedOut Code = "targetTimeout"
	// AnswerCut means that the answer ended before its end or was malformed.
	AnswerCut Code = "answerCut"
	// AnswerTooLarge means that the answer is longer than [MaxAnswerBytes].
	AnswerTooLarge Code = "answerTooLarge"
	// Refused means that the target said it did not run the call.
	Refused Code = "targetRefused"
)

// Error is the failure of a call to a target.
type Error struct {
	// Code is the kind of failure.
	Code Code
	// Outcome is what is known of the call itself.
	Outcome effect.Outcome
	// RetryAfter is the target's own wish; zero means none.
	RetryAfter time.Duration
	// Target is the address that failed.
	Target string
	// Message is a text for people.
	Message string
	// Cause is the error beneath; nil means none.
	Cause error
}

// Error returns a text for logs.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: %s (%s): %s", e.Target, e.Code, effect.Name(e.Outcome), e.Message)
}

// Unwrap returns the error beneath.
func (e *Error) Unwrap() error { return e.Cause }
