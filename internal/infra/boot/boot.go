// Package boot reads the boot-time clock of the host. Unlike the monotonic clock it
// counts the time for which the host was suspended, and unlike the time of day it
// never steps.
package boot

import (
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Clock reads the boot-time clock. It is safe for concurrent use.
type Clock struct {
	// origin is the time of day when the boot-time clock read zero, as of New. It
	// only makes readings look like times.
	origin time.Time
}

// New returns a clock, or an error if the kernel has no boot-time clock.
//
//	clock, err := boot.New()
//	held := grant.Covers(clock.Now(), orderTimeout)
func New() (*Clock, error) {
	since, err := sinceBoot()
	if err != nil {
		return nil, errors.Annotate(err, "reading the boot-time clock")
	}
	return &Clock{origin: time.Now().Round(0).Add(-since)}, nil
}

// Now returns a reading. Readings of one clock can be compared with each other, but
// not with those of other clocks, such as [time.Now].
func (c *Clock) Now() time.Time {
	// The only possible error is an unknown clock, which New has ruled out.
	since, _ := sinceBoot()
	return c.origin.Add(since)
}

func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return time.Duration(now.Nano()), err
}
