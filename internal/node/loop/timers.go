package loop

import "time"

// timers provides a periodic tick and one wake-up at the earliest requested time.
type timers struct {
	ticker   *time.Ticker
	timer    *time.Timer
	wakeTime time.Time
}

func newTimers() *timers {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &timers{ticker: time.NewTicker(tickInterval), timer: timer}
}

func (t *timers) ticks() <-chan time.Time   { return t.ticker.C }
func (t *timers) wakeUps() <-chan time.Time { return t.timer.C }
func (t *timers) clearWake()                { t.wakeTime = time.Time{} }

// wakeAt sets the wake-up if it is earlier than the pending one. A later time is
// dropped, because the cell requests it again when it wakes up.
func (t *timers) wakeAt(at time.Time) {
	if !t.wakeTime.IsZero() && !at.Before(t.wakeTime) {
		return
	}
	t.wakeTime = at
	t.timer.Reset(time.Until(at))
}

func (t *timers) stop() {
	t.ticker.Stop()
	t.timer.Stop()
}
