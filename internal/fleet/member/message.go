package member

import (
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// Message is an input of [State.Update]. It is one of [Tick], [Received],
// [Replied], [Lost], [Asked], [Vouched], [Listed], [Leave], [Applied],
// [SawTarget], [MarkTarget], [Crashed] or [Doubted].
type Message interface{ message() }

// Tick reports that time has passed. The shell sends one every [TickInterval].
type Tick struct{}

// Received carries the note of a node that began an exchange.
type Received struct {
	// Note is what the other node sent.
	Note note.Note
}

// Replied carries the response to an [Exchange].
type Replied struct {
	// Note is what the other node sent.
	Note note.Note
}

// Lost reports that an [Exchange] got no response.
type Lost struct {
	// Name is the node that was contacted; empty when only its address was known.
	Name string
	// Asked is true when the exchange was an indirect probe for another node.
	Asked bool
}

// Asked is a request from another node to probe a third one on its behalf.
type Asked struct {
	// Name and Address are those of the third node.
	Name, Address string
}

// Vouched carries the result of an [Ask].
type Vouched struct {
	// Name is the third node.
	Name string
	// Reached is true when the third node responded to the indirect probe.
	Reached bool
}

// Listed carries the platform's host list, which lags behind reality: the
// entry hosts, and the targets that it shows as leaving.
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
	// DataCentre is the data centre of the host.
	DataCentre string
	// Leaving is true when the platform is about to remove the host.
	Leaving bool
}

// Leave reports that this node is shutting down.
type Leave struct{}

// Applied reports that this node has put a configuration in force.
type Applied struct {
	// Version is the number of the configuration.
	Version uint64
}

// SawTarget reports the incarnation under which a target answered.
type SawTarget struct {
	// Target is the target's name.
	Target string
	// Incarnation identifies the start of its process.
	Incarnation string
}

// MarkTarget reports that one incarnation of a target accepts no new work.
type MarkTarget struct {
	// Target is the target's name.
	Target string
	// Incarnation identifies the start of its process.
	Incarnation string
}

// Crashed reports a request that this node holds responsible for an engine
// crash.
type Crashed struct {
	// Crash describes the request and its crashes.
	Crash note.Crash
}

// Doubted reports that this node failed to reach another one outside of an
// exchange.
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
