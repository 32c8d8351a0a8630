package engine

import "time"

// LoadReport is an engine's report of its own load and state. It lags behind
// reality.
type LoadReport struct {
	// Engine is the name of the engine.
	Engine string `json:"engine"`
	// Incarnation identifies the start of the engine process.
	Incarnation string `json:"incarnation"`
	// Model is the model being served.
	Model string `json:"model"`
	// WeightVersion is the version of the weights being served.
	WeightVersion string `json:"weightVersion"`
	// Running is the number of calls in the running batch.
	Running int `json:"running"`
	// Waiting is the number of calls in the engine's queue.
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens that are not computed yet.
	PrefillTokens int `json:"prefillTokens"`
	// Leaving is true when the engine accepts no new work.
	Leaving bool `json:"leaving"`
	// Loading is true while weights are being loaded.
	Loading bool `json:"loading,omitempty"`
	// Role is the role last set by a [SetRole] order; empty means serve.
	Role string `json:"role,omitempty"`
	// Adapters are the versions of the loaded adapters, by name.
	Adapters map[string]string `json:"adapters,omitempty"`
	// Age is the age of the figures.
	Age time.Duration `json:"ageNanos"`
}

// CacheEvent reports that a block was added to an engine's cache or removed
// from it.
type CacheEvent struct {
	// Seq increases by one with each event of an incarnation.
	Seq uint64 `json:"seq"`
	// Block is the chained hash of the block.
	Block uint64 `json:"block"`
	// Removed is true when the block was removed.
	Removed bool `json:"removed"`
}

// CacheEvents is a sequence of cache events. Events can arrive late, repeatedly or
// not at all.
type CacheEvents struct {
	// Incarnation identifies the start of the engine process.
	Incarnation string `json:"incarnation"`
	// Events are sorted by sequence number.
	Events []CacheEvent `json:"events"`
}

// Snapshot lists all blocks in an engine's cache.
type Snapshot struct {
	// Incarnation identifies the start of the engine process.
	Incarnation string `json:"incarnation"`
	// Seq is the sequence number of the last event that the snapshot includes.
	Seq uint64 `json:"seq"`
	// Blocks are the chained hashes of the blocks.
	Blocks []uint64 `json:"blocks"`
}
