package proxy_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
)

// TestRequestLeavesTheQueueOfALeavingTarget guards against requests that were chosen for
// a target, waited for one of its connections and were sent after it had left.
func TestRequestLeavesTheQueueOfALeavingTarget(t *testing.T) {
	tests := map[string]struct {
		// swept is true if the owner of the handler looks for such requests.
		swept bool
		left  func(old roster.Target) map[string]roster.Target
	}{
		"leaving, found at the first byte": {left: func(old roster.Target) map[string]roster.Target {
			old.Leaving = true
			return map[string]roster.Target{"t0": old}
		}},
		"gone, found at the first byte": {left: func(roster.Target) map[string]roster.Target { return map[string]roster.Target{} }},
		"another start, found at the first byte": {left: func(old roster.Target) map[string]roster.Target {
			old.Born, old.Leaving = 2, true
			return map[string]roster.Target{"t0": old}
		}},
		"leaving, found while it waits": {swept: true, left: func(old roster.Target) map[string]roster.Target {
			old.Leaving = true
			return map[string]roster.Target{"t0": old}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			var once sync.Once
			free := func() { once.Do(func() { close(release) }) }
			defer free()
			var picker *pick.Picker
			var lock *sync.Mutex
			w := newFixture(t, []target{
				func(rw http.ResponseWriter, r *http.Request, _ int) {
					<-release
					good(rw, r, 0)
				},
				func(rw http.ResponseWriter, r *http.Request, _ int) {
					seal(rw, r)
					_, _ = rw.Write([]byte("other"))
				},
			}, func(o *proxy.Options) {
				picker, lock = o.Picker, o.Lock
				p := testPlan(longTimeout, longTimeout/2)
				p.Services["app"] = plan.Service{Name: "app", MaxConns: 1}
				o.Plan = func() *plan.Plan { return p }
				picker.SetPlan(p)
			})
			both := map[string]roster.Target{}
			for id, address := range w.addresses {
				both[id] = roster.Target{ID: id, Born: 1, Service: "app", Address: address, Slots: 8}
			}
			set := func(list map[string]roster.Target) {
				lock.Lock()
				defer lock.Unlock()
				picker.SetTargets(list)
			}
			set(map[string]roster.Target{"t0": both["t0"]})
			replies := make(chan reply, 3)
			send := func(context.Context) { replies <- w.send(t, "/once/x") }
			// The pool opens two connections at least.
			for range 2 {
				go send(t.Context())
			}
			require.Eventually(t, func() bool { return w.arrivals.Load() == 2 }, longTimeout, time.Millisecond)
			go send(t.Context())
			require.Eventually(t, func() bool { return w.handler.Active() == 3 }, longTimeout, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			list := test.left(both["t0"])
			list["t1"] = both["t1"]
			set(list)
			if test.swept {
				w.handler.CancelUnsent()
				got := <-replies
				require.NoError(t, got.err)
				assert.Equal(t, "other", got.body, "the request doesn't wait for a connection")
			}
			free()
			bodies := map[string]int{}
			for len(bodies) == 0 || bodies["good"]+bodies["other"] < 3 {
				if test.swept && bodies["good"] == 2 {
					break
				}
				got := <-replies
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				bodies[got.body]++
			}
			assert.Equal(t, 2, bodies["good"])
			assert.EqualValues(t, 3, w.arrivals.Load())
		})
	}
}
