// Package engine defines the interface to model engines, its requests, events
// and errors, independent of any transport.
package engine

import "context"

// Client calls one engine. Every method is safe for concurrent use and returns
// when its context ends. Errors are of type [*Error] and carry the outcome,
// except for those that a sink returned.
//
//	err := client.Complete(ctx, call, func(event engine.Event) error {
//		return relay(event)
//	})
type Client interface {
	// Complete runs a call and passes each event to sink in order. It returns
	// nil only after sink accepted a [Done]. When sink returns an error, the
	// call is cancelled and Complete returns that error.
	Complete(ctx context.Context, call Call, sink func(Event) error) error
	// Cancel ends the attempt with this ID if it is still running.
	Cancel(ctx context.Context, attempt string) error
	// Load returns the engine's load report, which lags behind reality.
	Load(ctx context.Context) (LoadReport, error)
	// Events returns the cache events after a sequence number.
	Events(ctx context.Context, after uint64) (CacheEvents, error)
	// Snapshot returns the hashes of all blocks in the engine's cache.
	Snapshot(ctx context.Context) (Snapshot, error)
	// Import asks the engine to fetch blocks from a KV store or another engine.
	Import(ctx context.Context, request ImportRequest) error
	// Order has the engine change what it serves.
	Order(ctx context.Context, order Order) error
}
