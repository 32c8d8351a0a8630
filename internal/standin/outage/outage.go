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

// Injector is a handler that injects faults in front of another handler.
type Injector struct {
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
func New(next http.Handler) *Injector { return &Injector{next: next} }

// Inject starts a fault. It replaces an earlier one.
func (i *Injector) Inject(f Fault) error {
	switch f.Kind {
	case "down", "lose", "slow":
	default:
		return fmt.Errorf("no such fault: %q", f.Kind)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = f
	i.until = time.Now().Add(time.Duration(f.Millis) * time.Millisecond)
	return nil
}

// ServeHTTP implements [http.Handler].
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin/faults" {
		i.serveFaults(w, r)
		return
	}
	switch f := i.nextFault(); f.Kind {
	case "down":
		http.Error(w, "the stand-in is down", http.StatusServiceUnavailable)
	case "slow":
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		i.next.ServeHTTP(w, r)
	case "lose":
		i.next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	default:
		i.next.ServeHTTP(w, r)
	}
}

// nextFault returns the fault for the current request, and counts the request if
// responses are dropped.
func (i *Injector) nextFault() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !time.Now().Before(i.until) {
		return Fault{}
	}
	if i.fault.Kind != "lose" {
		return i.fault
	}
	i.calls++
	if i.calls%max(1, i.fault.Every) != 0 {
		return Fault{}
	}
	i.dropped++
	return i.fault
}

func (i *Injector) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		i.mu.Lock()
		losses := i.dropped
		i.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]int{"losses": losses})
		return
	}
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := i.Inject(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
