// Package job describes a chat request in the form that nodes forward to each
// other.
package job

import (
	"encoding/json"
	"time"
)

// Job is a chat request with the properties that routing depends on.
type Job struct {
	// ID identifies the request on every node that handles it.
	ID string `json:"id"`
	// Workspace is the customer that the caller's API key belongs to.
	Workspace string `json:"workspace"`
	// Class is "interactive" or "batch".
	Class string `json:"class"`
	// Share is the workspace's relative share of the engines under contention.
	Share float64 `json:"share"`
	// Application is the value of the request's "model" field.
	Application string `json:"application"`
	// Model is the model that must answer.
	Model string `json:"model"`
	// Adapter is the adapter to run with; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// WeightVersion is the version of the weights that must answer.
	WeightVersion string `json:"weightVersion"`
	// Blocks are the chained hashes of the prompt's complete blocks.
	Blocks []uint64 `json:"blocks"`
	// Levels are the numbers of blocks at which prompts branch, in ascending order.
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
	// Fingerprint is the hash of workspace and content.
	Fingerprint uint64 `json:"fingerprint"`
	// Offset is the number of chunks that the caller received on an earlier
	// connection; WeightVersion is then the version that computed them.
	Offset int `json:"offset,omitempty"`
	// Hops counts the nodes that have forwarded the request.
	Hops int `json:"hops,omitempty"`
	// Body is the chat request as sent to engines.
	Body json.RawMessage `json:"body"`
}
