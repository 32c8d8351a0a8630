package loop

import "time"

// clock has a steady tick and one wake-up at the earliest time asked for.
type clock struct {
	ticker *time.Ticker
	timer  *time.Timer
	next   time.Time
}

func newClock() *clock {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &clock{ticker: time.NewTicker(tickInterval), timer: timer}
}

func (c *clock) ticks() <-chan time.Time { return c.ticker.C }
func (c *clock) wakes() <-chan time.Time { return c.timer.C }
func (c *clock) woken()                  { c.next = time.Time{} }

// wakeAt moves the wake-up forward; a later time than the one pending is
// dropped, because the slice asks again when it is woken.
func (c *clock) wakeAt(at time.Time) {
	if !c.next.IsZero() && !at.Before(c.next) {
		return
	}
	c.next = at
	c.timer.Reset(time.Until(at))
}

func (c *clock) stop() {
	c.ticker.Stop()
	c.timer.Stop()
}
