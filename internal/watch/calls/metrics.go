package calls

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

type metricsKey struct {
	workspace string
	class     string
}

// workspaceMetrics holds the metrics of one workspace and class.
type workspaceMetrics struct {
	answered, notRun, unknown             tally.Counter
	prompt, cached, recomputed, generated tally.Counter
	ttft, interToken, total               tally.Histogram
	running                               *gauge
	requests                              atomic.Int64
}

// gauge reports a value that is changed by differences.
type gauge struct {
	value atomic.Int64
	out   tally.Gauge
}

func (g *gauge) add(delta int64) { g.out.Update(float64(g.value.Add(delta))) }

func newWorkspaceMetrics(scope tally.Scope, key metricsKey) *workspaceMetrics {
	s := scope.Tagged(map[string]string{"workspace": key.workspace, "class": key.class})
	outcome := func(name string) tally.Counter {
		return s.Tagged(map[string]string{"outcome": name}).Counter("requests")
	}
	return &workspaceMetrics{
		answered: outcome("answered"), notRun: outcome("notRun"), unknown: outcome("unknown"),
		prompt: s.Counter("prompt_tokens"), cached: s.Counter("cached_tokens"),
		recomputed: s.Counter("recomputed_tokens"), generated: s.Counter("generated_tokens"),
		ttft:       s.Histogram("ttft_seconds", ttftBuckets()),
		interToken: s.Histogram("inter_token_seconds", interTokenBuckets()),
		total:      s.Histogram("total_seconds", totalBuckets()),
		running:    &gauge{out: s.Gauge("running_requests")},
	}
}

func ttftBuckets() tally.DurationBuckets {
	return millis(10, 25, 50, 100, 200, 350, 500, 750, 1000, 2000, 5000, 15000, 60000)
}

func interTokenBuckets() tally.DurationBuckets {
	return millis(1, 5, 10, 20, 30, 50, 100, 250, 1000, 5000)
}

func totalBuckets() tally.DurationBuckets {
	return millis(100, 250, 500, 1000, 2000, 5000, 10000, 30000, 60000, 300000)
}

func millis(values ...int) tally.DurationBuckets {
	buckets := make(tally.DurationBuckets, 0, len(values))
	for _, value := range values {
		buckets = append(buckets, time.Duration(value)*time.Millisecond)
	}
	return buckets
}
