package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	// loadTime is how long new weights take an engine.
	loadTime = 1300 * time.Millisecond
	// longestWait bounds the wait of a call for cache events.
	longestWait = time.Second
)

// engine is a stand-in of a sound model engine, which gets orders and no requests.
type engine struct {
	id, address string
	store       *fake.Store
	ledger      *ledger
	server      *http.Server
	born        int64

	mu      sync.Mutex
	version uint64
	orders  int
	busy    bool
}

func newEngine(id string, store *fake.Store, l *ledger) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, address: listener.Addr().String(), store: store, ledger: l, version: 1, born: time.Now().UnixMilli()}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	return e, e.publish()
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": fake.Model, "version": e.version, "adapters": []string{}}}
}

// publish writes the entry of the engine, as at its start and at each change of it.
func (e *engine) publish() error {
	return e.store.Put("servers", e.id, map[string]any{
		"service": fake.Engines, "address": e.address, "zone": "east", "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"seq": 1, "born": e.born, "stage": "unified", "models": e.models(),
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements [http.Handler].
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Cicadamill-Expect-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.URL.Path {
	case "/cicadamill/report":
		reply(w, http.StatusOK, map[string]any{
			"stage": "unified", "models": e.models(), "busy": e.busy, "seq": e.orders, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100_000, "handles": 0,
		})
	case "/cicadamill/order":
		e.order(w, r)
	case "/cicadamill/kv-list":
		reply(w, http.StatusOK, map[string]any{"bootEpoch": e.born, "next": 1, "held": [][]any{}})
	case "/cicadamill/kv-events":
		ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		e.mu.Unlock()
		select {
		case <-time.After(min(time.Duration(ms)*time.Millisecond, longestWait)):
		case <-r.Context().Done():
		}
		e.mu.Lock()
		reply(w, http.StatusOK, map[string]any{"bootEpoch": e.born, "next": 1, "lost": false, "events": [][]any{}})
	default:
		w.Header().Set("X-Cicadamill-Not-Executed", "1")
		w.Header().Set("X-Cicadamill-Request-Id", r.Header.Get("X-Cicadamill-Request-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// order carries out an order to load weights. The caller holds the lock.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Mode, Holder string
		Version, FenceToken            uint64
		Expected                       *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Operation != "version" || o.Model != fake.Model || o.Holder == "" || o.FenceToken == 0 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	status := http.StatusAccepted
	switch {
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		status = http.StatusConflict
	case o.Version == e.version:
		status = http.StatusOK
	default:
		e.orders++
		e.busy = true
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version, e.busy = o.Version, false
			if err := e.publish(); err != nil {
				e.ledger.r.add("%s: %v", e.id, err)
			}
		})
	}
	e.ledger.RecordOrder(fake.Order{Target: e.id, Holder: o.Holder, Fence: o.FenceToken, Version: o.Version, At: time.Now()})
	e.ledger.r.add("%s answers it with %d", e.id, status)
	reply(w, status, map[string]any{})
}
