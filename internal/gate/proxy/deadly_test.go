package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
)

// crashOn begins to answer, and breaks off if the request holds the part.
func crashOn(part string) target {
	return func(w http.ResponseWriter, r *http.Request, arrival int) {
		if !strings.Contains(r.Header.Get("Parts"), part) {
			events(3, 0)(w, r, arrival)
			return
		}
		seal(w, r)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// crashPause is longer than the time in which crashes count as one.
const crashPause = 500 * time.Millisecond

// TestPartThatCrashesTargetsIsRefused guards against requests that crash target after
// target because they share one part of their prompts, though no two are alike.
func TestPartThatCrashesTargetsIsRefused(t *testing.T) {
	for name, position := range map[string]int{"first part": 0, "middle part": 1, "last but one": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, []target{crashOn("bad"), crashOn("bad")})
			w.crashed.Store(true)
			refused := 0
			for i := range 12 {
				parts := []string{"common", "sheet", "note"}
				if got := w.sendBody(t, "/resume/x", fmt.Sprint("sound", i), "Model", "m", "Parts", strings.Join(append(parts, fmt.Sprint("own", i)), ",")); got.status != http.StatusOK {
					t.Errorf("sound request %d: status %d", i, got.status)
				}
				parts[position] = "bad"
				got := w.sendBody(t, "/resume/x", fmt.Sprint("body", i), "Model", "m", "Parts", strings.Join(append(parts, fmt.Sprint("other", i)), ","))
				if got.header.Get(fault.CodeHeader) == "crashRequest" {
					refused++
					assert.Equal(t, http.StatusServiceUnavailable, got.status)
					continue
				}
				assert.Equal(t, http.StatusBadGateway, got.status, "what may have crashed its target isn't sent again")
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
