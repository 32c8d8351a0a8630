package model

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	maxLoads  = 256
	roleDrain = "drain"
)

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	if c, ok := e.running[id]; ok {
		c.abort()
		delete(e.running, id)
		e.apply(cost.Cancel{ID: id})
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveLoad returns the newest recorded report that is at least LoadLag old, or
// the oldest one.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	load := e.batch.Load()
	load.Incarnation, load.Model, load.WeightVersion = e.incarnation, e.options.Model, e.weights
	load.Leaving = e.leaving
	load.Loading, load.Role, load.Adapters = e.loading, e.role, maps.Clone(e.adapters)
	e.loads = append(e.loads, timedLoad{LoadReport: load, at: now})
	if len(e.loads) > maxLoads {
		e.loads = e.loads[1:]
	}
	reported := e.loads[0]
	for _, l := range e.loads {
		if now.Sub(l.at) >= e.options.LoadLag {
			reported = l
		}
	}
	reported.Age = now.Sub(reported.at)
	// The incarnation never lags, since it identifies the responding process.
	reported.Incarnation = e.incarnation
	reply(w, reported.LoadReport)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, "after must be a number")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := engine.CacheEvents{Incarnation: e.incarnation}
	for _, event := range e.events {
		if event.Seq > after && time.Since(event.at) >= e.options.EventLag {
			batch.Events = append(batch.Events, event.CacheEvent)
		}
	}
	reply(w, batch)
}

func (e *Engine) serveSnapshot(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot := e.batch.Snapshot()
	snapshot.Incarnation = e.incarnation
	reply(w, snapshot)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("kind") {
	case "loadModel":
		order(e, w, r, func(o engine.LoadModel) uint64 { return o.Fence }, e.loadModel)
	case "loadAdapter":
		order(e, w, r, func(o engine.LoadAdapter) uint64 { return o.Fence }, e.loadAdapter)
	case "setRole":
		order(e, w, r, func(o engine.SetRole) uint64 { return o.Fence }, e.setRole)
	default:
		refuse(w, http.StatusNotFound, engine.Invalid, "no such order")
	}
}

// order checks the fencing token of an order and executes it under the lock.
func order[O any](e *Engine, w http.ResponseWriter, r *http.Request, fence func(O) uint64, run func(O)) {
	var o O
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence(o) < e.fence && !e.options.IgnoresFence {
		refuse(w, http.StatusConflict, engine.Fenced, "a newer fencing number was seen")
		return
	}
	e.fence = max(e.fence, fence(o))
	run(o)
	w.WriteHeader(http.StatusNoContent)
}

// loadModel switches to other weights after WeightLoadTime. Meanwhile the engine
// refuses new calls, and running calls finish on the old weights.
func (e *Engine) loadModel(o engine.LoadModel) {
	if e.options.WeightLoadTime == 0 {
		e.weights = o.WeightVersion
		return
	}
	e.loading = true
	incarnation := e.incarnation
	time.AfterFunc(e.options.WeightLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation {
			e.weights, e.loading = o.WeightVersion, false
		}
	})
}

func (e *Engine) loadAdapter(o engine.LoadAdapter) { e.adapters[o.Adapter] = o.Version }

func (e *Engine) setRole(o engine.SetRole) { e.role = o.Role }

// export is the request and the response when one engine asks another for cache
// blocks.
type export struct {
	WeightVersion string   `json:"weightVersion"`
	Blocks        []uint64 `json:"blocks"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var requested export
	if err := json.NewDecoder(r.Body).Decode(&requested); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	held := export{WeightVersion: e.weights}
	for _, block := range requested.Blocks {
		if !e.batch.Has(block) {
			break
		}
		held.Blocks = append(held.Blocks, block)
	}
	reply(w, held)
}

// CachedBlocks returns the blocks in the cache in ascending order.
func (e *Engine) CachedBlocks() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	blocks := e.batch.Snapshot().Blocks
	slices.Sort(blocks)
	return blocks
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
