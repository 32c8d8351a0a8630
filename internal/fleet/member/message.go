package member

import (
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// Message is something that happened. It is one of [Tick], [Received],
// [Replied], [Lost], [Asked], [Vouched], [Listed], [Leave], [Applied],
// [SawTarget], [MarkTarget], [Crashed] or [Doubted].
type Message interface{ message() }

// Tick tells that time has passed. It is due every [TickInterval].
type Tick struct{}

// Received brings the note of a node that began an exchange.
type Received struct {
	// Note is the other node's half.
	Note note.Note
}

// Replied brings the answer to an [Exchange].
type Replied struct {
	// Note is the other node's half.
	Note note.Note
}

// Lost tells that an [Exchange] got no answer.
type Lost struct {
	// Name is the node that was tried; empty when only an address was known.
	Name string
	// Asked is true when another node had asked for the try.
	Asked bool
}

// Asked brings another node's wish to know whether a third one answers.
type Asked struct {
	// Name and Address are of the third node.
	Name, Address string
}

// Vouched brings the answer to an [Ask].
type Vouched struct {
	// Name is the third node.
	Name string
	// Reached is true when it answered the node that was asked.
	Reached bool
}

// Listed brings the platform's lagging list of entry hosts and the targets that
// it shows as leaving.
type Listed struct {
	// Nodes are the entry hosts.
	Nodes []Host
	// LeavingTargets are the names of all other hosts that are leaving.
	LeavingTargets []string
}

// Host is an entry host on the platform's list.
type Host struct {
	// Name is the node's name.
	Name string
	// Address is where other nodes reach it.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Leaving is true when the platform is about to take it away.
	Leaving bool
}

// Leave tells that this node stops.
type Leave struct{}

// Applied tells that this node has put a configuration in force.
type Applied struct {
	// Version is the number of the configuration.
	Version uint64
}

// SawTarget tells which incarnation a target showed.
type SawTarget struct {
	// Target is the target's name.
	Target string
	// Incarnation identifies its start.
	Incarnation string
}

// MarkTarget tells that one start of a target wants no new work.
type MarkTarget struct {
	// Target is the target's name.
	Target string
	// Incarnation identifies its start.
	Incarnation string
}

// Crashed tells of a request that was charged with a crash on this node.
type Crashed struct {
	// Crash is the charge.
	Crash note.Crash
}

// Doubted tells that this node could not reach another one for some other work.
type Doubted struct {
	// Name is the other node.
	Name string
}

func (Tick) message()       {}
func (Received) message()   {}
func (Replied) message()    {}
func (Lost) message()       {}
func (Asked) message()      {}
func (Vouched) message()    {}
func (Listed) message()     {}
func (Leave) message()      {}
func (Applied) message()    {}
func (SawTarget) message()  {}
func (MarkTarget) message() {}
func (Crashed) message()    {}
func (Doubted) message()    {}
