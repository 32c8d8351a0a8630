// Package health answers the balancer and the supervisor of a process.
package health

import (
	"net/http"
	"sync/atomic"
)

// State is whether this process lives and whether it wants new connections.
// Readiness never waits on the table, the object store or a peer.
type State struct {
	ready atomic.Bool
}

// New returns a state that is alive and not ready yet.
//
//	state := health.New()
//	mux.Handle("/", state.Around(handler))
//	state.SetReady(true)
func New() *State { return &State{} }

// SetReady says whether a balancer should send new connections here.
func (s *State) SetReady(ready bool) { s.ready.Store(ready) }

// Ready tells whether a balancer should send new connections here.
func (s *State) Ready() bool { return s.ready.Load() }

// Around answers GET /healthz and GET /readyz and hands the rest to next.
func (s *State) Around(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { answer(w, true) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Ready()) })
	mux.Handle("/", next)
	return mux
}

func answer(w http.ResponseWriter, good bool) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if !good {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
