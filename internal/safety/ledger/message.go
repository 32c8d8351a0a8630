package ledger

import "github.com/cicadamill/cicadamill/internal/safety/effect"

// Message tells a [State] what happened. It is one of [Begin], [Reserved],
// [Conflicted], [Lost], [Down], [Row], [Answer], [NoAnswer], [Woke] or
// [Finished].
type Message interface{ message() }

// Begin starts the call.
type Begin struct{}

// Reserved means that the conditional write succeeded.
type Reserved struct{}

// Conflicted means that the condition of the write did not hold.
type Conflicted struct{}

// Lost means that the write may have taken effect, without a reply.
type Lost struct{}

// Down means that the table service gave nothing: a write certainly had no
// effect, or a read failed.
type Down struct{}

// Row is the reservation as it was read.
type Row struct {
	// Record is the reservation.
	Record Record
	// Version is the version of the row; zero means that there is none.
	Version uint64
}

// NoAnswer means that nothing is kept yet for the owner asked for.
type NoAnswer struct{}

// Woke means that a wait is over.
type Woke struct{}

// Finished is what became of a dispatched call.
type Finished struct {
	// Outcome is sealed by the target's client.
	Outcome effect.Outcome
	// Answer is the answer, when there is one.
	Answer Answer
	// Code is the stable code of a failure.
	Code string
	// Message is a text for people.
	Message string
}

func (Begin) message()      {}
func (Reserved) message()   {}
func (Conflicted) message() {}
func (Lost) message()       {}
func (Down) message()       {}
func (Row) message()        {}
func (Answer) message()     {}
func (NoAnswer) message()   {}
func (Woke) message()       {}
func (Finished) message()   {}
