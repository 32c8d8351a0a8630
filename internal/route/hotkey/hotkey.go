// Package hotkey measures the load that the requests for each prompt prefix cause
// and derives how many engines should cache the prefix. Hysteresis keeps that
// number stable under small changes.
package hotkey

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// averagingTime is the time constant of the moving average of load.
	averagingTime = 10 * time.Second
	// addHolderAbove is the load for each holder, in engine seconds per second, above
	// which one more engine should hold the prefix.
	addHolderAbove = 0.35
	// dropHolderBelow is the load for each remaining holder below which the number of
	// holders falls by one.
	dropHolderBelow = 0.2
)

// Meter measures the load of prefixes. See [New].
type Meter struct {
	prefixes *simplelru.LRU[uint64, *prefix]
}

type prefix struct {
	load    float64
	at      time.Time
	holders int
}

// New returns a meter for the size most recently used prefixes.
//
//	meter := hotkey.New(8192)
//	holders := meter.Add(now, block, 300*time.Millisecond)
func New(size int) *Meter {
	prefixes, _ := simplelru.NewLRU[uint64, *prefix](max(1, size), nil)
	return &Meter{prefixes: prefixes}
}

// Len returns the number of prefixes measured.
func (m *Meter) Len() int { return m.prefixes.Len() }

// Add records the work of a request for a prefix and returns the number of engines
// that should hold the prefix.
func (m *Meter) Add(now time.Time, key uint64, work time.Duration) int {
	p, ok := m.prefixes.Get(key)
	if !ok {
		p = &prefix{at: now, holders: 1}
		m.prefixes.Add(key, p)
	}
	p.load = p.load*math.Exp(-now.Sub(p.at).Seconds()/averagingTime.Seconds()) + work.Seconds()/averagingTime.Seconds()
	p.at = now
	p.updateHolders()
	return p.holders
}

// updateHolders adjusts the number of holders to the load, with hysteresis.
func (p *prefix) updateHolders() {
	for p.load > addHolderAbove*float64(p.holders) {
		p.holders++
	}
	for p.holders > 1 && p.load < dropHolderBelow*float64(p.holders-1) {
		p.holders--
	}
}
