package lease

import "time"

// Message is an input of [State.Update]. It is one of [Tick], [Row], [Written],
// [Unsure], [Unavailable] or [Release].
type Message interface{ message() }

// Tick starts a read of the lease if one is due.
type Tick struct{}

// Row is the result of reading the lease.
type Row struct {
	Record Record
	// Version is the version of the row; zero means that the row doesn't exist.
	Version uint64
	// Epoch is how often the table had been restored from a backup when the row was
	// read. What was written between the backup and the restoration is gone.
	Epoch uint64
}

// Written means that a write took effect.
type Written struct{}

// Unsure means that the expected version didn't match, or that a write got no
// reply and may have taken effect.
type Unsure struct{}

// Unavailable means that a read failed, or that a write certainly had no effect.
type Unavailable struct{}

// Release releases the lease for good, so that another process can take it without
// waiting for the end of the term. It must be sent after the last act as holder.
type Release struct {
	// LastAct is when this process last acted as holder; zero means never.
	LastAct time.Time
}

func (Release) message()     {}
func (Tick) message()        {}
func (Row) message()         {}
func (Written) message()     {}
func (Unsure) message()      {}
func (Unavailable) message() {}

// Command is an output of [State.Update]: [Read] or [Write].
type Command interface{ command() }

// Read reads the row. The caller replies with [Row] or [Unavailable].
type Read struct{}

// Write writes the row if it has version IfVersion. The caller replies with
// [Written], [Unsure] or [Unavailable].
type Write struct {
	Record Record
	// IfVersion is the expected version of the row; zero means that the row must
	// not exist.
	IfVersion uint64
}

func (Read) command()  {}
func (Write) command() {}
