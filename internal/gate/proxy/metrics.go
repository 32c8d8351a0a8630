package proxy

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// ratioBuckets are the bucket bounds of the histogram of the expected over the actual
// time: a sixth to six, with 0.67 and 1.5 among them.
var ratioBuckets = tally.ValueBuckets{0.16, 0.3, 0.44, 0.67, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2.25, 3.4, 6}

// meters updates the metrics of requests. It caches the histograms by metric and
// route.
type meters struct {
	scope      tally.Scope
	mu         sync.Mutex
	histograms map[string]tally.Histogram
}

func newMeters(scope tally.Scope) meters {
	return meters{scope: scope, histograms: map[string]tally.Histogram{}}
}

// retryLabels are the beginnings of the reasons for another attempt. The rest of a reason
// has addresses and ports, each of which would make a series of its own.
var retryLabels = []string{
	"no time left", "held back", "refused", "not reached", "no answer", "no headers in time", "not begun", "failure", "answer to another request",
	"answer without seal", "answer without events", "answer broken off", "stream broken off", "more than", "no memory",
}

// retryLabel returns the label of a reason, from a closed set.
func retryLabel(reason string) string {
	for _, label := range retryLabels {
		if strings.HasPrefix(reason, label) {
			return label
		}
	}
	return "other"
}

func (m *meters) count(name, reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}

// record adds a duration to a route's histogram.
func (m *meters) record(name, route string, took time.Duration) {
	m.mu.Lock()
	h, ok := m.histograms[name+route]
	if !ok {
		h = m.scope.Tagged(map[string]string{"route": route}).Histogram(name, latencyBuckets)
		m.histograms[name+route] = h
	}
	m.mu.Unlock()
	h.RecordDuration(took)
}

// recordRatio adds the expected over the actual time of an answer to a route's histogram.
func (m *meters) recordRatio(name, route string, expected, actual time.Duration) {
	if actual <= 0 {
		return
	}
	m.mu.Lock()
	h, ok := m.histograms[name+route]
	if !ok {
		h = m.scope.Tagged(map[string]string{"route": route}).Histogram(name, ratioBuckets)
		m.histograms[name+route] = h
	}
	m.mu.Unlock()
	h.RecordValue(float64(expected) / float64(actual))
}

// random returns a generator of numbers in [0, 1). It is safe for concurrent use.
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
