package model

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	if stop, ok := e.running[id]; ok {
		close(stop)
		delete(e.running, id)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, engine.Load{
		Engine: e.options.Name, Incarnation: e.incarnation, Model: e.options.Model,
		WeightVersion: e.weights, Running: len(e.running), Leaving: e.leaving,
	})
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, "after must be a number")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := engine.Batch{Incarnation: e.incarnation}
	for _, event := range e.events {
		if event.Seq > after {
			batch.Events = append(batch.Events, event)
		}
	}
	reply(w, batch)
}

func (e *Engine) serveSnapshot(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, engine.Snapshot{Incarnation: e.incarnation, Seq: e.seq, Blocks: e.cache.Keys()})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var request engine.Import
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if request.Incarnation != e.incarnation || request.WeightVersion != e.weights {
		refuse(w, http.StatusConflict, engine.Stale, "the engine has changed")
		return
	}
	for _, block := range request.Blocks {
		if !e.cache.Contains(block) {
			e.record(block, false)
		}
		e.cache.Add(block, struct{}{})
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("kind") {
	case "loadModel":
		e.loadModel(w, r)
	case "loadAdapter", "setRole":
		w.WriteHeader(http.StatusNoContent)
	default:
		refuse(w, http.StatusNotFound, engine.Invalid, "no such order")
	}
}

func (e *Engine) loadModel(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadModel
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence {
		refuse(w, http.StatusConflict, engine.Fenced, "a newer fencing number was seen")
		return
	}
	e.fence = order.Fence
	e.weights = order.WeightVersion
	e.cache.Purge()
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
