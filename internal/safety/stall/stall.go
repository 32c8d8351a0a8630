// Package stall detects that the process did not run for a while: its host was
// suspended, or its CPU was taken away. What the process learns right afterwards may
// have happened long before.
package stall

import "time"

const (
	// threshold is the time between two observations from which on the process
	// counts as stalled. They are far more frequent while it runs.
	threshold = 500 * time.Millisecond
	// memory is how long after a stall what the process learns may be late.
	memory = time.Second
	// clockSlack is the difference between the two clocks that is no suspension.
	clockSlack = 20 * time.Millisecond
)

// Detector compares a monotonic clock, which stops while the host is suspended, with
// the boot-time clock, which doesn't. Its zero value has observed nothing.
type Detector struct {
	monotonic, boot time.Time
	lateUntil       time.Time
}

// Observe records the two clocks and returns the time since the last observation that
// the monotonic clock didn't count.
//
//	if lost := detector.Observe(time.Now(), clock.Now()); lost > 0 {
//		shiftTimesBack(lost)
//	}
func (d *Detector) Observe(monotonic, boot time.Time) time.Duration {
	last := *d
	d.monotonic, d.boot = monotonic, boot
	if last.boot.IsZero() {
		return 0
	}
	passed := boot.Sub(last.boot)
	if passed >= threshold {
		d.lateUntil = boot.Add(memory)
	}
	if lost := passed - monotonic.Sub(last.monotonic); lost > clockSlack {
		return lost
	}
	return 0
}

// Late reports whether what the process learns now may have happened long before. It
// applies to the last observation.
func (d *Detector) Late() bool { return d.boot.Before(d.lateUntil) }
