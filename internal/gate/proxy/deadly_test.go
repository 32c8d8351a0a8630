package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
)

// crashOn begins to answer, and breaks off after a pause and some events if the request
// holds the part.
func crashOn(part string, pause time.Duration, sent int) target {
	return func(w http.ResponseWriter, r *http.Request, arrival int) {
		if !strings.Contains(r.Header.Get("Parts"), part) {
			events(3, 0)(w, r, arrival)
			return
		}
		seal(w, r)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
		}
		if sent > 0 {
			events(sent, 0)(w, r, arrival)
		}
		panic(http.ErrAbortHandler)
	}
}

// TestRequestsWithEqualBodiesDiffer guards against refusing all requests of a workspace
// and path because some with the same body crash targets on a part of their prompts.
func TestRequestsWithEqualBodiesDiffer(t *testing.T) {
	w := newFixture(t, []target{crashOn("bad", 0, 0), crashOn("bad", 0, 0)})
	w.crashed.Store(true)
	for i := range 3 {
		w.sendBody(t, "/resume/x", "{}", "Model", "m", "Parts", fmt.Sprint("common,bad,own", i))
		time.Sleep(crashPause)
	}
	got := w.sendBody(t, "/resume/x", "{}", "Model", "m", "Parts", "common,sheet,own")
	assert.Equal(t, http.StatusOK, got.status)
}

// TestWaitingRequestsAreCancelledOnceRefused guards against requests that were sent
// before a part was known to crash engines, wait there, and crash one more each.
func TestWaitingRequestsAreCancelledOnceRefused(t *testing.T) {
	waiting := make(chan struct{}, 1)
	crashes := crashOn("bad", 0, 0)
	serve := func(w http.ResponseWriter, r *http.Request, arrival int) {
		if strings.Contains(r.Header.Get("Parts"), "waits") {
			waiting <- struct{}{}
			hanging(w, r, arrival)
			return
		}
		crashes(w, r, arrival)
	}
	w := newFixture(t, []target{serve, serve})
	w.crashed.Store(true)
	ended := make(chan reply, 1)
	go func(context.Context) {
		ended <- w.sendBody(t, "/stream/x", "waiting", "Model", "m", "Parts", "common,bad,waits")
	}(t.Context())
	<-waiting
	w.handler.CancelDeadly(time.Now())
	for i := range 2 {
		w.sendBody(t, "/resume/x", fmt.Sprint("body", i), "Model", "m", "Parts", fmt.Sprint("common,bad,own", i))
		time.Sleep(crashPause)
	}
	select {
	case <-ended:
		t.Fatal("the request must wait until the part is refused")
	default:
	}
	w.handler.CancelDeadly(time.Now())
	got := <-ended
	assert.Equal(t, http.StatusBadGateway, got.status, "it may have begun")
}

// TestOnlyAnswersClearAPart guards against requests that crash targets and are never
// found, since other requests with the same part are rejected or end without an event.
func TestOnlyAnswersClearAPart(t *testing.T) {
	rejected := func(w http.ResponseWriter, r *http.Request, _ int) {
		seal(w, r)
		w.WriteHeader(http.StatusUnprocessableEntity)
	}
	empty := func(w http.ResponseWriter, r *http.Request, _ int) { seal(w, r) }
	for name, other := range map[string]target{"rejected": rejected, "a stream without events": empty} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashes := crashOn("bad", 0, 0)
			serve := func(w http.ResponseWriter, r *http.Request, arrival int) {
				if arrival%2 == 0 {
					other(w, r, arrival)
					return
				}
				crashes(w, r, arrival)
			}
			w := newFixture(t, []target{serve, serve})
			w.crashed.Store(true)
			refused := 0
			for i := range 8 {
				got := w.sendBody(t, "/resume/x", fmt.Sprint("body", i), "Model", "m", "Parts", fmt.Sprint("common,bad,own", i))
				if got.header.Get(fault.CodeHeader) == "crashRequest" {
					refused++
					continue
				}
				time.Sleep(crashPause)
			}
			assert.GreaterOrEqual(t, refused, 4)
		})
	}
}

// crashPause is longer than the time in which crashes count as one.
const crashPause = 500 * time.Millisecond

// TestPartThatCrashesTargetsIsRefused guards against requests that crash target after
// target because they share one part of their prompts, though no two are alike.
func TestPartThatCrashesTargetsIsRefused(t *testing.T) {
	tests := map[string]struct {
		position int
		pause    time.Duration
		// events is the number of events before the crash.
		events int
	}{
		"first part":                     {position: 0},
		"middle part":                    {position: 1},
		"last but one":                   {position: 2},
		"long after the headers":         {position: 1, pause: 300 * time.Millisecond},
		"right after the first event":    {position: 1, events: 1},
		"after a first event that waits": {position: 1, pause: 300 * time.Millisecond, events: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashes := crashOn("bad", test.pause, test.events)
			w := newFixture(t, []target{crashes, crashes})
			w.crashed.Store(true)
			refused := 0
			for i := range 12 {
				parts := []string{"common", "sheet", "note"}
				if got := w.sendBody(t, "/resume/x", fmt.Sprint("sound", i), "Model", "m", "Parts", strings.Join(append(parts, fmt.Sprint("own", i)), ",")); got.status != http.StatusOK {
					t.Errorf("sound request %d: status %d", i, got.status)
				}
				parts[test.position] = "bad"
				got := w.sendBody(t, "/resume/x", fmt.Sprint("body", i), "Model", "m", "Parts", strings.Join(append(parts, fmt.Sprint("other", i)), ","))
				if got.header.Get(fault.CodeHeader) == "crashRequest" {
					refused++
					assert.Equal(t, http.StatusServiceUnavailable, got.status)
					continue
				}
				assert.True(t, got.status == http.StatusBadGateway || got.err != nil, "what may have crashed its target isn't sent again")
				time.Sleep(crashPause)
			}
			assert.Equal(t, 10, refused)
		})
	}
}

// TestRequestThatCrashesTargetsIsRefused guards against a request that crashes every
// target that runs it and comes again unchanged.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	w := newFixture(t, []target{reset, reset})
	w.crashed.Store(true)
	for range 2 {
		assert.Equal(t, http.StatusBadGateway, w.send(t, "/once/x").status)
		time.Sleep(crashPause)
	}
	before := w.arrivals.Load()
	got := w.send(t, "/once/x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, "crashRequest", got.header.Get(fault.CodeHeader))
	assert.Equal(t, before, w.arrivals.Load())
	assert.NotEqual(t, "crashRequest", w.send(t, "/safe/x").header.Get(fault.CodeHeader), "another request is served")
}

// TestBrokenConnectionsAreNoCrashes guards against refusing requests whose connections
// broke while their targets lived.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	w := newFixture(t, []target{reset, reset})
	for range 3 {
		w.send(t, "/once/x")
		time.Sleep(crashPause)
	}
	assert.NotEqual(t, "crashRequest", w.send(t, "/once/x").header.Get(fault.CodeHeader))
}
