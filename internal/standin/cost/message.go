package cost

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Message is an input of [Engine.Update]. It is one of [Submit],
// [Cancel], [Step], [Bring], [Crash], [Return] or [Leave].
type Message interface{ message() }

// Submit sends a call to the engine.
type Submit struct {
	ID string
	// Blocks are the chained hashes of the prompt's complete blocks.
	Blocks []uint64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Output is the number of tokens to generate.
	Output int
	// Priority orders the queue; lower values run first.
	Priority int
	// Incarnation is the only incarnation that may accept the call; empty for any.
	Incarnation string
}

// Cancel removes a call from the queue or the batch.
type Cancel struct {
	ID string
}

// Step completes the batch step that [Next] announced.
type Step struct {
	Number uint64
}

// Bring imports blocks from another engine into the cache.
type Bring struct {
	// Incarnation is the only incarnation that may import the blocks.
	Incarnation string
	// Blocks are chained hashes in prompt order.
	Blocks []uint64
}

// Crash aborts all calls and stops the engine.
type Crash struct{}

// Return restarts the engine with an empty cache.
type Return struct{}

// Leave drains the engine: it refuses new calls from then on.
type Leave struct{}

func (Submit) message() {}
func (Cancel) message() {}
func (Step) message()   {}
func (Bring) message()  {}
func (Crash) message()  {}
func (Return) message() {}
func (Leave) message()  {}

// Reply is an output of [Engine.Update]. It is one of [Took], [Refused],
// [First], [Finished], [Lost], [Computed], [Cached] or [Next].
type Reply interface{ reply() }

// Took reports that the engine accepted a call.
type Took struct {
	ID          string
	Incarnation string
	// Cached is the number of prompt tokens in the cache at that time.
	Cached int
}

// Refused reports that the engine refused a call.
type Refused struct {
	ID   string
	Code engine.Code
}

// First reports the first output token of a call.
type First struct {
	ID string
	// Cached is the number of prompt tokens found in the cache.
	Cached int
	// Computed is the number of prompt tokens that were prefilled.
	Computed int
}

// Finished reports that a call has generated all its tokens.
type Finished struct {
	ID string
	// Cached is the number of prompt tokens found in the cache.
	Cached int
	// Output is the number of generated tokens.
	Output int
}

// Lost reports that a crash aborted a call.
type Lost struct {
	ID string
}

// Computed reports the blocks that a prefill step completed.
type Computed struct {
	// Blocks are chained hashes in prompt order.
	Blocks []uint64
}

// Cached reports a change of the cache.
type Cached struct {
	Incarnation string
	Event       engine.CacheEvent
}

// Next asks for a [Step] message with the same number at a given time.
type Next struct {
	At     time.Time
	Number uint64
}

func (Took) reply()     {}
func (Refused) reply()  {}
func (First) reply()    {}
func (Finished) reply() {}
func (Lost) reply()     {}
func (Computed) reply() {}
func (Cached) reply()   {}
func (Next) reply()     {}
