package batch

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/infra/table"
)

// Result is what became of one write.
type Result int

// The results of a write.
const (
	// Done means that it took effect.
	Done Result = iota
	// Conflict means that its condition did not hold.
	Conflict
	// Unsure means that it may have taken effect.
	Unsure
	// Failed means that it certainly took no effect.
	Failed
	// Full means that too many writes wait; it certainly took no effect.
	Full
)

// Command is what a [State] wants done. It is one of [Commit], [Probe],
// [Finish] or [Wake].
type Command interface{ command() }

// Commit sends a transaction; [Committed], [Conflicted], [Lost] or [Down]
// answers.
type Commit struct {
	// Txn is the transaction.
	Txn uint64
	// Puts are its writes.
	Puts []table.Put
}

// Probe reads the versions of rows; [Versions] answers.
type Probe struct {
	// Txn is the transaction that waits for them.
	Txn uint64
	// Keys are the rows.
	Keys []string
}

// Finish tells a caller what became of its write.
type Finish struct {
	// ID names the write.
	ID uint64
	// Result is what became of it.
	Result Result
}

// Wake asks for a [Tick].
type Wake struct {
	// After is the time until then.
	After time.Duration
}

func (Commit) command() {}
func (Probe) command()  {}
func (Finish) command() {}
func (Wake) command()   {}
