package proxy

import (
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/queue"
)

// countWait counts a request that left the queue, and its time in it.
func (m *meters) countWait(rank int, waited time.Duration, err error) {
	name := "queue_admitted"
	if err != nil {
		name = "queue_rejected"
	}
	label := strconv.Itoa(rank)
	m.scope.Tagged(map[string]string{"rank": label}).Counter(name).Inc(1)
	m.mu.Lock()
	h, ok := m.histograms["queue_time/"+label]
	if !ok {
		h = m.scope.Tagged(map[string]string{"rank": label}).Histogram("queue_time", latencyBuckets)
		m.histograms["queue_time/"+label] = h
	}
	m.mu.Unlock()
	h.RecordDuration(waited)
}

// gaugeWaits updates the gauges of the queues.
func (m *meters) gaugeWaits(queues map[string]*queue.Queue, levels map[string]int, age time.Duration) {
	var waiting [queue.Ranks]int
	for _, q := range queues {
		for _, counts := range q.Waiting() {
			for r, c := range counts {
				waiting[r] += c.Requests
			}
		}
	}
	for r, n := range waiting {
		m.scope.Tagged(map[string]string{"rank": strconv.Itoa(r)}).Gauge("queue_waiting").Update(float64(n))
	}
	for pool, level := range levels {
		m.scope.Tagged(map[string]string{"pool": pool}).Gauge("queue_level").Update(float64(level))
	}
	m.scope.Gauge("queue_level_age_seconds").Update(age.Seconds())
}
