// Package peers exchanges state with the other nodes: the load on targets, cache
// contents, crashes and drained targets. Each node routes on its own and needs
// this to account for the work of the others. Package tree decides which nodes
// send to which.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
	"github.com/cicadamill/cicadamill/internal/target/answer"
)

const (
	// meshInterval is the interval between messages in a full mesh. It is less
	// than the time to first token, so that most routing decisions already
	// include the previous request.
	meshInterval = 60 * time.Millisecond
	// treeInterval is the interval between messages in a tree. It is longer,
	// since small hosts read the state of all nodes each time, and a request
	// considers only a few of the many targets.
	treeInterval = 150 * time.Millisecond
	// callTimeout limits a call to a peer; peers are milliseconds away.
	callTimeout = 400 * time.Millisecond
	// namesInterval is the interval between lists of the nodes that are up.
	namesInterval = time.Second
	// drainedMaxAge is how long a list of drained targets is valid without an update
	// from the lease holder.
	drainedMaxAge = 1500 * time.Millisecond
	// maxMessageBytes limits the size of a message.
	maxMessageBytes = 4 << 20
)

// Options configures [Peers].
type Options struct {
	// Self is this node.
	Self tree.Node
	// Address is where this node listens for peers.
	Address string
	// Compose returns the state to send to a recipient, with the log entries
	// after a position.
	Compose func(to oplog.Recipient, after Cursor) Message
	// Apply applies a message from another node. If counted is false, the load
	// in it must be ignored, because another node's messages include it too.
	Apply func(from oplog.Origin, m Message, counted bool)
	// DropLoad discards the load reported by a node: from now on another node's
	// messages include it, or none do.
	DropLoad func(node string)
	// Rows returns the changes after a version in this node's copy of a table;
	// false for an unknown table, or without a copy.
	Rows func(table string, after uint64) (feed.Page, bool)
	// Tables returns how current this node's copies of the store's tables are.
	Tables func() map[string]TableState
	// OnParentReply is called after each response from the parent.
	OnParentReply func()
	// Parts returns the prompt parts that are cached by this node's estimate.
	Parts func() []pick.Placement
	// Scope receives the metrics.
	Scope tally.Scope
	// Logger logs changes in membership.
	Logger hclog.Logger
}

// Peers exchanges state with other nodes. It is a suture service that sends the
// messages, and the HTTP handler of the listener for peers. See [New].
type Peers struct {
	options Options
	// start identifies this start of the process.
	start  uint64
	client *http.Client

	mu           sync.Mutex
	tree         *tree.Topology
	links        map[string]*link
	parent       string
	drained      drainList
	parentTables parentTables
	// reportedTo are the nodes that the last messages were due to.
	reportedTo []string
	leaving    bool

	partsMu sync.Mutex
	// parts are the encoded prompt parts as of partsAt.
	parts   []byte
	partsAt time.Time
}

// link is the connection state of one peer.
type link struct {
	address string
	// start identifies the peer's process that acked and received belong to.
	start uint64
	// busy is true while a message to the peer is in flight.
	busy bool
	// acked is the position in this node's logs that the peer has received,
	// received the position in the peer's logs that this node has received.
	acked, received Cursor
	// namesSent is when the list of nodes that are up was last sent to the peer.
	namesSent time.Time
}

// drainList is the latest list of drained targets from the holder of the order
// lease.
type drainList struct {
	Drained
	at     time.Time
	origin oplog.Origin
}

// parentTables is the parent's latest report on its copies of the store's tables.
type parentTables struct {
	tables map[string]TableState
	at     time.Time
}

// New returns a service without peers.
//
//	others := peers.New(options)
//	supervisor.Add(others)
//	others.Add(tree.Node{Name: "front-2", DataCentre: "east"}, "10.0.0.2:7000")
func New(options Options) *Peers {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &Peers{
		options: options, start: rand.Uint64(), tree: tree.New(options.Self), links: map[string]*link{},
		client: &http.Client{Timeout: callTimeout, Transport: answer.New(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
			IdleConnTimeout: 10 * time.Second, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
		})},
	}
}

