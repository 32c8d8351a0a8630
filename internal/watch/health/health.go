// Package health serves the liveness and readiness checks of a process.
package health

import (
	"net/http"
	"sync/atomic"
)

// State is the liveness and readiness of this process. A readiness check never
// waits for the table service, the object store or a peer.
type State struct {
	ready atomic.Bool
}

// New returns a state that is live but not ready.
//
//	state := health.New()
//	mux.Handle("/", state.Around(handler))
//	state.SetReady(true)
func New() *State { return &State{} }

// SetReady sets whether a load balancer should send new connections here.
func (s *State) SetReady(ready bool) { s.ready.Store(ready) }

// Ready reports whether a load balancer should send new connections here.
func (s *State) Ready() bool { return s.ready.Load() }

// Around returns a handler that serves GET /healthz and GET /readyz and passes
// all other requests to next.
func (s *State) Around(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeCheck(w, true) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeCheck(w, s.Ready()) })
	mux.Handle("/", next)
	return mux
}

func writeCheck(w http.ResponseWriter, ok bool) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
