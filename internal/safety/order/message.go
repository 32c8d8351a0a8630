package order

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Message is an input of [State.Update]: [Configure], [Reported], [Ended] or [Tick].
type Message interface{ message() }

// Configure sets the wanted state to that of the configuration in force.
type Configure struct {
	// Engines maps engine names to what each should serve.
	Engines map[string]Wanted
}

// Reported carries the latest load report of an engine.
type Reported struct {
	// Engine is the name of the engine.
	Engine string
	Load   engine.LoadReport
}

// Result is the outcome of an order.
type Result int

// The results of an order.
const (
	// Accepted means that the engine accepted the order.
	Accepted Result = iota
	// Unsure means that the engine may have accepted the order.
	Unsure
	// Refused means that the engine can't carry out the order.
	Refused
	// RateLimited means that the weight store's rate limit delays the load.
	RateLimited
	// NotSent means that the order certainly did not reach the engine.
	NotSent
)

// Ended carries the result of an order sent by [Send].
type Ended struct {
	// ID is that of the [Send].
	ID uint64
	// Engine is the name of the engine.
	Engine string
	Result Result
	// RetryAfter is the delay before another load, if the result is [RateLimited].
	RetryAfter time.Duration
}

// Tick asks for orders that are due. It is sent only while the lease is held.
type Tick struct{}

func (Configure) message() {}
func (Reported) message()  {}
func (Ended) message()     {}
func (Tick) message()      {}

// Command is an output of [State.Update]. The only one is [Send].
type Command interface{ command() }

// Send sends an order to an engine; [Ended] carries the result.
type Send struct {
	// ID identifies the order in [Ended].
	ID uint64
	// Engine is the name of the engine.
	Engine string
	// Order has no fencing token yet; the caller adds it.
	Order engine.Order
}

func (Send) command() {}
