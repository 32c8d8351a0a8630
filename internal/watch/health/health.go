// Package health serves the liveness and readiness checks of a process.
package health

import (
	"net/http"
	"sync/atomic"
)

// Readiness is the liveness and readiness of this process. A readiness check never
// waits for the table service, the object store or a peer.
type Readiness struct {
	ready atomic.Bool
}

// New returns a state that is live but not ready.
//
//	state := health.New()
//	mux.Handle("/", state.Wrap(handler))
//	state.SetReady(true)
func New() *Readiness { return &Readiness{} }

// SetReady sets whether a load balancer should send new connections here.
func (r *Readiness) SetReady(ready bool) { r.ready.Store(ready) }

// Ready reports whether a load balancer should send new connections here.
func (r *Readiness) Ready() bool { return r.ready.Load() }

// Wrap returns a handler that serves GET /healthz and GET /readyz and passes
// all other requests to next.
func (r *Readiness) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeCheck(w, true) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeCheck(w, r.Ready()) })
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