// Add adds a peer, or changes the address of a known one.
func (p *Peers) Add(node tree.Node, address string) {
	if node.Name == p.options.Self.Name || address == "" || address == p.options.Address {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link(time.Now(), node, address)
}

// link returns the link to a peer, or a new one if the peer is unknown or its
// address has changed.
func (p *Peers) link(now time.Time, node tree.Node, address string) *link {
	p.dropSeed(node.Name, address)
	p.tree.Add(now, node)
	l, ok := p.links[node.Name]
	if !ok || l.address != address {
		l = &link{address: address, acked: latest, received: latest}
		p.links[node.Name] = l
	}
	return l
}

// linkTo returns the link to the sender of a message. If the sender has restarted, it
// has forgotten what it received before.
func (p *Peers) linkTo(now time.Time, m Message) *link {
	l := p.link(now, tree.Node{Name: m.From, DataCentre: m.DataCentre, Strength: m.Strength}, m.Address)
	if l.start != m.Start {
		l.start, l.acked, l.received = m.Start, latest, latest
	}
	return l
}

// Nodes returns the number of nodes that may be running, this one included.
func (p *Peers) Nodes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Count()
}

// reachTime is how long ago a node that is reached was last seen: longer than a host is
// suspended or restarts as a rule.
const reachTime = 8 * time.Second

// Reached returns the sorted names of all nodes that may be running, and of those that
// were seen lately, this one included in both.
func (p *Peers) Reached(now time.Time) (counted, reached []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Seen(now, time.Hour), p.tree.Seen(now, reachTime)
}

// Silent returns the addresses of the peers that may be running but are not up, by name.
func (p *Peers) Silent(now time.Time) map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := map[string]string{}
	for name, l := range p.links {
		if !p.tree.IsSeed(name) && !p.tree.Alive(now, name) {
			silent[name] = l.address
		}
	}
	return silent
}

// Up returns the peers that are up, sorted by name.
func (p *Peers) Up(now time.Time) []tree.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Up(now)
}

// Expected returns the peers that are up or may be about to be, sorted by name. See
// [tree.Topology.Expected].
func (p *Peers) Expected(now time.Time) []tree.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Expected(now)
}

// LacksAddress reports whether any peer is up whose address is unknown.
func (p *Peers) LacksAddress() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, node := range p.tree.Up(time.Now()) {
		if p.links[node.Name] == nil {
			return true
		}
	}
	return false
}

// Strongest returns the names of the count strongest nodes that are up, this one
// included.
func (p *Peers) Strongest(now time.Time, count int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Strongest(now, count)
}

// Parent returns the name of the peer that sends this node the state of all
// others; empty if this node is a root or part of a full mesh.
func (p *Peers) Parent() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parent
}

// HasChildren reports whether this node is the parent of any other.
func (p *Peers) HasChildren() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.HasChildren(time.Now())
}

// Upstream returns how current the parent's copy of a table is, with the age as
// of now; false if there is no parent or it did not report on the table.
func (p *Peers) Upstream(table string) (TableState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.parentTables.tables[table]
	known.Age += time.Since(p.parentTables.at)
	return known, ok && p.parent != ""
}

// Drained returns the targets that get no new requests now.
func (p *Peers) Drained(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]bool{}
	if now.Sub(p.drained.at) < drainedMaxAge {
		for _, id := range p.drained.Targets {
			all[id] = true
		}
	}
	return all
}

// SetDrained sets the list of drained targets when this node holds the order lease.
func (p *Peers) SetDrained(e Drained) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyDrained(time.Now(), oplog.Origin{}, e)
}

// applyDrained applies a list of drained targets unless it has a lower fencing
// token than the present one, or the same one and is older.
func (p *Peers) applyDrained(now time.Time, from oplog.Origin, e Drained) {
	at := now.Add(-e.Age)
	if e.Fence < p.drained.Fence || e.Fence == p.drained.Fence && at.Before(p.drained.at) {
		return
	}
	if !slices.Equal(e.Targets, p.drained.Targets) {
		p.options.Logger.Info("targets emptied", "fence", e.Fence, "targets", e.Targets, "ageMs", e.Age.Milliseconds())
	}
	p.drained = drainList{Drained: Drained{Fence: e.Fence, Targets: slices.Clone(e.Targets)}, at: at, origin: from}
}

// Leave sets Leaving in all further messages, since this node is shutting down.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// interval returns the interval between messages.
func (p *Peers) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tree.IsMesh() {
		return meshInterval
	}
	return treeInterval
}

// Serve sends messages until the context ends and none is in flight.
func (p *Peers) Serve(ctx context.Context) error {
	timer := time.NewTimer(meshInterval)
	defer timer.Stop()
	ended := make(chan sendResult)
	pending := 0
	for {
		select {
		case <-ctx.Done():
			for ; pending > 0; pending-- {
				<-ended
			}
			return ctx.Err()
		case s := <-ended:
			pending--
			p.handleResult(time.Now(), s)
		case <-timer.C:
			for _, m := range p.due(time.Now()) {
				pending++
				go func(ctx context.Context) { ended <- p.send(ctx, m) }(ctx)
			}
			timer.Reset(jittered(p.interval()))
		}
	}
}
