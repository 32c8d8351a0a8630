package member

import (
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// Command is something that the shell must do. It is one of [Exchange],
// [Reply], [Ask], [Heard], [TargetLeaving], [CrashHeard] or [Count].
type Command interface{ command() }

// Exchange sends a note and brings the answer back as [Replied] or [Lost].
type Exchange struct {
	// Name is the other node; empty when only its address is known.
	Name string
	// Address is where to reach it.
	Address string
	// Note is this node's half.
	Note note.Note
	// Asked is true when another node wants to know the result.
	Asked bool
}

// Reply answers a [Received] note.
type Reply struct {
	// Note is this node's half.
	Note note.Note
}

// Ask has another node try a third one; the result comes back as [Vouched].
type Ask struct {
	// Address is the node to ask.
	Address string
	// Name and Target are the name and the address of the third node.
	Name, Target string
}

// Heard tells that another node has a newer configuration in force.
type Heard struct {
	// Version is the number of the configuration.
	Version uint64
	// Address is the node that has it.
	Address string
}

// TargetLeaving tells of a new mark.
type TargetLeaving struct {
	// Mark is the mark.
	Mark note.Mark
}

// CrashHeard tells of a crash that another node charged.
type CrashHeard struct {
	// Crash is the charge.
	Crash note.Crash
}

// Count adds one to a counter.
type Count struct {
	// Name is the counter's name.
	Name string
}

func (Exchange) command()      {}
func (Reply) command()         {}
func (Ask) command()           {}
func (Heard) command()         {}
func (TargetLeaving) command() {}
func (CrashHeard) command()    {}
func (Count) command()         {}

// The names of the counters.
const (
	// CountSuspected counts nodes that this node itself began to suspect.
	CountSuspected = "member_suspected"
	// CountDead counts nodes whose suspicion ran out here.
	CountDead = "member_dead"
	// CountRefuted counts refutations of this node's own suspicion or death.
	CountRefuted = "member_refuted"
	// CountVouched counts failed exchanges that another node's word excused.
	CountVouched = "member_vouched"
	// CountDoubtedDeath counts reports of death of nodes that had just answered.
	CountDoubtedDeath = "member_death_doubted"
	// CountReturned counts dead nodes that came back.
	CountReturned = "member_returned"
	// CountStalled counts pauses of this node's own process.
	CountStalled = "member_stalled"
	// CountRepaired counts exchanges in which the views differed.
	CountRepaired = "member_repaired"
	// CountDropped counts news and members given up because a bound was reached.
	CountDropped = "member_dropped"
)
