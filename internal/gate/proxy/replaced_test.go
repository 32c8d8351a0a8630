package proxy_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
)

// maintainInterval is that of a host's maintenance.
const maintainInterval = 50 * time.Millisecond

// maintain lets the handler cancel attempts that may no longer begin until the test ends.
func (w *fixture) maintain(t *testing.T) {
	t.Helper()
	go func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(maintainInterval)
			w.handler.CancelReplaced(time.Now())
			w.handler.CancelRescoped(time.Now())
		}
	}(t.Context())
}

// recordVersion sets the version that both targets serve.
func recordVersion(o *proxy.Options, version uint64) {
	for _, id := range []string{"t0", "t1"} {
		o.Picker.RecordVersion(id, pick.ObservedVersion{Born: 1, Model: "m", Version: version})
	}
}

// TestWaitingRequestsLeaveReplacedWeights guards against requests that were sent before
// the limit on replaced weights, waited at the engine, and began after the operators'
// bound, also if the newer weights were named only after the request was sent.
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
		for when, named := range map[string]time.Duration{"named before": 0, "named while it waits": 250 * time.Millisecond} {
			t.Run(name+", "+when, func(t *testing.T) {
				t.Parallel()
				w := newFixture(t, []target{test.target, test.target}, func(o *proxy.Options) { nameAndLoad(t, o, named) })
				w.maintain(t)
				began := time.Now()
				got := w.sendBody(t, test.path, "body", "Model", "m")
				require.NoError(t, got.err)
				assert.Equal(t, test.status, got.status)
				assert.Equal(t, test.arrivals, int(w.arrivals.Load()))
				assert.Less(t, time.Since(began), 4*time.Second)
			})
		}
	}
}

// TestAttemptsEndWithoutNewerWeights guards against requests that stay at a mute engine,
// or are sent to another one with replaced weights, while no target has the newer
// version yet.
func TestAttemptsEndWithoutNewerWeights(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, []target{hanging, hanging}, func(o *proxy.Options) { nameWeights(t, o, 300*time.Millisecond) })
			w.maintain(t)
			began := time.Now()
			go func() { _ = w.sendBody(t, path, "body", "Model", "m") }()
			select {
			case <-w.ended:
				assert.Greater(t, time.Since(began), time.Second, "it may begin until 1.5 s")
			case <-time.After(4 * time.Second):
				assert.Fail(t, "the request is still at the engine")
			}
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, 1, int(w.arrivals.Load()))
		})
	}
}

// TestUnaryRequestThatMayHaveBegunIsKept guards against errors for clients whose request
// had begun in time: its headers arrive with its whole response, after the weights may no
// longer begin requests.
func TestUnaryRequestThatMayHaveBegunIsKept(t *testing.T) {
	slow := func(rw http.ResponseWriter, r *http.Request, arrival int) {
		select {
		case <-time.After(2 * time.Second):
			good(rw, r, arrival)
		case <-r.Context().Done():
		}
	}
	for when, named := range map[string]time.Duration{"named before": 0, "named while it runs": 250 * time.Millisecond} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, []target{slow, slow}, func(o *proxy.Options) { nameAndLoad(t, o, named) })
			w.maintain(t)
			got := w.sendBody(t, "/once/x", "body", "Model", "m")
			require.NoError(t, got.err)
			assert.Equal(t, 200, got.status)
			assert.Equal(t, 1, int(w.arrivals.Load()))
		})
	}
}

// nameAndLoad is nameWeights with targets that load version 2 after 300 ms.
func nameAndLoad(t *testing.T, o *proxy.Options, named time.Duration) {
	t.Helper()
	nameWeights(t, o, named)
	after(t, o, 300*time.Millisecond, func() { recordVersion(o, 2) })
}

// nameWeights makes the targets serve version 1, and names version 2 after a while.
// From then on requests may be sent to version 1 for 200 ms, and begin for 1 s more.
func nameWeights(t *testing.T, o *proxy.Options, named time.Duration) {
	t.Helper()
	recordVersion(o, 1)
	o.Picker.Announce(time.Now(), "m", pick.AnnouncedVersion{Version: 1, Age: time.Minute})
	o.Picker.SetMaxReplacedAge(time.Now(), 10200*time.Millisecond)
	name := func() {
		o.Picker.Announce(time.Now(), "m", pick.AnnouncedVersion{Version: 2, Age: 10 * time.Second})
	}
	if named == 0 {
		name()
		return
	}
	after(t, o, named, name)
}

// after runs a function with the lock held after a while, unless the test has ended.
func after(t *testing.T, o *proxy.Options, pause time.Duration, act func()) {
	t.Helper()
	timer := time.AfterFunc(pause, func() {
		o.Lock.Lock()
		defer o.Lock.Unlock()
		act()
	})
	t.Cleanup(func() { timer.Stop() })
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
