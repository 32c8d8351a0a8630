package ledger

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// Command is what a [State] wants done. It is one of [Reserve], [Read],
// [ReadAnswer], [Wait], [Dispatch], [Keep], [Reply] or [Refuse].
type Command interface{ command() }

// Reserve writes the reservation if its row has this version. The shell answers
// with [Reserved], [Conflicted], [Lost] or [Down].
type Reserve struct {
	// Record is what to write.
	Record Record
	// IfVersion is the version that the row must have; zero means none.
	IfVersion uint64
}

// Read reads the reservation; [Row] or [Down] answers.
type Read struct{}

// ReadAnswer reads what an owner kept; [Answer], [NoAnswer] or [Down] answers.
type ReadAnswer struct {
	// Nonce names the owner.
	Nonce string
}

// Wait asks for [Woke] after a time.
type Wait struct {
	// For is the time to wait.
	For time.Duration
}

// Dispatch sends the call to a target, once. The shell must compare the clock
// with the bound right before the first byte leaves, and answer [Finished].
type Dispatch struct {
	// Since is when the hold began.
	Since time.Time
	// Hold is the time within which the first byte must leave.
	Hold time.Duration
}

// Late reports whether the owner's time is over.
func (d Dispatch) Late(now time.Time) bool { return Elapsed(d.Since, now) >= d.Hold }

// Keep stores what became of the call, off the caller's path.
type Keep struct {
	// Answer is what to store.
	Answer Answer
}

// Reply gives the caller an answer.
type Reply struct {
	// Answer is the answer.
	Answer Answer
	// Repeated is true when it was kept from an earlier request.
	Repeated bool
}

// Refuse tells the caller that there is no answer.
type Refuse struct {
	// Code is stable; callers may branch on it.
	Code string
	// Outcome says whether the call ran.
	Outcome effect.Outcome
	// RetryAfter is when to try again; zero means that it would not help.
	RetryAfter time.Duration
	// Message is a text for people.
	Message string
}

func (Reserve) command()    {}
func (Read) command()       {}
func (ReadAnswer) command() {}
func (Wait) command()       {}
func (Dispatch) command()   {}
func (Keep) command()       {}
func (Reply) command()      {}
func (Refuse) command()     {}
