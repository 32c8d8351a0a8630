package model

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// serveImport copies cache blocks from another engine. It checks incarnation and
// weights again after the transfer, since either may have changed meanwhile.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var request engine.ImportRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	if e.isStale(request) {
		refuse(w, http.StatusConflict, engine.Stale, "the engine has changed")
		return
	}
	held, err := e.fetchExport(r, request)
	if err != nil || held.WeightVersion != request.WeightVersion {
		refuse(w, http.StatusBadGateway, engine.Unreachable, "the source has no such blocks")
		return
	}
	timer := time.NewTimer(time.Duration(len(held.Blocks)) * e.options.ImportPerBlock)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if request.Incarnation != e.incarnation || request.WeightVersion != e.weights {
		refuse(w, http.StatusConflict, engine.Stale, "the engine has changed")
		return
	}
	e.apply(cost.Import{Incarnation: e.batch.Incarnation(), Blocks: held.Blocks})
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) isStale(request engine.ImportRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return request.Incarnation != e.incarnation || request.WeightVersion != e.weights
}

func (e *Engine) fetchExport(r *http.Request, request engine.ImportRequest) (export, error) {
	encoded, err := json.Marshal(export{WeightVersion: request.WeightVersion, Blocks: request.Blocks})
	if err != nil {
		return export{}, err
	}
	outgoing, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+request.Source+"/cache/export", bytes.NewReader(encoded))
	if err != nil {
		return export{}, err
	}
	response, err := e.http.Do(outgoing)
	if err != nil {
		return export{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var held export
	err = json.NewDecoder(response.Body).Decode(&held)
	return held, err
}
