package quota_test

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/route/quota"
)

var bound = quota.Bound{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// useUp retries until the quota is used up and returns the number of retries.
func useUp(q *quota.Quota, now time.Time, nodes int) int {
	for n := 0; ; n++ {
		if !q.AllowRetry(now, nodes) {
			return n
		}
	}
}

func TestNodesTogetherStayWithinTheBound(t *testing.T) {
	tests := map[string]struct{ nodes, firstEach int }{
		"eight nodes without requests": {nodes: 8},
		"eight nodes with requests":    {nodes: 8, firstEach: 100},
		"many nodes, few requests":     {nodes: 71, firstEach: 3},
		"one node":                     {nodes: 1, firstEach: 50},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now, total := time.Unix(1000, 0), 0
			for range test.nodes {
				q := quota.New(bound)
				for range test.firstEach {
					q.CountFirst(now)
				}
				total += useUp(q, now, test.nodes)
			}
			assert.LessOrEqual(t, float64(total), bound.Ratio*float64(test.nodes*test.firstEach)+bound.Slack)
		})
	}
}

func TestOneNodeMoreThanCountedStaysWithinTheBound(t *testing.T) {
	total, now := 0, time.Unix(1000, 0)
	for range 8 {
		total += useUp(quota.New(bound), now, 7)
	}
	assert.LessOrEqual(t, float64(total), bound.Slack)
}

func TestEveryWindowKeepsTheBound(t *testing.T) {
	q := quota.New(bound)
	var sent []time.Time
	for step := range 400 {
		now := time.Unix(1000, 0).Add(time.Duration(step) * 100 * time.Millisecond)
		if q.AllowRetry(now, 1) {
			sent = append(sent, now)
		}
	}
	for _, from := range sent {
		count := 0
		for _, at := range sent {
			if !at.Before(from) && at.Before(from.Add(bound.Window)) {
				count++
			}
		}
		assert.LessOrEqual(t, float64(count), bound.Slack)
	}
	assert.Greater(t, len(sent), 60, "the quota should recover as the window slides")
}

func ExampleQuota_AllowRetry() {
	q := quota.New(quota.Bound{Ratio: 0.5, Slack: 0, Window: time.Second})
	now := time.Unix(100, 0)
	q.CountFirst(now)
	q.CountFirst(now)
	fmt.Println(q.AllowRetry(now, 1), q.AllowRetry(now, 1))
	// Output: true false
}

// stepWallClock moves the time of day of a reading and leaves its monotonic part, as
// a step of the host's clock does.
func stepWallClock(reading time.Time, seconds int64) time.Time {
	const secondsShift = 30 // of the wall part of a reading that has a monotonic part
	parts := (*struct {
		wall      uint64
		monotonic int64
		location  *time.Location
	})(unsafe.Pointer(&reading))
	parts.wall += uint64(seconds << secondsShift)
	return reading
}

// TestClockStepsKeepTheWindow uses the quota up, steps the time of day and tries
// again. Time passes only by the monotonic clock.
func TestClockStepsKeepTheWindow(t *testing.T) {
	for name, steps := range map[string][]int64{
		"forward":               {12},
		"backward":              {-12},
		"forward and back":      {12, 0},
		"backward and back":     {-12, 0},
		"forward, then earlier": {3, -3},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			q := quota.New(bound)
			assert.Positive(t, useUp(q, now, 1))
			for i, seconds := range steps {
				later := stepWallClock(now.Add(time.Duration(i+1)*time.Second), seconds)
				assert.Equal(t, time.Duration(i+1)*time.Second, later.Sub(now))
				assert.Zero(t, useUp(q, later, 1))
			}
			assert.Positive(t, useUp(q, stepWallClock(now.Add(2*bound.Window), steps[len(steps)-1]), 1))
		})
	}
}
