package feed

import "time"

const (
	// minDelay is the least delay of an answer that counts. Answers also differ by
	// milliseconds.
	minDelay = 100 * time.Millisecond
	// offsetMaxAge is for how long the difference of two clocks is taken to hold, since
	// they drift apart.
	offsetMaxAge = time.Minute
)

// clockOffset finds answers that come late: those whose reading of the store's clock is
// further behind this process's clock than that of the fastest answer lately.
type clockOffset struct {
	origin time.Time
	// largest is the store's clock minus this process's in the fastest answer of this
	// period, previous that of the period before.
	largest, previous time.Duration
	since             time.Time
}

// delay returns how late an answer with a reading of the store's clock has come now. An
// answer cannot be older than its call, which began at the given time.
func (c *clockOffset) delay(now, began time.Time, clock time.Duration) time.Duration {
	if clock <= 0 {
		return 0
	}
	if c.origin.IsZero() {
		c.origin = now
		c.reset(now, clock)
		return 0
	}
	offset := clock - now.Sub(c.origin)
	if now.Sub(c.since) > offsetMaxAge {
		c.previous, c.largest, c.since = c.largest, offset, now
	}
	c.largest = max(c.largest, offset)
	late := min(max(c.largest, c.previous)-offset, now.Sub(began))
	if late < minDelay {
		return 0
	}
	return late
}

// reset begins with the reading of one answer, since the store's clock may be another.
func (c *clockOffset) reset(now time.Time, clock time.Duration) {
	offset := clock - now.Sub(c.origin)
	c.largest, c.previous, c.since = offset, offset, now
}
