// Package quota keeps a node's part of the second sendings that all nodes
// together may make to one service within a window.
//
// Each node may add a share of its own first sendings, and its part of a fixed
// allowance, which is divided by the number of nodes. The sum over all nodes
// then stays in bounds as long as no node counts fewer nodes than there are.
package quota

import "time"

// buckets is the number of steps in which the window slides.
const buckets = 20

// slackShare is the part of the fixed allowance that is used, so that a node
// which comes unnoticed does not break the bound.
const slackShare = 0.7

// Bound is what all nodes together may do.
type Bound struct {
	// Ratio is the number of second sendings that each first one earns.
	Ratio float64
	// Slack is the number of second sendings that need not be earned.
	Slack float64
	// Window is the time over which both count.
	Window time.Duration
}

type bucket struct {
	step          int64
	first, second int
}

// Quota counts one node's sendings to one service. See [New].
type Quota struct {
	bound Bound
	ring  [buckets]bucket
}

// New returns a quota with nothing counted.
//
//	q := quota.New(quota.Bound{Ratio: 0.2, Slack: 56, Window: 10 * time.Second})
//	q.First(now)
//	if q.Again(now, nodes) {
//		retry()
//	}
func New(bound Bound) *Quota { return &Quota{bound: bound} }

// First counts a first sending.
func (q *Quota) First(now time.Time) { q.at(now).first++ }

// Again takes one second sending and reports whether there was one left.
func (q *Quota) Again(now time.Time, nodes int) bool {
	b := q.at(now)
	first, second := q.sum(now)
	allowed := q.bound.Ratio*float64(first) + slackShare*q.bound.Slack/float64(max(nodes, 1))
	if float64(second+1) > allowed {
		return false
	}
	b.second++
	return true
}

func (q *Quota) step(now time.Time) int64 {
	return now.UnixNano() / int64(max(q.bound.Window/(buckets-1), time.Millisecond))
}

func (q *Quota) at(now time.Time) *bucket {
	step := q.step(now)
	b := &q.ring[step%buckets]
	if b.step != step {
		*b = bucket{step: step}
	}
	return b
}

func (q *Quota) sum(now time.Time) (first, second int) {
	step := q.step(now)
	for _, b := range q.ring {
		if step-b.step < buckets {
			first, second = first+b.first, second+b.second
		}
	}
	return first, second
}
