package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// event is the crash of a target.
type event struct {
	target string
	at     time.Time
	// explained is set if a blocked feature was running.
	explained bool
}

// block is a decision to refuse requests with a feature.
type block struct {
	crashes     int
	since, last time.Time
	// from is the time from which the block is in force.
	from time.Time
	// trialAt is the time of the next trial, or zero if there is none.
	trialAt time.Time
}

// Refused reports whether a request holds a blocked feature, and which one.
func (c *Counter) Refused(now time.Time, request Request) (uint64, bool) {
	c.refresh(now)
	if len(c.blocked) == 0 {
		return 0, false
	}
	for _, f := range request.features() {
		if _, blocked := c.blocked[f]; blocked {
			return f.hash, true
		}
	}
	return 0, false
}

// Trial reports whether a refused request is to be sent to find out whether its
// features were blocked by mistake, and counts it as sent. Features without a survivor
// get no trial. After a trial there is none until another crash is known, or until the
// trial must have been lost. Trial is to be called on one node only, which is chosen by
// the feature that Refused returns.
func (c *Counter) Trial(now time.Time, request Request) bool {
	c.refresh(now)
	var due []feature
	for _, f := range request.features() {
		b, blocked := c.blocked[f]
		if !blocked {
			continue
		}
		if b.trialAt.IsZero() || now.Before(b.trialAt) || c.onTrial(now, f, b) {
			return false
		}
		due = append(due, f)
	}
	for _, f := range due {
		c.trials[f] = now
	}
	return len(due) > 0
}

// onTrial reports whether the outcome of this node's last trial of a feature is not
// known yet. A trial has none if the request reached no target or its client left.
func (c *Counter) onTrial(now time.Time, f feature, b block) bool {
	last, tried := c.trials[f]
	return tried && !last.Before(b.last) && now.Sub(last) < trialInterval
}

// Suspected reports whether a request may have crashed a target: it holds a blocked
// feature, or one of a crash that no blocked feature explains. Such a request
// must not be sent again after its connection broke.
func (c *Counter) Suspected(now time.Time, request Request) bool {
	c.refresh(now)
	for _, f := range request.features() {
		_, unexplained := c.unexplained[f]
		_, blocked := c.blocked[f]
		if unexplained || blocked {
			return true
		}
	}
	return false
}

// BlocksAny reports whether any feature is blocked.
func (c *Counter) BlocksAny(now time.Time) bool {
	c.refresh(now)
	return len(c.blocked) > 0
}

// Blocked returns the blocked features in a fixed order.
func (c *Counter) Blocked(now time.Time) []Block {
	c.refresh(now)
	var all []Block
	for _, f := range slices.SortedFunc(maps.Keys(c.blocked), compareFeatures) {
		b := c.blocked[f]
		all = append(all, Block{Feature: f.hash, Whole: f.whole, Crashes: b.crashes, Since: b.since})
	}
	return all
}

// refresh removes expired crashes and decides again what is blocked, if something has
// changed.
func (c *Counter) refresh(now time.Time) {
	if !c.changed && now.Before(c.validUntil) {
		return
	}
	c.changed = false
	c.validUntil = now.Add(crashLifetime)
	c.markCounted(now)
	c.markEvents()
	maps.DeleteFunc(c.trials, func(_ feature, at time.Time) bool { return now.Sub(at) >= crashLifetime })

	c.blocked = map[feature]block{}
	for _, f := range c.candidates() {
		s := c.suspects[f]
		if !s.qualifies(f) {
			continue
		}
		b := s.block()
		if now.Before(b.from) {
			c.validUntil = earlier(c.validUntil, b.from)
			continue
		}
		c.blocked[f] = b
		for _, crash := range s.counted {
			crash.event.explained = true
		}
	}
	c.unexplained = map[feature]struct{}{}
	for f, s := range c.suspects {
		if slices.ContainsFunc(s.counted, unexplained) {
			c.unexplained[f] = struct{}{}
		}
	}
}

// markCounted finds the crashes that count for each feature and removes those that
// count for none.
func (c *Counter) markCounted(now time.Time) {
	for known := range c.crashes {
		known.counted = false
	}
	for _, s := range c.suspects {
		s.count(now)
		if len(s.counted) == 0 {
			continue
		}
		c.validUntil = earlier(c.validUntil, s.last().Add(crashLifetime))
		for _, crash := range s.counted {
			crash.counted = true
		}
	}
	for known := range c.crashes {
		if !known.counted {
			c.removeCrash(known)
		}
	}
}

// markEvents assigns the crashes of requests to crashes of targets.
func (c *Counter) markEvents() {
	var current *event
	for _, known := range c.sortedCrashes() {
		if current == nil || current.target != known.target || known.at.Sub(current.at) >= mergeTolerance {
			current = &event{target: known.target, at: known.at}
		}
		known.event = current
	}
	for _, s := range c.suspects {
		slices.SortFunc(s.counted, func(a, b *crash) int { return a.event.at.Compare(b.event.at) })
	}
}

// candidates returns the features with enough crashes, the most likely cause first.
func (c *Counter) candidates() []feature {
	var all []feature
	for f, s := range c.suspects {
		// Most features have a single crash and need no ranking.
		if len(s.counted) < minCrashes {
			continue
		}
		s.rank(f)
		if s.total >= minCrashes {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(a, b feature) int {
		return cmp.Or(compareSuspects(c.suspects[a], c.suspects[b], a, b), compareFeatures(a, b))
	})
	return all
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
