// Package lists is a stand-in for the platform's list of hosts, which lags behind
// the actual hosts.
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

// List holds hosts in memory and implements [hosts.Client]. A change is visible
// to readers only after [List.Publish], so that a test can control the lag.
type List struct {
	mu        sync.Mutex
	pending   []hosts.Host
	published []hosts.Host
	down      bool
}

// New returns a list with the given hosts published.
func New(initial ...hosts.Host) *List {
	return &List{pending: initial, published: slices.Clone(initial)}
}

// Set replaces the hosts without publishing them.
func (l *List) Set(all ...hosts.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.Clone(all)
}

// Publish makes the hosts of the last [List.Set] visible to readers.
func (l *List) Publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.published = slices.Clone(l.pending)
}

// SetDown starts or ends an outage in which every read fails.
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
	return slices.Clone(l.published), nil
}

// Handler serves the list over HTTP with JSON. A PUT replaces and publishes it.
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
