package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
)

// TestWaitingRequestsLeaveReplacedWeights guards against requests that were sent before
// the limit on replaced weights, waited at the engine, and began after the operators'
// bound.
func TestWaitingRequestsLeaveReplacedWeights(t *testing.T) {
	tests := map[string]struct {
		path   string
		target target
		// status is the client's, arrivals the number of requests to targets.
		status, arrivals int
	}{
		"idempotent, the other target answers": {"/safe/x", first(hanging, good), 200, 2},
		"a stream that may be resumed":         {"/resume/x", first(hanging, events(3, 0)), 200, 2},
		"a stream that may run once":           {"/stream/x", hanging, 502, 1},
		"a slow answer that has begun":         {"/stream/x", slowEvents, 200, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, []target{test.target, test.target}, func(o *proxy.Options) {
				now := time.Now()
				loaded := time.AfterFunc(300*time.Millisecond, func() {
					o.Lock.Lock()
					defer o.Lock.Unlock()
					for _, id := range []string{"t0", "t1"} {
						o.Picker.RecordVersion(id, pick.ObservedVersion{Born: 1, Model: "m", Version: 2})
					}
				})
				t.Cleanup(func() { loaded.Stop() })
				for _, id := range []string{"t0", "t1"} {
					o.Picker.RecordVersion(id, pick.ObservedVersion{Born: 1, Model: "m", Version: 1})
				}
				o.Picker.Announce(now, "m", pick.AnnouncedVersion{Version: 2, Age: 10 * time.Second})
				// Requests may be sent for another 200 ms, and begin for 1 s more.
				o.Picker.SetMaxReplacedAge(now, 10200*time.Millisecond)
			})
			began := time.Now()
			got := w.sendBody(t, test.path, "body", "Model", "m")
			require.NoError(t, got.err)
			assert.Equal(t, test.status, got.status)
			assert.Equal(t, test.arrivals, int(w.arrivals.Load()))
			assert.Less(t, time.Since(began), longTimeout/4)
		})
	}
}

// slowEvents begins to answer at once and sends its event after the bound.
func slowEvents(w http.ResponseWriter, r *http.Request, arrival int) {
	seal(w, r)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-time.After(2 * time.Second):
		events(1, 0)(w, r, arrival)
	case <-r.Context().Done():
	}
}
