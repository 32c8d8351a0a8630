// Package job describes one request between its arrival and its end, in the
// form that nodes hand to each other.
package job

import (
	"encoding/json"
	"time"
)

// Job is one chat request with all that routing needs to know of it.
type Job struct {
	// ID identifies the request on every node that handles it.
	ID string `json:"id"`
	// Workspace is the customer whose key the caller showed.
	Workspace string `json:"workspace"`
	// Class is "interactive" or "batch".
	Class string `json:"class"`
	// Share is the workspace's part of the engines when all are busy.
	Share float64 `json:"share"`
	// Application is what the caller named in the "model" field.
	Application string `json:"application"`
	// Model is the model that must answer.
	Model string `json:"model"`
	// Adapter is the adapter to run with; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// WeightVersion is the version of the weights that must answer.
	WeightVersion string `json:"weightVersion"`
	// Blocks are the chained hashes of the prompt's whole blocks.
	Blocks []uint64 `json:"blocks"`
	// Levels are the numbers of blocks at which prompts branch, in rising order.
	Levels []int `json:"levels,omitempty"`
	// BlockTokens is the length of a block in tokens.
	BlockTokens int `json:"blockTokens"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int `json:"promptTokens"`
	// MaxTokens bounds the answer's length; zero means the engine's default.
	MaxTokens int `json:"maxTokens,omitempty"`
	// Deadline is how long the caller will wait for the first token, counted
	// from arrival at the entry node; zero means the default.
	Deadline time.Duration `json:"deadlineNanos,omitempty"`
	// Fingerprint is the digest of workspace and content.
	Fingerprint uint64 `json:"fingerprint"`
	// Offset is the number of chunks that the caller has from an earlier
	// connection; WeightVersion is then the version that computed them.
	Offset int `json:"offset,omitempty"`
	// Hops counts the nodes that have handed the request on.
	Hops int `json:"hops,omitempty"`
	// Body is the chat request as engines get it.
	Body json.RawMessage `json:"body"`
}
