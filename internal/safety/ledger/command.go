package ledger

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// Command is an output of [State.Update]. It is one of [Reserve], [Read],
// [ReadAnswer], [Wait], [Dispatch], [Store], [Reply] or [Refuse].
type Command interface{ command() }

// Reserve writes the reservation if its row has version IfVersion. The caller
// replies with [Reserved], [Conflicted], [Lost] or [Unavailable].
type Reserve struct {
	Record Record
	// IfVersion is the expected version of the row; zero means that the row must
	// not exist.
	IfVersion uint64
}

// Read reads the reservation. The caller replies with [Row] or [Unavailable].
type Read struct{}

// ReadAnswer reads the stored answer of an owner. The caller replies with
// [Answer], [NoAnswer] or [Unavailable].
type ReadAnswer struct {
	// Nonce identifies the owner.
	Nonce string
}

// Wait asks for [WaitDone] after a delay.
type Wait struct {
	For time.Duration
}

// Dispatch sends the call to a target, once. Right before the first byte is sent
// the caller must check [Dispatch.Expired]; it replies with [Finished].
type Dispatch struct {
	// Since is the start of the hold time.
	Since time.Time
	// Hold is the time within which the first byte must be sent.
	Hold time.Duration
}

// Expired reports whether the hold time has passed.
func (d Dispatch) Expired(now time.Time) bool { return Elapsed(d.Since, now) >= d.Hold }

// Store stores the outcome of the call. The reply to the client doesn't wait for
// it.
type Store struct {
	Answer Answer
}

// Reply sends an answer to the client.
type Reply struct {
	Answer Answer
	// Repeated is true if the answer is the stored one of an earlier request.
	Repeated bool
}

// Refuse sends an error to the client.
type Refuse struct {
	// Code is a stable error code that clients may depend on.
	Code string
	// Outcome says whether the call ran.
	Outcome effect.Outcome
	// RetryAfter is the delay before a retry; zero means that a retry can't
	// succeed.
	RetryAfter time.Duration
	// Message is human-readable.
	Message string
}

func (Reserve) command()    {}
func (Read) command()       {}
func (ReadAnswer) command() {}
func (Wait) command()       {}
func (Dispatch) command()   {}
func (Store) command()      {}
func (Reply) command()      {}
func (Refuse) command()     {}
