package lease

import "time"

// Message tells a [State] what happened. It is one of [Tick], [Row], [Written],
// [Unsure], [Down] or [Leave].
type Message interface{ message() }

// Tick lets time pass.
type Tick struct{}

// Row is the row as it was read.
type Row struct {
	// Record is what it holds.
	Record Record
	// Version is its version; zero means that there is none.
	Version uint64
}

// Written means that a write took effect.
type Written struct{}

// Unsure means that a write failed on its condition or got no reply.
type Unsure struct{}

// Down means that a read failed, or that a write certainly had no effect.
type Down struct{}

// Leave gives the lease up, so that another process need not wait for its end.
// It must be sent after the last act under the grant.
type Leave struct {
	// LastAct is when this process last acted under the grant; zero means never.
	LastAct time.Time
}

func (Leave) message()   {}
func (Tick) message()    {}
func (Row) message()     {}
func (Written) message() {}
func (Unsure) message()  {}
func (Down) message()    {}

// Command is what a [State] wants done: [Read] or [Write].
type Command interface{ command() }

// Read reads the row; [Row] or [Down] answers.
type Read struct{}

// Write writes the row on a condition; [Written], [Unsure] or [Down] answers.
type Write struct {
	// Record is what to write.
	Record Record
	// IfVersion is the version that the row must have; zero means none.
	IfVersion uint64
}

func (Read) command()  {}
func (Write) command() {}
