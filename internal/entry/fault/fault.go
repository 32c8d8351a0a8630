// Package fault is the one shape in which callers learn of failures.
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

// CodeHeader names the header that carries the code of a failure.
const CodeHeader = "X-Cicadamill-Code"

// Error is a failure as a caller is told of it.
//
//	return &fault.Error{Code: "noEngine", Status: 503, Outcome: effect.NotRun{}, RetryAfter: time.Second}
type Error struct {
	// Code is stable; callers may branch on it.
	Code string
	// Status is the HTTP status.
	Status int
	// Outcome tells whether the request ran.
	Outcome effect.Outcome
	// RetryAfter is when to try again; zero means that it would not help.
	RetryAfter time.Duration
	// Message is a text for people.
	Message string
}

// Error returns a text for logs.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, effect.Name(e.Outcome), e.Message)
}

type document struct {
	Error body `json:"error"`
}

type body struct {
	Code              string `json:"code"`
	Message           string `json:"message"`
	Ran               string `json:"ran"`
	RetryAfterSeconds int    `json:"retryAfterSeconds,omitempty"`
}

// From finds the [Error] in err, or makes one that promises nothing.
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

// Encode returns the JSON document that tells of an error.
func Encode(err error) []byte {
	e := From(err)
	encoded, _ := json.Marshal(document{Error: body{
		Code: e.Code, Message: e.Message, Ran: effect.Name(e.Outcome), RetryAfterSeconds: seconds(e.RetryAfter),
	}})
	return encoded
}

// Write answers a request with an error.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(CodeHeader, e.Code)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(Encode(e))
}

func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
