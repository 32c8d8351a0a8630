package cost

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Message is something that happens to the engine. It is one of [Submit],
// [Cancel], [Step], [Bring], [Crash], [Return] or [Leave].
type Message interface{ message() }

// Submit brings a call.
type Submit struct {
	// ID identifies the call.
	ID string
	// Blocks are the chained hashes of the prompt's whole blocks.
	Blocks []uint64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Output is the length of the answer in tokens.
	Output int
	// Priority orders the queue; lower runs first.
	Priority int
	// Incarnation is the start that must answer; empty means any.
	Incarnation string
}

// Cancel ends a call.
type Cancel struct {
	// ID identifies the call.
	ID string
}

// Step ends the step of the batch that [Next] announced.
type Step struct {
	// Number is the step's number.
	Number uint64
}

// Bring puts blocks from elsewhere into the cache.
type Bring struct {
	// Incarnation is the start that should take the blocks.
	Incarnation string
	// Blocks are the chained hashes in prompt order.
	Blocks []uint64
}

// Crash ends every call and takes the engine down.
type Crash struct{}

// Return brings the engine back empty.
type Return struct{}

// Leave makes the engine refuse new calls.
type Leave struct{}

func (Submit) message() {}
func (Cancel) message() {}
func (Step) message()   {}
func (Bring) message()  {}
func (Crash) message()  {}
func (Return) message() {}
func (Leave) message()  {}

// Reply is something that the engine does. It is one of [Took], [Refused],
// [First], [Finished], [Lost], [Computed], [Cached] or [Next].
type Reply interface{ reply() }

// Took tells that the engine took a call.
type Took struct {
	// ID identifies the call.
	ID string
	// Incarnation is the engine's present start.
	Incarnation string
	// Cached is the number of prompt tokens in the cache at this time.
	Cached int
}

// Refused tells that the engine did not take a call.
type Refused struct {
	// ID identifies the call.
	ID string
	// Code is the reason.
	Code engine.Code
}

// First tells that a call gave its first token.
type First struct {
	// ID identifies the call.
	ID string
	// Cached is the number of prompt tokens that came from the cache.
	Cached int
	// Computed is the number of prompt tokens that were computed.
	Computed int
}

// Finished tells that a call gave its whole answer.
type Finished struct {
	// ID identifies the call.
	ID string
	// Cached is the number of prompt tokens that came from the cache.
	Cached int
	// Output is the length of the answer in tokens.
	Output int
}

// Lost tells that a call ended without its answer.
type Lost struct {
	// ID identifies the call.
	ID string
}

// Computed tells which blocks a prefill computed.
type Computed struct {
	// Blocks are the chained hashes.
	Blocks []uint64
}

// Cached is one cache event, without lag.
type Cached struct {
	// Incarnation is the engine's present start.
	Incarnation string
	// Event is the event.
	Event engine.CacheEvent
}

// Next asks for a [Step] message at a time.
type Next struct {
	// At is the time.
	At time.Time
	// Number is the step's number.
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
