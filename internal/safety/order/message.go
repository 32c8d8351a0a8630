package order

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Message tells a [State] what happened. It is one of [Want], [Seen], [Ended]
// or [Tick].
type Message interface{ message() }

// Want is what the configuration in force asks for.
type Want struct {
	// Engines is what each engine should serve, by name.
	Engines map[string]Wanted
}

// Seen is an engine's report.
type Seen struct {
	// Engine is the engine's name.
	Engine string
	// Load is its report.
	Load engine.Load
}

// Result is what became of an order.
type Result int

// The results of an order.
const (
	// Obeyed means that the engine took it.
	Obeyed Result = iota
	// Unsure means that the engine may have taken it.
	Unsure
	// Refused means that the engine can't do it.
	Refused
	// Limited means that the engine may try again later, for the weight store.
	Limited
	// NotSent means that it certainly did not reach the engine.
	NotSent
)

// Ended tells what became of an order.
type Ended struct {
	// ID names the order.
	ID uint64
	// Engine is the engine that it was for.
	Engine string
	// Result is what became of it.
	Result Result
	// RetryAfter is when a limited load may be tried again.
	RetryAfter time.Duration
}

// Tick lets time pass, while the lease is held.
type Tick struct{}

func (Want) message()  {}
func (Seen) message()  {}
func (Ended) message() {}
func (Tick) message()  {}

// Command is what a [State] wants done; it is [Send].
type Command interface{ command() }

// Send gives an order; [Ended] answers.
type Send struct {
	// ID names the order.
	ID uint64
	// Engine is the engine that it is for.
	Engine string
	// Order is the order, without a fencing number.
	Order engine.Order
}

func (Send) command() {}
