package syncer

import (
	"fmt"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Message is an event passed to [State.Update]. It is one of [Tick], [PeersChanged],
// [PeerVersion], [HeadRead], [ConfigReceived] or [FetchFailed].
type Message interface{ message() }

// Tick lets due timers fire.
type Tick struct{}

// PeersChanged replaces the list of peers.
type PeersChanged struct {
	// Addresses are the peer addresses of other nodes, not necessarily all.
	Addresses []string
	// Nodes is the size of the whole fleet, including this node.
	Nodes int
}

// PeerVersion reports the active version of a peer.
type PeerVersion struct {
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

// ConfigReceived delivers a complete, validated configuration that was fetched or
// was accepted on this node.
type ConfigReceived struct {
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

func (Tick) message()           {}
func (PeersChanged) message()   {}
func (PeerVersion) message()    {}
func (HeadRead) message()       {}
func (ConfigReceived) message() {}
func (FetchFailed) message()    {}

// Command is an action that the caller of [State.Update] must execute. It is one of
// [ReadHead], [FetchPeer], [FetchTable], [Apply], [NotifyPeers] or [SetFlag].
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

// NotifyPeers sends the active version of this node to peers.
type NotifyPeers struct {
	// Peers are the addresses to notify.
	Peers   []string
	Version uint64
}

// SetFlag sets or clears the flag shown to operators.
type SetFlag struct {
	// Flag is the condition to show; nil clears it.
	Flag Flag
}

func (ReadHead) command()    {}
func (FetchPeer) command()   {}
func (FetchTable) command()  {}
func (Apply) command()       {}
func (NotifyPeers) command() {}
func (SetFlag) command()     {}

// Flag is a condition that only an operator can resolve. It is [TableOlder] or
// [TableDiffers].
type Flag interface {
	flag()
	fmt.Stringer
}

// TableOlder means that the table was restored to an older state. The node
// keeps the newest version that it has seen.
type TableOlder struct {
	// Table is the accepted version according to the table.
	Table uint64
	// Active is the active version on this node.
	Active uint64
}

// TableDiffers means that the table records different content for the version that
// is active on this node.
type TableDiffers struct {
	Version uint64
}

func (TableOlder) flag()   {}
func (TableDiffers) flag() {}

// String describes the condition and how to resolve it.
func (f TableOlder) String() string {
	return fmt.Sprintf("the table is at version %d, older than version %d in force: it was restored; submit again from version %d", f.Table, f.Active, f.Active)
}

// String describes the condition and how to resolve it.
func (t TableDiffers) String() string {
	return fmt.Sprintf("the table holds another configuration as version %d: it was restored; submit again from version %d", t.Version, t.Version)
}
