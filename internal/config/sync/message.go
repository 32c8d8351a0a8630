package sync

import (
	"fmt"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Message is an event passed to [State.Update]. It is one of [Tick], [Peers], [Heard],
// [HeadRead], [Offered] or [FetchFailed].
type Message interface{ message() }

// Tick lets due timers fire.
type Tick struct{}

// Peers replaces the list of peers.
type Peers struct {
	// Addresses are the peer addresses of other nodes, not necessarily all.
	Addresses []string
	// Nodes is the size of the whole fleet, including this node.
	Nodes int
}

// Heard reports the active version of a peer.
type Heard struct {
	// Peer is the peer's address.
	Peer    string
	Version uint64
}

// HeadRead is the result of [ReadHead]. Version is zero when the row is missing.
type HeadRead struct {
	// Version is the accepted version.
	Version uint64
	// Sum is the digest of the accepted configuration, see [delta.Sum].
	Sum string
}

// Offered delivers a complete, validated configuration that was fetched or was
// accepted on this node.
type Offered struct {
	Version uint64
	// Sum is the digest of Config.
	Sum    string
	Config site.Config
	// Changes lead from the active version to this one; empty if unknown.
	Changes []delta.Change
	// From is the address of the peer that sent it; empty if no peer did.
	From string
	// Fetched is true for the result of [FetchPeer] or [FetchTable].
	Fetched bool
}

// FetchFailed reports that a fetch failed or returned nothing newer.
type FetchFailed struct {
	// Peer is the address of the queried peer; empty means the table.
	Peer string
}

func (Tick) message()        {}
func (Peers) message()       {}
func (Heard) message()       {}
func (HeadRead) message()    {}
func (Offered) message()     {}
func (FetchFailed) message() {}

// Command is an action that the caller of [State.Update] must execute. It is one of
// [ReadHead], [FetchPeer], [FetchTable], [Apply], [Tell] or [Warn].
type Command interface{ command() }

// ReadHead reads the head row of the table.
type ReadHead struct{}

// FetchPeer requests a configuration newer than Have from a peer.
type FetchPeer struct {
	// Peer is the peer's address.
	Peer string
	// Have is the active version on this node.
	Have uint64
	// Sum is the digest of the active configuration on this node.
	Sum string
}

// FetchTable reads a version from the platform's table and object store.
type FetchTable struct {
	Version uint64
}

// Apply makes a configuration the active one.
type Apply struct {
	Version uint64
	// Sum is the digest of Config.
	Sum    string
	Config site.Config
	// Changes lead from the previously active version to this one; empty if
	// unknown.
	Changes []delta.Change
}

// Tell sends the active version of this node to peers.
type Tell struct {
	// Peers are the addresses to notify.
	Peers   []string
	Version uint64
}

// Warn sets or clears the flag shown to operators.
type Warn struct {
	// Flag is the condition to show; nil clears it.
	Flag Flag
}

func (ReadHead) command()   {}
func (FetchPeer) command()  {}
func (FetchTable) command() {}
func (Apply) command()      {}
func (Tell) command()       {}
func (Warn) command()       {}

// Flag is a condition that only an operator can resolve. It is [TableOlder] or
// [Forked].
type Flag interface {
	flag()
	fmt.Stringer
}

// TableOlder means that the table was restored to an older state. The node
// keeps the newest version that it has seen.
type TableOlder struct {
	// Table is the accepted version according to the table.
	Table uint64
	// InForce is the active version on this node.
	InForce uint64
}

// Forked means that the table records different content for the version that is
// active on this node.
type Forked struct {
	Version uint64
}

func (TableOlder) flag() {}
func (Forked) flag()     {}

// String describes the condition and how to resolve it.
func (f TableOlder) String() string {
	return fmt.Sprintf("the table is at version %d, older than version %d in force: it was restored; submit again from version %d", f.Table, f.InForce, f.InForce)
}

// String describes the condition and how to resolve it.
func (f Forked) String() string {
	return fmt.Sprintf("the table holds another configuration as version %d: it was restored; submit again from version %d", f.Version, f.Version)
}
