package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
)

// TestCancelledAttemptForwardsNothing guards against streams that were cut off after
// their first events: the host cancelled the attempt while its headers arrived, and no
// other target took the request.
func TestCancelledAttemptForwardsNothing(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			arrived, answer, answered := make(chan struct{}), make(chan struct{}), make(chan struct{})
			w := newFixture(t, []target{func(rw http.ResponseWriter, r *http.Request, arrival int) {
				close(arrived)
				<-answer
				events(3, 0)(rw, r, arrival)
				close(answered)
				<-r.Context().Done()
			}})
			replies := make(chan reply, 1)
			go func() { replies <- w.sendBody(t, path, "body", "Model", "m") }()
			<-arrived
			w.handler.CancelWaiting(func() {
				close(answer)
				<-answered
				time.Sleep(100 * time.Millisecond)
			})
			got := <-replies
			require.NoError(t, got.err, "the answer is whole")
			assert.Equal(t, http.StatusBadGateway, got.status)
			assert.Contains(t, got.body, `"ran":"unknown"`)
		})
	}
}

// shortObjective is an objective after twice of which a target counts as silent.
const shortObjective = 100 * time.Millisecond

// TestSilenceEndsNoAnswer guards against requests that ended with an error although
// their target was about to answer: the host cancelled the attempt since its headers took
// long, and no other target took the request.
func TestSilenceEndsNoAnswer(t *testing.T) {
	slow := func(serve target) target {
		return func(rw http.ResponseWriter, r *http.Request, arrival int) {
			select {
			case <-time.After(8 * shortObjective):
				serve(rw, r, arrival)
			case <-r.Context().Done():
			}
		}
	}
	tests := map[string]struct {
		targets []target
		setup   func(*proxy.Options)
		// body is the answer, arrivals the number of requests at targets.
		body     string
		arrivals int32
	}{
		"no other target":         {targets: []target{slow(good)}, body: "good", arrivals: 1},
		"the retries are used up": {targets: []target{slow(good), slow(good)}, setup: func(o *proxy.Options) { o.RetryBound.Ratio, o.RetryBound.Slack = 0, 0 }, body: "good", arrivals: 1},
		"another target answers":  {targets: []target{first(slow(failing), good), first(slow(failing), good)}, body: "good", arrivals: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, test.targets, func(o *proxy.Options) {
				p := testPlan(longTimeout, shortObjective)
				o.Plan = func() *plan.Plan { return p }
				o.Picker.SetPlan(p)
				if test.setup != nil {
					test.setup(o)
				}
			})
			got := w.send(t, "/safe/x")
			require.NoError(t, got.err)
			assert.Equal(t, http.StatusOK, got.status)
			assert.Equal(t, test.body, got.body)
			assert.Equal(t, test.arrivals, w.arrivals.Load())
		})
	}
}
