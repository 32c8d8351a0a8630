// Package table is the seam to the platform's transactional table service.
package table

import (
	"context"
	"fmt"
)

// Client reads and writes rows. It is safe for concurrent use.
//
//	row, err := client.Get(ctx, "config/current")
//	err = client.Commit(ctx, table.Txn{Puts: []table.Put{{Key: row.Key, Value: next, IfVersion: row.Version}}})
type Client interface {
	// Get returns a row. A row that does not exist has version zero.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys begin with prefix and follow
	// after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes of a transaction or none. A failed condition
	// is a [*ConflictError]; a service that can't be used is an
	// [*OutageError], which says whether the writes may have taken effect.
	Commit(ctx context.Context, txn Txn) error
}

// Row is one stored value.
type Row struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the stored bytes.
	Value []byte `json:"value"`
	// Version rises with each write of the row and never returns, also when the
	// row is deleted and made again; zero means no such row.
	Version uint64 `json:"version"`
}

// Put writes one row on a condition.
type Put struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the bytes to store; nil deletes the row.
	Value []byte `json:"value"`
	// IfVersion is the version that the row must have; zero means that it must
	// not exist.
	IfVersion uint64 `json:"ifVersion"`
	// Always writes without a condition.
	Always bool `json:"always,omitempty"`
}

// Txn is a set of writes that take effect together or not at all.
type Txn struct {
	// Puts are the writes, each of another key.
	Puts []Put `json:"puts"`
}

// ConflictError means that a condition did not hold and nothing was written.
type ConflictError struct {
	// Key is the first row whose condition failed.
	Key string
	// Version is the version that the row has.
	Version uint64
}

// Error returns a text for logs.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: row %q is at version %d", e.Key, e.Version)
}

// OutageError means that the service gave no usable reply.
type OutageError struct {
	// MayHaveApplied is true when the request may have reached the service.
	MayHaveApplied bool
	// Message is a text for people.
	Message string
}

// Error returns a text for logs.
func (e *OutageError) Error() string {
	return fmt.Sprintf("table: no reply (may have applied: %t): %s", e.MayHaveApplied, e.Message)
}
