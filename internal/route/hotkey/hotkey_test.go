package hotkey_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/route/hotkey"
)

// feed adds work for some seconds, at a rate in engine seconds per second. It
// returns the last number of holders and how often that number changed.
func feed(m *hotkey.Meter, from time.Time, seconds int, rate float64) (holders, changes int) {
	const perSecond = 10
	for i := range seconds * perSecond {
		now := from.Add(time.Duration(i) * time.Second / perSecond)
		next := m.Add(now, 1, time.Duration(rate/perSecond*float64(time.Second)))
		if next != holders && i > 0 {
			changes++
		}
		holders = next
	}
	return holders, changes
}

func TestHoldersFollowTheLoad(t *testing.T) {
	m := hotkey.New(8)
	start := time.Unix(0, 0)
	cold, _ := feed(m, start, 60, 0.1)
	hot, _ := feed(m, start.Add(60*time.Second), 60, 2)
	cooled, _ := feed(m, start.Add(120*time.Second), 120, 0.1)
	assert.Equal(t, 1, cold)
	assert.GreaterOrEqual(t, hot, 5)
	assert.Equal(t, 1, cooled)
}

func TestSmallLoadChangesKeepTheHolders(t *testing.T) {
	m := hotkey.New(8)
	start := time.Unix(0, 0)
	before, _ := feed(m, start, 100, 1.2)
	for i := range 10 {
		rate := 0.95
		if i%2 == 0 {
			rate = 1.15
		}
		after, changes := feed(m, start.Add(time.Duration(100+20*i)*time.Second), 20, rate)
		assert.Equal(t, before, after)
		assert.Zero(t, changes)
	}
}

func TestMeterIsBounded(t *testing.T) {
	m := hotkey.New(8)
	for key := range uint64(100) {
		m.Add(time.Unix(0, 0), key, time.Second)
	}
	assert.Equal(t, 8, m.Len())
}

func ExampleMeter_Add() {
	m := hotkey.New(8)
	fmt.Println(m.Add(time.Unix(0, 0), 1, 5*time.Second))
	// Output: 2
}
