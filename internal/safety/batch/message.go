package batch

import "github.com/cicadamill/cicadamill/internal/infra/table"

// Write is one call's write.
type Write struct {
	// ID names the write; the caller chooses it.
	ID uint64
	// Put is what to write.
	Put table.Put
}

// Message tells a [State] what happened. It is one of [Add], [Committed],
// [Conflicted], [Lost], [Down], [Versions] or [Tick].
type Message interface{ message() }

// Add brings a write.
type Add struct {
	// Write is the write.
	Write Write
}

// Committed means that a transaction took effect.
type Committed struct {
	// Txn is the transaction.
	Txn uint64
}

// Conflicted means that one condition failed and nothing was written.
type Conflicted struct {
	// Txn is the transaction.
	Txn uint64
	// Key is the row whose condition failed.
	Key string
}

// Lost means that a transaction may have taken effect.
type Lost struct {
	// Txn is the transaction.
	Txn uint64
}

// Down means that a transaction certainly took no effect.
type Down struct {
	// Txn is the transaction.
	Txn uint64
}

// Versions answers a [Probe].
type Versions struct {
	// Txn is the transaction.
	Txn uint64
	// ByKey are the versions of the rows; one that could not be read is missing.
	ByKey map[string]uint64
}

// Tick lets time pass.
type Tick struct{}

func (Add) message()        {}
func (Committed) message()  {}
func (Conflicted) message() {}
func (Lost) message()       {}
func (Down) message()       {}
func (Versions) message()   {}
func (Tick) message()       {}
