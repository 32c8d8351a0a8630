// Package admit rejects requests whose first token would come after their
// deadline, so that no prefill is wasted on them.
package admit

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetry and maxRetry bound the retry delay before jitter.
	minRetry = 250 * time.Millisecond
	maxRetry = 30 * time.Second
	// maxJitterFraction is the largest jitter, as a fraction of the delay.
	maxJitterFraction = 0.5
)

// Verdict is the result of [Decide]: [Admit] or [Reject].
type Verdict interface{ verdict() }

// Admit admits a request.
type Admit struct{}

// Reject rejects a request.
type Reject struct {
	// RetryAfter is the delay before the caller should retry.
	RetryAfter time.Duration
}

func (Admit) verdict()  {}
func (Reject) verdict() {}

// Decide admits a request if the expected time to first token is within the time
// left until its deadline.
//
//	switch v := admit.Decide(random, expected, left).(type) {
//	case admit.Reject:
//		refuse(v.RetryAfter)
//	}
func Decide(random *rand.Rand, expected, left time.Duration) Verdict {
	if expected <= left {
		return Admit{}
	}
	return Reject{RetryAfter: Retry(random, expected-left)}
}

// Retry returns a retry delay: the wait within bounds, plus a random jitter, so
// that callers rejected at the same time do not retry at the same time.
func Retry(random *rand.Rand, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetry), maxRetry)
	return wait + time.Duration(random.Float64()*maxJitterFraction*float64(wait))
}
