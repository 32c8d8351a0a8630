// Package objs is a stand-in for the platform's object store.
package objs

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/cicadamill/cicadamill/internal/infra/object"
)

const maxObjectBytes = 64 << 20

// Store holds objects in memory and implements [object.Client].
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
}

// New returns an empty store.
func New() *Store { return &Store{objects: map[string][]byte{}} }

// SetDown starts or ends an outage in which every operation fails.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put implements [object.Client].
func (s *Store) Put(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return &object.OutageError{Message: "stand-in is down"}
	}
	s.objects[key] = slices.Clone(value)
	return nil
}

// Get implements [object.Client].
func (s *Store) Get(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, &object.OutageError{Message: "stand-in is down"}
	}
	value, ok := s.objects[key]
	if !ok {
		return nil, &object.NotFoundError{Key: key}
	}
	return slices.Clone(value), nil
}

// Delete implements [object.Client].
func (s *Store) Delete(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return &object.OutageError{Message: "stand-in is down"}
	}
	delete(s.objects, key)
	return nil
}

// Handler serves the store over HTTP with PUT, GET and DELETE. The path is the
// object's key.
func (s *Store) Handler() http.Handler {
	return http.HandlerFunc(s.serve)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/")
	switch r.Method {
	case http.MethodPut:
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		reply(w, s.Put(r.Context(), key, value))
	case http.MethodDelete:
		reply(w, s.Delete(r.Context(), key))
	case http.MethodGet:
		s.serveGet(w, r, key)
	default:
		http.Error(w, "use GET, PUT or DELETE", http.StatusMethodNotAllowed)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	value, err := s.Get(r.Context(), key)
	switch err.(type) {
	case nil:
		_, _ = w.Write(value)
	case *object.NotFoundError:
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func reply(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
