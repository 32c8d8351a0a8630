// Package admit decides whether a request can still be answered in time, so
// that no prefill is spent on one that can't.
package admit

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetry and maxRetry bound the time after which a caller may ask again.
	minRetry = 250 * time.Millisecond
	maxRetry = 30 * time.Second
	// jitterPart is the part of the retry time that is random.
	jitterPart = 0.5
)

// Verdict tells whether to take a request. It is one of [Take] or [Turn].
type Verdict interface{ verdict() }

// Take means that the request can be answered in time.
type Take struct{}

// Turn means that it can't.
type Turn struct {
	// RetryAfter is when the caller should ask again.
	RetryAfter time.Duration
}

func (Take) verdict() {}
func (Turn) verdict() {}

// Decide compares the expected time to first token with the time that is left.
//
//	switch v := admit.Decide(random, expected, left).(type) {
//	case admit.Turn:
//		refuse(v.RetryAfter)
//	}
func Decide(random *rand.Rand, expected, left time.Duration) Verdict {
	if expected <= left {
		return Take{}
	}
	return Turn{RetryAfter: Retry(random, expected-left)}
}

// Retry returns a random time around a wait, so that callers who were refused
// together don't come back together.
func Retry(random *rand.Rand, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetry), maxRetry)
	return wait + time.Duration(random.Float64()*jitterPart*float64(wait))
}
