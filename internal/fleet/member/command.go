package member

import (
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// Command is an action for the shell. It is one of [Exchange], [Reply],
// [RequestProbe], [NewerConfig], [NodeLeaving], [TargetLeaving], [CrashReceived] or
// [Count].
type Command interface{ command() }

// Exchange sends a note to a node. The shell returns the response as
// [Replied], or reports the failure as [ExchangeFailed].
type Exchange struct {
	// Name is the other node; empty when only its address is known.
	Name string
	// Address is the node's address.
	Address string
	// Note is the note to send.
	Note note.Note
	// Indirect is true for an indirect probe, whose result goes to the node that
	// requested it.
	Indirect bool
}

// Reply is the response to a [Received] note.
type Reply struct {
	// Note is the note to send back.
	Note note.Note
}

// RequestProbe requests an indirect probe: another node contacts a third one, and
// the result comes back as [ProbeResult].
type RequestProbe struct {
	// Via is the address of the node that sends the probe.
	Via string
	// Name and Address are the name and the address of the node to probe.
	Name, Address string
}

// NewerConfig reports that another node has a newer configuration in force.
type NewerConfig struct {
	// Version is the number of the configuration.
	Version uint64
	// Address is that of the node that has it.
	Address string
}

// NodeLeaving reports that another node has announced that it is shutting down.
type NodeLeaving struct {
	// Name is the other node.
	Name string
}

// TargetLeaving reports a mark received from another node.
type TargetLeaving struct {
	// Mark names the target and its incarnation.
	Mark note.Mark
}

// CrashReceived reports a crash record received from another node.
type CrashReceived struct {
	// Crash describes the request and its crashes.
	Crash note.Crash
}

// Count increments a counter.
type Count struct {
	// Name is one of the Count constants.
	Name string
}

func (Exchange) command()      {}
func (Reply) command()         {}
func (RequestProbe) command()  {}
func (NewerConfig) command()   {}
func (NodeLeaving) command()   {}
func (TargetLeaving) command() {}
func (CrashReceived) command() {}
func (Count) command()         {}

// Names of the counters.
const (
	// CountSuspected counts nodes that this node began to suspect by its own
	// probe.
	CountSuspected = "member_suspected"
	// CountDead counts nodes that this node declared dead when their suspicion
	// timed out.
	CountDead = "member_dead"
	// CountRefuted counts refutations of reports that this node is suspect or
	// dead.
	CountRefuted = "member_refuted"
	// CountVouched counts failed exchanges after which an indirect probe
	// reached the node.
	CountVouched = "member_vouched"
	// CountDoubtedDeath counts reports of the death of a node that had just
	// responded here.
	CountDoubtedDeath = "member_death_doubted"
	// CountReturned counts dead nodes that became alive again.
	CountReturned = "member_returned"
	// CountStalled counts pauses of this node's own process.
	CountStalled = "member_stalled"
	// CountRepaired counts exchanges in which the views differed.
	CountRepaired = "member_repaired"
	// CountDropped counts updates and members discarded because a limit was
	// reached.
	CountDropped = "member_dropped"
)
