package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// survivalSet holds the times when the latest survivors of features began.
type survivalSet map[feature]time.Time

// Answered records that a request that began at begunAt survived its beginning. The
// crashes of its features until begunAt count no more. It returns the survivals that
// other nodes need.
func (c *Counter) Answered(now, begunAt time.Time, request Request) []Survival {
	needed := survivalSet{}
	for _, f := range request.features() {
		// Another node may have seen the crash up to mergeTolerance later.
		if c.survive(f, begunAt, mergeTolerance) {
			needed[f] = begunAt
		}
	}
	return needed.messages(now)
}

// Survivals returns the survivals of all features that crashed and the latest ones of
// other parts, to be sent to a node that has joined.
func (c *Counter) Survivals(now time.Time) []Survival {
	c.refresh(now)
	all := survivalSet{}
	parts := c.parts.Keys()
	for _, part := range parts[max(0, len(parts)-maxHistory):] {
		all[feature{hash: part}], _ = c.parts.Peek(part)
	}
	for f, s := range c.suspects {
		if !s.survived.IsZero() {
			all[f] = s.survived
		}
	}
	return all.messages(now)
}

// survive records that a survivor of a feature began at the given time. It reports
// whether that was the first survivor of a suspect, or the first one since a crash or
// until margin after it.
func (c *Counter) survive(f feature, at time.Time, margin time.Duration) bool {
	latest := c.latest(f)
	known, _ := latest.Peek(f.hash)
	if at.After(known) {
		known = at
	}
	latest.Add(f.hash, known)
	s := c.suspects[f]
	if s == nil || !at.After(s.survived) {
		return false
	}
	previous := s.survived
	s.survived = at
	needed := previous.IsZero()
	c.changed = c.changed || needed
	for _, crash := range s.crashes {
		if crash.at.After(at) {
			continue
		}
		needed = needed || crash.at.Add(margin).After(previous)
		c.changed = c.changed || crash.at.After(previous)
	}
	return needed
}

// survived returns the time when the latest known survivor of a feature began, or
// zero.
func (c *Counter) survived(now time.Time, f feature) time.Time {
	if s := c.suspects[f]; s != nil {
		return s.survived
	}
	at, _ := c.latest(f).Peek(f.hash)
	if now.Sub(at) >= survivalLifetime {
		return time.Time{}
	}
	return at
}

func (c *Counter) latest(f feature) *simplelru.LRU[uint64, time.Time] {
	if f.whole {
		return c.requests
	}
	return c.parts
}

// messages returns the survivals in a fixed order.
func (s survivalSet) messages(now time.Time) []Survival {
	var all []Survival
	for _, f := range slices.SortedFunc(maps.Keys(s), compareFeatures) {
		all = append(all, Survival{Feature: f.hash, Whole: f.whole, Age: now.Sub(s[f])})
	}
	return all
}

// compareFeatures orders requests before parts, each by their hashes.
func compareFeatures(a, b feature) int {
	return cmp.Or(compareFlags(a.whole, b.whole), cmp.Compare(a.hash, b.hash))
}
