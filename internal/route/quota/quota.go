// Package quota limits a node's retries to one service, so that the retries of all
// nodes together stay within a bound over a sliding window.
//
// Each node may retry in proportion to its own first attempts, plus its part of a
// fixed allowance that is divided by the number of nodes. The sum over all nodes
// stays within the bound as long as no node counts fewer nodes than there are.
package quota

import "time"

// buckets is the number of buckets of the sliding window.
const buckets = 20

// slackFraction is the fraction of the fixed allowance that is used. The rest is a
// reserve for nodes that have joined but are not counted yet.
const slackFraction = 0.7

// Bound is the limit on the retries of all nodes together.
// Log lines have the field names as keys.
type Bound struct {
	// Ratio is the number of retries allowed for each first attempt.
	Ratio float64
	// Slack is the fixed number of retries allowed on top of that.
	Slack float64
	// Window is the period that both apply to.
	Window time.Duration
}

type bucket struct {
	step           int64
	first, retries int
}

// Quota counts one node's attempts at one service. See [New].
type Quota struct {
	bound Bound
	// origin is the first reading of the clock. Steps count from there, because the
	// time between two readings doesn't change when the time of day does.
	origin time.Time
	window [buckets]bucket
}

// New returns a quota with an empty window.
//
//	q := quota.New(quota.Bound{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second})
//	q.CountFirst(now)
//	if q.AllowRetry(now, nodes) {
//		retry()
//	}
func New(bound Bound) *Quota { return &Quota{bound: bound} }

// CountFirst counts a first attempt.
func (q *Quota) CountFirst(now time.Time) { q.bucketAt(now).first++ }

// AllowRetry reports whether a retry is allowed, and counts it if so.
func (q *Quota) AllowRetry(now time.Time, nodes int) bool {
	b := q.bucketAt(now)
	first, retries := q.totals(now)
	allowed := q.bound.Ratio*float64(first) + slackFraction*q.bound.Slack/float64(max(nodes, 1))
	if float64(retries+1) > allowed {
		return false
	}
	b.retries++
	return true
}

// step returns the number of the bucket that a time belongs to. It begins at
// buckets, so that no bucket of the window counts before it was used.
func (q *Quota) step(now time.Time) int64 {
	if q.origin.IsZero() {
		q.origin = now
	}
	return buckets + int64(max(now.Sub(q.origin), 0)/max(q.bound.Window/(buckets-1), time.Millisecond))
}

func (q *Quota) bucketAt(now time.Time) *bucket {
	step := q.step(now)
	b := &q.window[step%buckets]
	if b.step != step {
		*b = bucket{step: step}
	}
	return b
}

func (q *Quota) totals(now time.Time) (first, retries int) {
	step := q.step(now)
	for _, b := range q.window {
		if step-b.step < buckets {
			first, retries = first+b.first, retries+b.retries
		}
	}
	return first, retries
}
