// Package outage makes any stand-in fail on demand: refuse for a while, answer
// late, or take effect and lose the reply.
package outage

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Fault is something that goes wrong for a while.
type Fault struct {
	// Kind is "down" (refuse before any effect), "lose" (lose replies after the
	// effect) or "slow" (wait before the effect).
	Kind string `json:"kind"`
	// Millis is how long it lasts.
	Millis int `json:"millis"`
	// Every is the part of calls that lose their reply, one in so many; zero
	// counts as one.
	Every int `json:"every"`
	// DelayMillis is how long a slow call waits.
	DelayMillis int `json:"delayMillis"`
}

// Gate is a handler in front of a stand-in's.
type Gate struct {
	next http.Handler

	mu     sync.Mutex
	fault  Fault
	until  time.Time
	calls  int
	losses int
}

// New returns a gate that lets everything pass until told otherwise by a POST
// to /standin/faults. GET /standin/faults tells how many replies it lost.
//
//	handler := outage.New(store.Handler())
func New(next http.Handler) *Gate { return &Gate{next: next} }

// Inject makes something go wrong from now on.
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
	switch f := g.present(); f.Kind {
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

// present returns what goes wrong with the present call.
func (g *Gate) present() Fault {
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
	g.losses++
	return g.fault
}

func (g *Gate) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		g.mu.Lock()
		losses := g.losses
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
