// Package engine is the seam to model engines: what a router asks of an engine
// and what the engine answers, free of any transport.
package engine

import "context"

// Client talks to one engine. Every method is safe for concurrent use and ends
// when its context does. A failure is an [*Error] that carries the outcome.
//
//	err := client.Complete(ctx, call, func(event engine.Event) error {
//		return relay(event)
//	})
type Client interface {
	// Complete runs a call and hands each event to sink in order. It returns
	// nil only after sink took a [Done]. When sink returns an error, the call
	// is cancelled and Complete returns that error.
	Complete(ctx context.Context, call Call, sink func(Event) error) error
	// Cancel ends the attempt with this ID, if it still runs.
	Cancel(ctx context.Context, attempt string) error
	// Load reads the engine's lagging load report.
	Load(ctx context.Context) (Load, error)
	// Events reads cache events that follow the sequence number after.
	Events(ctx context.Context, after uint64) (Batch, error)
	// Snapshot reads every block hash that the engine holds now.
	Snapshot(ctx context.Context) (Snapshot, error)
	// Import asks the engine to fetch blocks from a KV store or another engine.
	Import(ctx context.Context, request Import) error
	// Order tells the engine to change what it serves.
	Order(ctx context.Context, order Order) error
}
