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

// queue is a gateway with two targets of which only the first is listed. Its two
// connections are busy, and a third request waits for one.
type queue struct {
	*fixture
	picker  *pick.Picker
	lock    *sync.Mutex
	first   roster.Target
	replies chan reply
	// free ends the requests that run.
	free func()
}

func (q *queue) setTargets(list map[string]roster.Target) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.picker.SetTargets(list)
}

func newQueue(t *testing.T, options ...option) *queue {
	t.Helper()
	release := make(chan struct{})
	var once sync.Once
	q := &queue{replies: make(chan reply, 3), free: func() { once.Do(func() { close(release) }) }}
	t.Cleanup(q.free)
	busy := func(rw http.ResponseWriter, r *http.Request, _ int) {
		<-release
		good(rw, r, 0)
	}
	other := func(rw http.ResponseWriter, r *http.Request, _ int) {
		seal(rw, r)
		_, _ = rw.Write([]byte("other"))
	}
	q.fixture = newFixture(t, []target{busy, other}, func(o *proxy.Options) {
		q.picker, q.lock = o.Picker, o.Lock
		p := testPlan(longTimeout, longTimeout/2)
		// The pool opens two connections at least.
		p.Services["app"] = plan.Service{Name: "app", MaxConns: 1}
		o.Plan = func() *plan.Plan { return p }
		o.Picker.SetPlan(p)
		for _, apply := range options {
			apply(o)
		}
	})
	q.first = q.target("t0")
	q.setTargets(map[string]roster.Target{"t0": q.first})
	for active := 1; active <= 3; active++ {
		go func(context.Context) { q.replies <- q.send(t, "/once/x") }(t.Context())
		require.Eventually(t, func() bool {
			return q.handler.Active() == active && int(q.arrivals.Load()) == min(active, 2)
		}, longTimeout, time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	return q
}

func (q *queue) target(id string) roster.Target {
	return roster.Target{ID: id, Born: 1, Service: "app", Address: q.addresses[id], Slots: 8}
}

// TestRequestLeavesTheQueueOfALeavingTarget guards against requests that were chosen for
// a target, waited for one of its connections and were sent after it had left.
func TestRequestLeavesTheQueueOfALeavingTarget(t *testing.T) {
	leaving := func(old roster.Target) map[string]roster.Target {
		old.Leaving = true
		return map[string]roster.Target{"t0": old}
	}
	tests := map[string]struct {
		// swept is true if the owner of the handler looks for such requests.
		swept bool
		left  func(old roster.Target) map[string]roster.Target
	}{
		"leaving, found at the first byte": {left: leaving},
		"gone, found at the first byte":    {left: func(roster.Target) map[string]roster.Target { return map[string]roster.Target{} }},
		"another start, found at the first byte": {left: func(old roster.Target) map[string]roster.Target {
			old.Born = 2
			return leaving(old)
		}},
		"leaving, found while it waits": {swept: true, left: leaving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := newQueue(t)
			list := test.left(q.first)
			list["t1"] = q.target("t1")
			q.setTargets(list)
			bodies := map[string]int{}
			if test.swept {
				q.handler.CancelUnsent()
				bodies[(<-q.replies).body]++
				assert.Equal(t, 1, bodies["other"], "the request doesn't wait for a connection")
			}
			q.free()
			for bodies["good"]+bodies["other"] < 3 {
				got := <-q.replies
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				bodies[got.body]++
			}
			assert.Equal(t, map[string]int{"good": 2, "other": 1}, bodies)
		})
	}
}
