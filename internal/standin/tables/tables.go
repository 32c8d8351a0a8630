// Package tables is a stand-in for the platform's table service. It holds rows in
// memory and fails on demand.
package tables

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/cicadamill/cicadamill/internal/infra/table"
)

// Store holds rows in memory and implements [table.Client]. Its zero value is
// not usable; see [New].
type Store struct {
	mu       sync.Mutex
	rows     map[string]table.Row
	revision uint64
	fault    func(Request) Fault
	reads    int
	writes   int
}

// Request describes an operation to a fault function.
type Request struct {
	// Write is true for a commit.
	Write bool
	// Keys are the keys that the operation reads or writes; for a list, the prefix.
	Keys []string
}

// Fault is the failure of one operation.
type Fault int

// Faults that a [Store] can inject.
const (
	// None lets the operation succeed.
	None Fault = iota
	// Unavailable fails the operation before it has any effect.
	Unavailable
	// LoseReply applies a commit and then reports an error. It fails a read
	// like Unavailable.
	LoseReply
)

// New returns an empty store.
//
//	store := tables.New()
//	store.SetFault(func(r tables.Request) tables.Fault { return tables.Unavailable })
func New() *Store {
	return &Store{rows: map[string]table.Row{}}
}

// SetFault sets a function that chooses the fault of each later operation; nil
// disables faults.
func (s *Store) SetFault(fault func(Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Counts returns the number of successful reads and of applied commits.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Get implements [table.Client].
func (s *Store) Get(ctx context.Context, key string) (table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.readFault(ctx, key); err != nil {
		return table.Row{}, err
	}
	s.reads++
	row := s.rows[key]
	row.Key = key
	row.Value = slices.Clone(row.Value)
	return row, nil
}

// List implements [table.Client].
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.readFault(ctx, prefix); err != nil {
		return nil, err
	}
	s.reads++
	var found []table.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after && row.Value != nil {
			row.Value = slices.Clone(row.Value)
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

// Commit implements [table.Client].
func (s *Store) Commit(ctx context.Context, txn table.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.faultFor(Request{Write: true, Keys: keysOf(txn)})
	if err := ctx.Err(); err != nil {
		return &table.OutageError{Message: err.Error()}
	}
	if fault == Unavailable {
		return &table.OutageError{Message: "stand-in is down"}
	}
	if err := s.apply(txn); err != nil {
		return err
	}
	s.writes++
	if fault == LoseReply {
		return &table.OutageError{MayHaveApplied: true, Message: "stand-in lost the reply"}
	}
	return nil
}

func (s *Store) apply(txn table.Txn) error {
	for _, put := range txn.Puts {
		current := s.version(put.Key)
		if !put.Unconditional && current != put.IfVersion {
			return &table.ConflictError{Key: put.Key, Version: current}
		}
	}
	for _, put := range txn.Puts {
		s.revision++
		if put.Value == nil {
			delete(s.rows, put.Key)
			continue
		}
		s.rows[put.Key] = table.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: s.revision}
	}
	return nil
}

func (s *Store) version(key string) uint64 { return s.rows[key].Version }

func (s *Store) readFault(ctx context.Context, key string) error {
	if err := ctx.Err(); err != nil {
		return &table.OutageError{Message: err.Error()}
	}
	if s.faultFor(Request{Keys: []string{key}}) != None {
		return &table.OutageError{Message: "stand-in is down"}
	}
	return nil
}

func (s *Store) faultFor(request Request) Fault {
	if s.fault == nil {
		return None
	}
	return s.fault(request)
}

func keysOf(txn table.Txn) []string {
	keys := make([]string, 0, len(txn.Puts))
	for _, put := range txn.Puts {
		keys = append(keys, put.Key)
	}
	return keys
}
