// Package object defines the client interface of the platform's object store.
package object

import (
	"context"
	"fmt"
)

// Client reads and writes whole objects. It is safe for concurrent use.
//
//	err := client.Put(ctx, "answers/1f3c", body)
type Client interface {
	// Put stores an object, replacing any with the same key.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns an object, or a [*NotFoundError] if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object. Deleting a missing object is no error.
	Delete(ctx context.Context, key string) error
}

// NotFoundError means that there is no object with this key.
type NotFoundError struct {
	// Key is the requested key.
	Key string
}

// Error returns the error message for logs.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object store: no object %q", e.Key) }

// OutageError means that the store sent no usable response. A write may have taken
// effect.
type OutageError struct {
	// Message describes the failure.
	Message string
}

// Error returns the error message for logs.
func (e *OutageError) Error() string { return "object store: no reply: " + e.Message }
