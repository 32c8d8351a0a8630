package cost

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Message is an input of [Engine.Update]. It is one of [Submit],
// [Cancel], [FinishStep], [Import], [Crash], [Restart] or [Drain].
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

// FinishStep completes the batch step that [ScheduleStep] announced.
type FinishStep struct {
	Number uint64
}

// Import imports blocks from another engine into the cache.
type Import struct {
	// Incarnation is the only incarnation that may import the blocks.
	Incarnation string
	// Blocks are chained hashes in prompt order.
	Blocks []uint64
}

// Crash aborts all calls and stops the engine.
type Crash struct{}

// Restart restarts the engine with an empty cache.
type Restart struct{}

// Drain drains the engine: it refuses new calls from then on.
type Drain struct{}

func (Submit) message()     {}
func (Cancel) message()     {}
func (FinishStep) message() {}
func (Import) message()     {}
func (Crash) message()      {}
func (Restart) message()    {}
func (Drain) message()      {}

// Reply is an output of [Engine.Update]. It is one of [Accepted], [Refused],
// [FirstToken], [Finished], [Aborted], [Prefilled], [CacheChanged] or
// [ScheduleStep].
type Reply interface{ reply() }

// Accepted reports that the engine accepted a call.
type Accepted struct {
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

// FirstToken reports the first output token of a call.
type FirstToken struct {
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

// Aborted reports that a crash aborted a call.
type Aborted struct {
	ID string
}

// Prefilled reports the blocks that a prefill step completed.
type Prefilled struct {
	// Blocks are chained hashes in prompt order.
	Blocks []uint64
}

// CacheChanged reports a change of the cache.
type CacheChanged struct {
	Incarnation string
	Event       engine.CacheEvent
}

// ScheduleStep asks for a [FinishStep] message with the same number at a given time.
type ScheduleStep struct {
	At     time.Time
	Number uint64
}

func (Accepted) reply()     {}
func (Refused) reply()      {}
func (FirstToken) reply()   {}
func (Finished) reply()     {}
func (Aborted) reply()      {}
func (Prefilled) reply()    {}
func (CacheChanged) reply() {}
func (ScheduleStep) reply() {}
