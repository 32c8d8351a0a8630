// Package heat measures how much work the requests for a prefix bring and says
// on how many engines the prefix should lie. Hysteresis keeps the number from
// following every small change.
package heat

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// window is the time constant of the measured work.
	window = 10 * time.Second
	// spreadAt is the work for each holder, in engine seconds a second, above
	// which another engine should hold the prefix.
	spreadAt = 0.35
	// drawAt is the work for each remaining holder below which one is given up.
	drawAt = 0.2
)

// Meter measures prefixes. See [New].
type Meter struct {
	prefixes *simplelru.LRU[uint64, *prefix]
}

type prefix struct {
	work    float64
	at      time.Time
	holders int
}

// New returns a meter for at most size prefixes.
//
//	meter := heat.New(8192)
//	holders := meter.Add(now, block, 300*time.Millisecond)
func New(size int) *Meter {
	prefixes, _ := simplelru.NewLRU[uint64, *prefix](max(1, size), nil)
	return &Meter{prefixes: prefixes}
}

// Len returns the number of prefixes measured.
func (m *Meter) Len() int { return m.prefixes.Len() }

// Add counts the work of one request for a prefix and returns on how many
// engines the prefix should lie.
func (m *Meter) Add(now time.Time, key uint64, work time.Duration) int {
	p, ok := m.prefixes.Get(key)
	if !ok {
		p = &prefix{at: now, holders: 1}
		m.prefixes.Add(key, p)
	}
	p.work = p.work*math.Exp(-now.Sub(p.at).Seconds()/window.Seconds()) + work.Seconds()/window.Seconds()
	p.at = now
	p.settle()
	return p.holders
}

// settle moves the number of holders by hysteresis.
func (p *prefix) settle() {
	for p.work > spreadAt*float64(p.holders) {
		p.holders++
	}
	for p.holders > 1 && p.work < drawAt*float64(p.holders-1) {
		p.holders--
	}
}
