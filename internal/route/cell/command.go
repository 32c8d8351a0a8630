package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Command is an action for the node to run. It is one of [Start], [Refuse],
// [Cancel], [FetchSnapshot], [Import] or [Wake].
type Command interface{ command() }

// Start sends an attempt to an engine.
type Start struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt, from one.
	Attempt int
	// Target is the engine's name.
	Target string
	// Incarnation is the incarnation that was chosen; empty means any.
	Incarnation string
	// WeightVersion is the version of the weights that must answer; empty means
	// any.
	WeightVersion string
	// Priority orders the engine's queue; lower runs first.
	Priority int
	// Import lists cached blocks to import first; nil means none.
	Import *engine.ImportRequest
	// Expected is the number of prompt tokens estimated to be cached.
	Expected int
}

// Refuse ends a request without an answer.
type Refuse struct {
	// Job identifies the request.
	Job string
	// Code is the stable error code returned to the caller.
	Code string
	// Outcome says whether the request did not run or may have run.
	Outcome effect.Outcome
	// RetryAfter is the delay before the caller should retry; zero means not to.
	RetryAfter time.Duration
	// Message is a human-readable explanation.
	Message string
}

// Cancel cancels an attempt in flight.
type Cancel struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt.
	Attempt int
}

// FetchSnapshot requests an engine's cache snapshot, which arrives as [Snapshot].
type FetchSnapshot struct {
	// Target is the engine's name.
	Target string
}

// Import copies cached blocks into an engine. The node replies with [Imported],
// also when the import fails.
type Import struct {
	// Job identifies the request that waits for the import; empty when a hot
	// prefix is replicated.
	Job string
	// Target is the engine that receives the blocks.
	Target string
	// Incarnation is the expected incarnation of that engine.
	Incarnation string
	// Source is the name of the engine that has the blocks; empty means the KV
	// store.
	Source string
	// Workspace owns the blocks; WeightVersion is the version of the weights that
	// computed them.
	Workspace, WeightVersion string
	// Blocks are the chained hashes, in prompt order.
	Blocks []uint64
}

// Wake schedules a [Tick].
type Wake struct {
	At time.Time
}

func (Start) command()         {}
func (Refuse) command()        {}
func (Cancel) command()        {}
func (FetchSnapshot) command() {}
func (Import) command()        {}
func (Wake) command()          {}
