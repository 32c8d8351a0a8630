package engine

import "time"

// Load is an engine's report of its own state. It lags behind reality.
type Load struct {
	// Engine is the name of the engine.
	Engine string `json:"engine"`
	// Incarnation identifies the start of the engine process.
	Incarnation string `json:"incarnation"`
	// Model is the model being served.
	Model string `json:"model"`
	// WeightVersion is the version of the weights being served.
	WeightVersion string `json:"weightVersion"`
	// Running is the number of calls in the batch.
	Running int `json:"running"`
	// Waiting is the number of calls in the engine's queue.
	Waiting int `json:"waiting"`
	// PrefillTokens is the number of prompt tokens yet to be computed.
	PrefillTokens int `json:"prefillTokens"`
	// Leaving is true once the engine wants no new work.
	Leaving bool `json:"leaving"`
	// Loading is true while weights are being loaded.
	Loading bool `json:"loading,omitempty"`
	// Role is the role that the engine was ordered to take; empty means serve.
	Role string `json:"role,omitempty"`
	// Adapters are the versions of the loaded adapters by name.
	Adapters map[string]string `json:"adapters,omitempty"`
	// Age is how old the figures are.
	Age time.Duration `json:"ageNanos"`
}

// CacheEvent tells of one block that entered or left an engine's cache.
type CacheEvent struct {
	// Seq rises by one with each event of an incarnation.
	Seq uint64 `json:"seq"`
	// Block is the chained hash of the block.
	Block uint64 `json:"block"`
	// Removed is true when the block left the cache.
	Removed bool `json:"removed"`
}

// Batch is a run of cache events. Events may be late, repeated or missing.
type Batch struct {
	// Incarnation identifies the start of the engine process.
	Incarnation string `json:"incarnation"`
	// Events are the events, by rising sequence number.
	Events []CacheEvent `json:"events"`
}

// Snapshot lists every block in an engine's cache.
type Snapshot struct {
	// Incarnation identifies the start of the engine process.
	Incarnation string `json:"incarnation"`
	// Seq is the number of the last event that the snapshot includes.
	Seq uint64 `json:"seq"`
	// Blocks are the chained hashes.
	Blocks []uint64 `json:"blocks"`
}
