package member

import (
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// Message is an input of [View.Update]. It is one of [Tick], [Received], [Replied],
// [ExchangeFailed], [ProbeRequested], [ProbeResult], [HostList], [Leave],
// [ConfigApplied], [TargetSeen], [MarkTarget], [CrashRecorded] or [NodeUnreachable].
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

// ExchangeFailed reports that an [Exchange] got no response.
type ExchangeFailed struct {
	// Name is the node that was contacted; empty when only its address was known.
	Name string
	// Indirect is true when the exchange was an indirect probe for another node.
	Indirect bool
}

// ProbeRequested is a request from another node to probe a third one on its behalf.
type ProbeRequested struct {
	// Name and Address are those of the third node.
	Name, Address string
}

// ProbeResult carries the result of a [RequestProbe].
type ProbeResult struct {
	// Name is the third node.
	Name string
	// Reached is true when the third node responded to the indirect probe.
	Reached bool
}

// HostList carries the platform's host list, which lags behind reality: the
// entry hosts, and the targets that it shows as leaving.
type HostList struct {
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

// ConfigApplied reports that this node has put a configuration in force.
type ConfigApplied struct {
	// Version is the number of the configuration.
	Version uint64
}

// TargetSeen reports the incarnation under which a target answered.
type TargetSeen struct {
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

// CrashRecorded reports a request that this node holds responsible for an engine
// crash.
type CrashRecorded struct {
	// Crash describes the request and its crashes.
	Crash note.Crash
}

// NodeUnreachable reports that this node failed to reach another one outside of an
// exchange.
type NodeUnreachable struct {
	// Name is the other node.
	Name string
}

func (Tick) message()            {}
func (Received) message()        {}
func (Replied) message()         {}
func (ExchangeFailed) message()  {}
func (ProbeRequested) message()  {}
func (ProbeResult) message()     {}
func (HostList) message()        {}
func (Leave) message()           {}
func (ConfigApplied) message()   {}
func (TargetSeen) message()      {}
func (MarkTarget) message()      {}
func (CrashRecorded) message()   {}
func (NodeUnreachable) message() {}
