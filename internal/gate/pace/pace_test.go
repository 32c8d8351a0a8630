package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/pace"
)

var start = time.Unix(1000, 0)

const usual = 100 * time.Millisecond

func newTracker(targets int) *pace.Tracker {
	t := pace.New()
	var names []string
	for i := range targets {
		names = append(names, fmt.Sprint("e", i))
	}
	t.SetTargets(map[string][]string{"lm": names})
	return t
}

// observe adds answers of all targets; the first one takes slowness times as long.
func observe(t *pace.Tracker, now time.Time, targets int, slowness float64) {
	for i := range targets {
		took := usual
		if i == 0 {
			took = time.Duration(slowness * float64(usual))
		}
		for range 5 {
			t.Observe(now, fmt.Sprint("e", i), usual, took)
		}
	}
}

func ExampleTracker_Factor() {
	tracker := pace.New()
	tracker.SetTargets(map[string][]string{"lm": {"e0", "e1", "e2"}})
	for range 10 {
		tracker.Observe(start, "e0", 100*time.Millisecond, 400*time.Millisecond)
		tracker.Observe(start, "e1", 100*time.Millisecond, 100*time.Millisecond)
		tracker.Observe(start, "e2", 100*time.Millisecond, 100*time.Millisecond)
	}
	fmt.Printf("%.1f %.1f", tracker.Factor(start, "e0"), tracker.Factor(start, "e1"))
	// Output: 3.6 1.0
}

func TestFactor(t *testing.T) {
	tests := map[string]struct {
		slowness float64
		atLeast  float64
		atMost   float64
	}{
		"four times as slow":      {4, 3, 4},
		"noise":                   {1.3, 1, 1},
		"faster than others":      {0.3, 1, 1},
		"hundred times, bounded":  {100, 8, 8},
		"answers without a delay": {0, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker(4)
			observe(tracker, start, 4, test.slowness)
			factor := tracker.Factor(start, "e0")
			assert.GreaterOrEqual(t, factor, test.atLeast)
			assert.LessOrEqual(t, factor, test.atMost)
			assert.EqualValues(t, 1, tracker.Factor(start, "e1"))
			if factor > 1 {
				assert.Equal(t, []string{"e0"}, tracker.Slow(start))
			} else {
				assert.Empty(t, tracker.Slow(start))
			}
		})
	}
}

// TestWrongEstimatesAreNoSlowness makes all targets take longer than estimated.
func TestWrongEstimatesAreNoSlowness(t *testing.T) {
	tracker := newTracker(4)
	for i := range 4 {
		for range 5 {
			tracker.Observe(start, fmt.Sprint("e", i), usual, 3*usual)
		}
	}
	for i := range 4 {
		assert.EqualValues(t, 1, tracker.Factor(start, fmt.Sprint("e", i)))
	}
}

// TestFactorRecovers stops the observations, as a slow target gets no work, and then
// adds usual ones.
func TestFactorRecovers(t *testing.T) {
	tracker := newTracker(4)
	observe(tracker, start, 4, 4)
	slow := tracker.Factor(start, "e0")
	later := start
	for range 10 {
		later = later.Add(200 * time.Millisecond)
		tracker.Factor(later, "e0")
	}
	waning := tracker.Factor(later.Add(time.Second), "e0")
	assert.Less(t, waning, slow)
	assert.Greater(t, waning, 1.0, "it does not get all of its work back at once")
	assert.EqualValues(t, 1, tracker.Factor(later.Add(20*time.Second), "e0"))

	again := newTracker(4)
	observe(again, start, 4, 4)
	again.Factor(start, "e0")
	observe(again, start.Add(3*time.Second), 4, 1)
	assert.EqualValues(t, 1, again.Factor(start.Add(3*time.Second), "e0"), "new evidence counts at once")
}

func TestRestartedTargetIsNotSlow(t *testing.T) {
	tracker := newTracker(4)
	observe(tracker, start, 4, 4)
	assert.Greater(t, tracker.Factor(start, "e0"), 2.0)
	tracker.Forget("e0")
	assert.EqualValues(t, 1, tracker.Factor(start.Add(time.Second/2), "e0"))
}

// TestNodesAddUpTheirAnswers has each node of a tree see too little by itself. Sums
// must reach every node once: the parent's report to a child leaves out the child's.
func TestNodesAddUpTheirAnswers(t *testing.T) {
	parent, children := newTracker(4), []*pace.Tracker{newTracker(4), newTracker(4), newTracker(4)}
	for i, child := range children {
		for target := range 4 {
			took := 20 * time.Millisecond
			if target == 0 {
				took = 80 * time.Millisecond
			}
			child.Observe(start, fmt.Sprint("e", target), 20*time.Millisecond, took)
		}
		assert.EqualValues(t, 1, child.Factor(start, "e0"), "one answer of 20 ms is no evidence")
		parent.Apply(start, oplog.Origin{Node: fmt.Sprint("child", i), Child: true}, child.Report(start, oplog.Recipient{Node: "parent"}))
	}
	for i, child := range children {
		sums := parent.Report(start, oplog.Recipient{Node: fmt.Sprint("child", i), Child: true})
		assert.Equal(t, pace.Sum{ExpectedMillis: 40, TookMillis: 160}, sums["e0"])
		child.Apply(start, oplog.Origin{Node: "parent"}, sums)
		assert.Greater(t, child.Factor(start.Add(time.Second/2), "e0"), 1.5)
	}
	assert.Equal(t, 60, parent.Report(start, oplog.Recipient{Node: "root"})["e0"].ExpectedMillis, "others get the sums of the children")
}

func TestReports(t *testing.T) {
	tracker := newTracker(2)
	to := oplog.Recipient{Node: "n"}
	assert.NotNil(t, tracker.Report(start, to))
	assert.Nil(t, tracker.Report(start.Add(100*time.Millisecond), to), "reports are rate-limited")
	assert.NotNil(t, tracker.Report(start.Add(100*time.Millisecond), oplog.Recipient{Node: "m"}))
	slow := map[string]pace.Sum{"e0": {ExpectedMillis: 500, TookMillis: 2000}, "e1": {ExpectedMillis: 500, TookMillis: 500}}
	tracker.Apply(start, oplog.Origin{Node: "n"}, slow)
	tracker.Apply(start.Add(time.Second), oplog.Origin{Node: "n"}, nil)
	assert.Greater(t, tracker.Factor(start.Add(time.Second), "e0"), 1.5, "a message without sums leaves the last ones")
	held := tracker.Factor(start.Add(1400*time.Millisecond), "e0")
	assert.Less(t, tracker.Factor(start.Add(10*time.Second), "e0"), held, "old reports don't count")
}
