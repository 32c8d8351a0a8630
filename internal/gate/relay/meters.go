package relay

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencies are the buckets of latency histograms.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// meters keeps the metrics that each request touches.
type meters struct {
	scope tally.Scope
	mu    sync.Mutex
	took  map[string]tally.Histogram
}

func newMeters(scope tally.Scope) meters {
	return meters{scope: scope, took: map[string]tally.Histogram{}}
}

func (m *meters) count(name, reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}

// record notes how long a request of a route took to its first event and to its
// end.
func (m *meters) record(name, route string, took time.Duration) {
	m.mu.Lock()
	h, ok := m.took[name+route]
	if !ok {
		h = m.scope.Tagged(map[string]string{"route": route}).Histogram(name, latencies)
		m.took[name+route] = h
	}
	m.mu.Unlock()
	h.RecordDuration(took)
}

// random returns numbers from 0 up to 1. It is safe for concurrent use.
func random() func() float64 {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	source := mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Float64()
	}
}
