package engine

import "encoding/json"

// Call is one attempt to have an engine run a chat request.
type Call struct {
	// Attempt is the unique ID of the attempt.
	Attempt string
	// Workspace seeds the hashes of the engine's prefix cache, so that entries of
	// other workspaces never match.
	Workspace string
	// Adapter is the name of the adapter to use; empty means none.
	Adapter string
	// Body is the chat request as JSON, with "stream" set to true.
	Body json.RawMessage
	// Priority orders the engine's queue; lower values run first.
	Priority int
	// Offset is the number of chunks that the caller already has, when it
	// resumes an answer.
	Offset int
	// Prefix is the text of those chunks, which the engine continues.
	Prefix string
	// Incarnation is the engine start that the call is meant for; empty means any.
	// An engine with another incarnation refuses the call as not run.
	Incarnation string
	// WeightVersion is the version of the weights to run with; empty means any.
	WeightVersion string
}

// ImportRequest asks an engine to fetch cached KV blocks from elsewhere.
type ImportRequest struct {
	// Workspace owns the blocks.
	Workspace string `json:"workspace"`
	// WeightVersion is the version that computed the blocks.
	WeightVersion string `json:"weightVersion"`
	// Incarnation is the engine start that the request is meant for.
	Incarnation string `json:"incarnation"`
	// Source is the address of a KV store or an engine as IP number and port.
	Source string `json:"source"`
	// Blocks are the chained hashes of the wanted blocks, in prompt order.
	Blocks []uint64 `json:"blocks"`
}
