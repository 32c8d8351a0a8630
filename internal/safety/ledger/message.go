package ledger

import "github.com/cicadamill/cicadamill/internal/safety/effect"

// Message is an input of [State.Update]. It is one of [Begin], [Reserved],
// [Conflicted], [Lost], [Unavailable], [Row], [Answer], [NoAnswer], [WaitDone] or
// [Finished].
type Message interface{ message() }

// Begin starts the call.
type Begin struct{}

// Reserved means that the conditional write succeeded.
type Reserved struct{}

// Conflicted means that the row did not have the version that [Reserve] expected.
type Conflicted struct{}

// Lost means that the write got no reply and may have taken effect.
type Lost struct{}

// Unavailable means that the table service was unavailable: a write certainly had no
// effect, or a read failed.
type Unavailable struct{}

// Row is the result of reading the reservation.
type Row struct {
	Record Record
	// Version is the version of the row; zero means that the row doesn't exist.
	Version uint64
}

// NoAnswer means that the owner has not stored an answer yet.
type NoAnswer struct{}

// WaitDone means that the delay of a [Wait] has passed.
type WaitDone struct{}

// Finished is the result of a dispatched call.
type Finished struct {
	// Outcome is sealed by the target's client.
	Outcome effect.Outcome
	// Answer is set if the outcome is [effect.Answered].
	Answer Answer
	// Code is the stable error code of a failure.
	Code string
	// Message is human-readable.
	Message string
}

func (Begin) message()       {}
func (Reserved) message()    {}
func (Conflicted) message()  {}
func (Lost) message()        {}
func (Unavailable) message() {}
func (Row) message()         {}
func (Answer) message()      {}
func (NoAnswer) message()    {}
func (WaitDone) message()    {}
func (Finished) message()    {}
