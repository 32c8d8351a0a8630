package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Command is something that the shell must do. It is one of [Start], [Refuse],
// [Stop], [Fetch], [Import] or [Wake].
type Command interface{ command() }

// Start runs an attempt on an engine.
type Start struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt, from one.
	Attempt int
	// Target is the engine's name.
	Target string
	// Incarnation is the engine start that was chosen; empty means any.
	Incarnation string
	// WeightVersion is the version of the weights that must answer.
	WeightVersion string
	// Priority orders the engine's queue; lower runs first.
	Priority int
	// Import is cached work to bring in first; nil means none.
	Import *engine.Import
	// Expected is the number of prompt tokens thought to be cached.
	Expected int
}

// Refuse ends a request without an answer.
type Refuse struct {
	// Job identifies the request.
	Job string
	// Code is the stable code for the caller.
	Code string
	// Outcome is what is known of the work itself.
	Outcome effect.Outcome
	// RetryAfter is when the caller should try again; zero means not to.
	RetryAfter time.Duration
	// Message is a text for people.
	Message string
}

// Stop cancels an attempt that runs.
type Stop struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt.
	Attempt int
}

// Fetch reads an engine's cache snapshot.
type Fetch struct {
	// Target is the engine's name.
	Target string
}

// Import brings cached blocks into an engine for a request that waits for it.
// The shell answers with [Imported], also when it fails.
type Import struct {
	// Job identifies the request.
	Job string
	// Target is the engine that should take the blocks.
	Target string
	// Incarnation is the engine start that should take them.
	Incarnation string
	// Source is the name of the engine that has the blocks; empty means the KV
	// store.
	Source string
	// Workspace and WeightVersion are what the blocks belong to.
	Workspace, WeightVersion string
	// Blocks are the chained hashes, in prompt order.
	Blocks []uint64
}

// Wake asks for a [Tick] at a time.
type Wake struct {
	// At is the time.
	At time.Time
}

func (Start) command()  {}
func (Refuse) command() {}
func (Stop) command()   {}
func (Fetch) command()  {}
func (Import) command() {}
func (Wake) command()   {}
