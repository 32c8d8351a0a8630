package engine

import "encoding/json"

// Call is one attempt to have an engine answer a request.
type Call struct {
	// Attempt identifies this attempt; no two attempts share one.
	Attempt string
	// Workspace seeds the engine's cache, so that no other workspace's entries match.
	Workspace string
	// Adapter is the name of the adapter to run with; empty means none.
	Adapter string
	// Body is the chat request as JSON, with "stream" set to true.
	Body json.RawMessage
	// Priority orders the engine's queue; lower runs first.
	Priority int
	// Offset is the number of chunks that the caller already has.
	Offset int
	// Prefix is the text of those chunks, from which the engine goes on.
	Prefix string
	// Incarnation is the engine start that the caller of Complete chose; empty
	// means any. An engine on another incarnation answers "not run".
	Incarnation string
	// WeightVersion is the version of the weights that must answer; empty means any.
	WeightVersion string
}

// Import asks an engine to bring cached blocks in from elsewhere.
type Import struct {
	// Workspace owns the blocks.
	Workspace string `json:"workspace"`
	// WeightVersion is the version that computed the blocks.
	WeightVersion string `json:"weightVersion"`
	// Incarnation is the engine start that should take the blocks.
	Incarnation string `json:"incarnation"`
	// Source is the address of a KV store or an engine, as IP and port.
	Source string `json:"source"`
	// Blocks are the chained hashes of the wanted blocks, in prompt order.
	Blocks []uint64 `json:"blocks"`
}
