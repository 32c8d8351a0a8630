// Package outage injects faults in front of a stand-in: for a while, it refuses
// requests, delays them, or drops responses after the request took effect.
package outage

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Fault is a fault to inject.
type Fault struct {
	// Kind is "down" (refuse without effect), "lose" (drop the response after the
	// effect) or "slow" (delay before the effect).
	Kind string `json:"kind"`
	// Millis is the duration of the fault.
	Millis int `json:"millis"`
	// Every makes "lose" drop one in this many responses; zero counts as one.
	Every int `json:"every"`
	// DelayMillis is the delay of each request for "slow".
	DelayMillis int `json:"delayMillis"`
}

// Gate is a handler that injects faults in front of another handler.
type Gate struct {
	next http.Handler

	mu      sync.Mutex
	fault   Fault
	until   time.Time
	calls   int
	dropped int
}

// New returns a gate without a fault. A POST to /standin/faults injects a [Fault]
// in JSON, and a GET returns the number of dropped responses as "losses".
//
//	handler := outage.New(store.Handler())
func New(next http.Handler) *Gate { return &Gate{next: next} }

// Inject starts a fault. It replaces an earlier one.
func (g *Gate) Inject(f Fault) error {
	switch f.Kind {
	case "down", "lose", "slow":
	default:
		return fmt.Errorf("no such fault: %q", f.Kind)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = f
	g.until = time.Now().Add(time.Duration(f.Millis) * time.Millisecond)
	return nil
}

// ServeHTTP implements [http.Handler].
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin/faults" {
		g.serveFaults(w, r)
		return
	}
	switch f := g.nextFault(); f.Kind {
	case "down":
		http.Error(w, "the stand-in is down", http.StatusServiceUnavailable)
	case "slow":
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		g.next.ServeHTTP(w, r)
	case "lose":
		g.next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	default:
		g.next.ServeHTTP(w, r)
	}
}

// nextFault returns the fault for the current request, and counts the request if
// responses are dropped.
func (g *Gate) nextFault() Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !time.Now().Before(g.until) {
		return Fault{}
	}
	if g.fault.Kind != "lose" {
		return g.fault
	}
	g.calls++
	if g.calls%max(1, g.fault.Every) != 0 {
		return Fault{}
	}
	g.dropped++
	return g.fault
}

func (g *Gate) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		g.mu.Lock()
		losses := g.dropped
		g.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]int{"losses": losses})
		return
	}
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.Inject(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
