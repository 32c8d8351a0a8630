package batch

import "github.com/cicadamill/cicadamill/internal/infra/table"

// Write is a write of one caller.
type Write struct {
	// ID is chosen by the caller and returned in [Finish].
	ID  uint64
	Put table.Put
}

// Message is an input of [State.Update]. It is one of [Add], [Committed],
// [Conflicted], [Lost], [Unavailable], [Versions] or [Tick].
type Message interface{ message() }

// Add queues a write.
type Add struct {
	Write Write
}

// Committed means that a transaction took effect.
type Committed struct {
	// Txn is the ID of the transaction.
	Txn uint64
}

// Conflicted means that the condition of one write failed, so the transaction had
// no effect.
type Conflicted struct {
	// Txn is the ID of the transaction.
	Txn uint64
	// Key is the key of the row whose condition failed.
	Key string
}

// Lost means that a transaction got no reply and may have taken effect.
type Lost struct {
	// Txn is the ID of the transaction.
	Txn uint64
}

// Unavailable means that a transaction certainly had no effect.
type Unavailable struct {
	// Txn is the ID of the transaction.
	Txn uint64
}

// Versions is the result of a [Probe].
type Versions struct {
	// Txn is the ID of the transaction.
	Txn uint64
	// ByKey maps row keys to versions. Rows that could not be read are missing.
	ByKey map[string]uint64
}

// Tick starts transactions that had to wait for the interval.
type Tick struct{}

func (Add) message()         {}
func (Committed) message()   {}
func (Conflicted) message()  {}
func (Lost) message()        {}
func (Unavailable) message() {}
func (Versions) message()    {}
func (Tick) message()        {}
