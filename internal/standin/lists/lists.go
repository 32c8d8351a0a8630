// Package lists is a stand-in for the platform's lagging list of hosts.
package lists

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"

	"github.com/cicadamill/cicadamill/internal/infra/hosts"
)

// List holds hosts in memory and implements [hosts.Client]. What was set last
// is shown only after [List.Publish], so that a test can make it lag.
type List struct {
	mu      sync.Mutex
	pending []hosts.Host
	shown   []hosts.Host
	down    bool
}

// New returns a list that shows the given hosts.
func New(initial ...hosts.Host) *List {
	return &List{pending: initial, shown: slices.Clone(initial)}
}

// Set changes the hosts without showing them yet.
func (l *List) Set(all ...hosts.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.Clone(all)
}

// Publish shows what was set last.
func (l *List) Publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shown = slices.Clone(l.pending)
}

// SetDown makes every later read fail, or work again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// List implements [hosts.Client].
func (l *List) List(context.Context) ([]hosts.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("host list stand-in is down")
	}
	return slices.Clone(l.shown), nil
}

// Handler serves the list over HTTP with JSON. A PUT replaces and shows it.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", l.serveGet)
	mux.HandleFunc("PUT /v1/hosts", l.servePut)
	return mux
}

func (l *List) serveGet(w http.ResponseWriter, r *http.Request) {
	all, err := l.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(all)
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var all []hosts.Host
	if err := json.NewDecoder(r.Body).Decode(&all); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(all...)
	l.Publish()
	w.WriteHeader(http.StatusNoContent)
}
