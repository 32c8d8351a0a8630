// Package table defines the client interface of the platform's transactional table
// service.
package table

import (
	"context"
	"fmt"

	"github.com/cicadamill/cicadamill/internal/infra/mark"
)

// Client reads and writes rows. It is safe for concurrent use.
//
//	row, err := client.Get(ctx, "config/head")
//	err = client.Commit(ctx, table.Txn{Puts: []table.Put{{Key: row.Key, Value: next, IfVersion: row.Version}}})
type Client interface {
	// Get returns a row. A row that does not exist has version zero.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows in key order. Their keys have the prefix and
	// are greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes of a transaction or none. It returns a
	// [*ConflictError] if a condition fails, and an [*OutageError] if the service
	// is unavailable, which states whether the writes may have taken effect.
	Commit(ctx context.Context, txn Txn) error
}

// Row is one stored value.
type Row struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the content of the row.
	Value []byte `json:"value"`
	// Version increases with each write of the row and is never reused, even if
	// the row is deleted and created again or the service is restored from a backup;
	// zero means that there is no row. See package epoch.
	Version uint64 `json:"version"`
	// ReadAt is when the row was read; it has no version if the service reports none.
	ReadAt mark.Mark `json:"-"`
}

// Put is a conditional write of one row.
type Put struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the new content; nil deletes the row.
	Value []byte `json:"value"`
	// IfVersion is the version that the row must have; zero means that it must not
	// exist.
	IfVersion uint64 `json:"ifVersion"`
	// Unconditional makes the write unconditional.
	Unconditional bool `json:"always,omitempty"`
}

// Txn is a transaction: its writes take effect together or not at all.
type Txn struct {
	// Puts are the writes, each to a different key.
	Puts []Put `json:"puts"`
	// ReadAt is when the rows of the conditions were read. It is needed only for rows
	// that did not exist: the service may have been restored since.
	ReadAt mark.Mark `json:"-"`
}

// ConflictError means that a condition failed and nothing was written.
type ConflictError struct {
	// Key is the first row whose condition failed.
	Key string
	// Version is the row's current version.
	Version uint64
}

// Error returns the error message for logs.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: row %q is at version %d", e.Key, e.Version)
}

// OutageError means that the service sent no usable response.
type OutageError struct {
	// MayHaveApplied is true when the request may have reached the service.
	MayHaveApplied bool
	// Message describes the failure.
	Message string
}

// Error returns the error message for logs.
func (e *OutageError) Error() string {
	return fmt.Sprintf("table: no reply (may have applied: %t): %s", e.MayHaveApplied, e.Message)
}
