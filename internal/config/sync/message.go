package sync

import (
	"fmt"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Message is something that happened. It is one of [Tick], [Peers], [Heard],
// [HeadRead], [Offered] or [FetchFailed].
type Message interface{ message() }

// Tick tells that time has passed.
type Tick struct{}

// Peers replaces the list of other nodes.
type Peers struct {
	// Addresses are where some or all of them listen.
	Addresses []string
	// Nodes is the size of the whole fleet.
	Nodes int
}

// Heard tells that a peer has a version in force.
type Heard struct {
	// Peer is the peer's address.
	Peer string
	// Version is the version.
	Version uint64
}

// HeadRead brings the head row of the table; no row counts as version zero.
type HeadRead struct {
	// Version is the accepted version.
	Version uint64
	// Sum is the digest of the configuration.
	Sum string
}

// Offered brings a whole checked configuration: fetched, or accepted here.
type Offered struct {
	// Version is its version.
	Version uint64
	// Sum is its digest.
	Sum string
	// Config is its content.
	Config site.Config
	// Changes lead to it from the version in force, when they are known.
	Changes []delta.Change
	// From is the peer that it came from; empty means none.
	From string
	// Fetched is true when it answers a fetch.
	Fetched bool
}

// FetchFailed tells that a fetch brought nothing newer.
type FetchFailed struct {
	// Peer is the peer that was asked; empty means the table.
	Peer string
}

func (Tick) message()        {}
func (Peers) message()       {}
func (Heard) message()       {}
func (HeadRead) message()    {}
func (Offered) message()     {}
func (FetchFailed) message() {}

// Command is what the node should do. It is one of [ReadHead], [FetchPeer],
// [FetchTable], [Apply], [Tell] or [Warn].
type Command interface{ command() }

// ReadHead reads the head row of the table.
type ReadHead struct{}

// FetchPeer asks a peer for what is newer than a version.
type FetchPeer struct {
	// Peer is the peer's address.
	Peer string
	// Have is the version in force here.
	Have uint64
	// Sum is the digest of the configuration in force here.
	Sum string
}

// FetchTable reads a version from the platform.
type FetchTable struct {
	// Version is the version.
	Version uint64
}

// Apply puts a configuration in force.
type Apply struct {
	// Version is its version.
	Version uint64
	// Sum is its digest.
	Sum string
	// Config is its content.
	Config site.Config
	// Changes lead to it from the version in force, when they are known.
	Changes []delta.Change
}

// Tell tells peers which version is in force here.
type Tell struct {
	// Peers are their addresses.
	Peers []string
	// Version is the version.
	Version uint64
}

// Warn raises a flag for the operators, or takes it down.
type Warn struct {
	// Flag is what is wrong; nil means that nothing is any more.
	Flag Flag
}

func (ReadHead) command()   {}
func (FetchPeer) command()  {}
func (FetchTable) command() {}
func (Apply) command()      {}
func (Tell) command()       {}
func (Warn) command()       {}

// Flag is something that only an operator can mend. It is [TableOlder] or
// [Forked].
type Flag interface {
	flag()
	fmt.Stringer
}

// TableOlder means that the table was restored to an older state. The newest
// known version stays in force.
type TableOlder struct {
	// Table is the version in the table.
	Table uint64
	// InForce is the version in force on this node.
	InForce uint64
}

// Forked means that the table has other content under the version in force.
type Forked struct {
	// Version is the version.
	Version uint64
}

func (TableOlder) flag() {}
func (Forked) flag()     {}

// String returns a text for operators.
func (f TableOlder) String() string {
	return fmt.Sprintf("the table is at version %d, older than version %d in force: it was restored; submit again from version %d", f.Table, f.InForce, f.InForce)
}

// String returns a text for operators.
func (f Forked) String() string {
	return fmt.Sprintf("the table holds another configuration as version %d: it was restored; submit again from version %d", f.Version, f.Version)
}
