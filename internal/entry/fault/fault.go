// Package fault defines the error document and headers that callers receive.
package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// CodeHeader is the response header that carries the error code.
const CodeHeader = "X-Cicadamill-Code"

// Error is an error as it is reported to a caller.
//
//	return &fault.Error{Code: "noEngine", Status: 503, Outcome: effect.NotRun{}, RetryAfter: time.Second}
type Error struct {
	// Code identifies the kind of error. Codes are stable, so callers may branch
	// on them.
	Code string
	// Status is the HTTP status code.
	Status int
	// Outcome states whether the request ran.
	Outcome effect.Outcome
	// RetryAfter is the delay before a retry; zero means that a retry does not
	// help.
	RetryAfter time.Duration
	// Message describes the error to people.
	Message string
}

// Error returns the error message for logs.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, effect.Name(e.Outcome), e.Message)
}

type errorDocument struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code              string `json:"code"`
	Message           string `json:"message"`
	Ran               string `json:"ran"`
	RetryAfterSeconds int    `json:"retryAfterSeconds,omitempty"`
}

// From returns the [Error] in the chain of err. Any other error becomes an
// internal error with an unknown outcome.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{
		Code: "internal", Status: http.StatusInternalServerError,
		Outcome: effect.Unknown{Reason: "internal"}, Message: "the request failed inside the router",
	}
}

// Encode returns the JSON document that describes an error.
func Encode(err error) []byte {
	e := From(err)
	encoded, _ := json.Marshal(errorDocument{Error: errorBody{
		Code: e.Code, Message: e.Message, Ran: effect.Name(e.Outcome), RetryAfterSeconds: ceilSeconds(e.RetryAfter),
	}})
	return encoded
}

// Write sends an error as the response to a request.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(CodeHeader, e.Code)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(Encode(e))
}

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
