package tables

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/cicadamill/cicadamill/internal/infra/table"
)

// Handler serves the store over HTTP in the JSON format of package webtab. A
// commit whose reply is lost closes the connection without a response.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows", s.serveRead)
	mux.HandleFunc("POST /v1/transactions", s.serveCommit)
	return mux
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if key := query.Get("key"); key != "" {
		row, err := s.Get(r.Context(), key)
		reply(w, row, err)
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit must be a positive number", http.StatusBadRequest)
		return
	}
	rows, err := s.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	reply(w, rows, err)
}

func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn table.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.Commit(r.Context(), txn)
	reply(w, struct{}{}, err)
}

func reply(w http.ResponseWriter, value any, err error) {
	var conflict *table.ConflictError
	var outage *table.OutageError
	switch {
	case errors.As(err, &conflict):
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(conflict)
	case errors.As(err, &outage) && outage.MayHaveApplied:
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
}
