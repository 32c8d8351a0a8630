package web

import (
	"fmt"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// Code is the kind of failure of a call to a target.
type Code string

// Codes of an [Error].
const (
	// BadRequest means that the call can't be encoded as an HTTP request.
	BadRequest Code = "badRequest"
	// Unreachable means that no byte of the call was sent.
	Unreachable Code = "targetUnreachable"
	// Broken means that the connection ended without a response.
	Broken Code = "targetBroken"
	// TimedOut means that the response did not arrive before the deadline.
	TimedOut Code = "targetTimeout"
	// ResponseTruncated means that the response was truncated or malformed.
	ResponseTruncated Code = "answerCut"
	// ResponseTooLarge means that the response is longer than [MaxResponseBytes].
	ResponseTooLarge Code = "answerTooLarge"
	// Refused means that the target reported that it did not run the call.
	Refused Code = "targetRefused"
)

// Error is a failed call to a target.
type Error struct {
	// Code is the kind of failure.
	Code Code
	// Outcome says whether the target may have run the call.
	Outcome effect.Outcome
	// RetryAfter is the delay that the target asked for; zero means none.
	RetryAfter time.Duration
	// Target is the address of the target.
	Target string
	// Message is a text for people.
	Message string
	// Cause is the underlying error; nil means none.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s: %s (%s): %s", e.Target, e.Code, effect.Name(e.Outcome), e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
