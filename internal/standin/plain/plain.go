// Package plain is a stand-in for a service without a model. It counts how often
// requests with each idempotency key took effect.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

const maxBodyBytes = 1 << 20

// Service is a service that counts effects.
type Service struct {
	mu      sync.Mutex
	effects map[string]int
}

// New returns a service with all counts at zero.
func New() *Service { return &Service{effects: map[string]int{}} }

// Effects returns the number of effects for each idempotency key.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.effects))
	for key, count := range s.effects {
		counts[key] = count
	}
	return counts
}

// Handler serves the service over HTTP. A POST has an effect and a GET has none;
// GET /effects returns the counts.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /effects", s.serveEffects)
	mux.HandleFunc("POST /", s.servePost)
	mux.HandleFunc("GET /", s.serveGet)
	return mux
}

func (s *Service) serveEffects(w http.ResponseWriter, _ *http.Request) { reply(w, s.Effects()) }

func (s *Service) servePost(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("X-Effect-Key")
	}
	s.mu.Lock()
	s.effects[key]++
	count := s.effects[key]
	s.mu.Unlock()
	reply(w, map[string]any{"path": r.URL.Path, "bytes": len(body), "count": count})
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	reply(w, map[string]any{"path": r.URL.Path, "status": "ready"})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
