package batch

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/infra/table"
)

// Result is the outcome of a write.
type Result int

// The results of a write.
const (
	// Done means that the write took effect.
	Done Result = iota
	// Conflict means that the row did not have the expected version.
	Conflict
	// Unsure means that the write may have taken effect.
	Unsure
	// Failed means that the write certainly had no effect.
	Failed
	// Full means that the write was not sent, because the queue is full.
	Full
)

// Command is an output of [State.Update]. It is one of [Commit], [Probe],
// [Finish] or [Wake].
type Command interface{ command() }

// Commit sends a transaction. The caller replies with [Committed], [Conflicted],
// [Lost] or [Unavailable].
type Commit struct {
	// Txn is the ID of the transaction.
	Txn  uint64
	Puts []table.Put
}

// Probe reads the versions of rows. The caller replies with [Versions].
type Probe struct {
	// Txn is the ID of the transaction that waits for the versions.
	Txn uint64
	// Keys are the keys of the rows.
	Keys []string
}

// Finish reports the result of a write to its caller.
type Finish struct {
	// ID is that of the [Write].
	ID     uint64
	Result Result
}

// Wake asks for a [Tick] after a delay.
type Wake struct {
	After time.Duration
}

func (Commit) command() {}
func (Probe) command()  {}
func (Finish) command() {}
func (Wake) command()   {}
