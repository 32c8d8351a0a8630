package proxy_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/proxy"
)

// TestRetriesMakeNoSeriesEach guards against a series of the metrics for each connection
// that broke, which fill the memory of a host in hours.
func TestRetriesMakeNoSeriesEach(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	w := newFixture(t, []target{resetOften(), resetOften()}, func(o *proxy.Options) { o.Scope = scope; o.RetryBound.Slack = 1000 })
	for range 30 {
		_ = w.send(t, "/safe/x")
	}
	reasons := map[string]bool{}
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "second_sendings" {
			reasons[counter.Tags()["reason"]] = true
		}
	}
	assert.Equal(t, map[string]bool{"no answer": true}, reasons)
}

// resetOften resets the connection of every second request.
func resetOften() target {
	var mu sync.Mutex
	requests := 0
	return func(w http.ResponseWriter, r *http.Request, arrival int) {
		mu.Lock()
		requests++
		odd := requests%2 == 1
		mu.Unlock()
		if odd {
			reset(w, r, arrival)
			return
		}
		good(w, r, arrival)
	}
}

func TestLabelsOfReasons(t *testing.T) {
	tests := map[string]string{
		"no answer: read tcp 10.1.0.42:32831->10.1.64.9:8707: read: connection reset by peer": "no answer",
		"not reached: dial tcp 10.1.64.9:8707: connect: connection refused":                   "not reached",
		"refused with 503":     "refused",
		"failure 599":          "failure",
		"something unforeseen": "other",
	}
	for reason, want := range tests {
		got := proxy.RetryLabel(reason)
		require.Equal(t, want, got)
		assert.False(t, strings.ContainsAny(got, "0123456789"))
	}
}
