// Package peers tells the other nodes what this one has under way, and hears the
// same of them, so that nodes which decide alone know of each other's work.
// Package tree says who tells whom.
package peers

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/trail"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
)

const (
	// workInterval is how often a node tells its work: less than the time to a
	// first token, so that few requests are placed by figures of before the last.
	workInterval = 60 * time.Millisecond
	// treeInterval is workInterval for nodes of a tree: small hosts read what all
	// others do each time, and a request looks at a few of many targets only.
	treeInterval = 150 * time.Millisecond
	// callTimeout bounds one message; peers are milliseconds away.
	callTimeout = 400 * time.Millisecond
	// namesInterval is how often a message bears the names of nodes that are up.
	namesInterval = time.Second
	// emptiedAge is how long the holder's word on emptied targets holds.
	emptiedAge = 1500 * time.Millisecond
	// maxMessageBytes bounds a message.
	maxMessageBytes = 4 << 20
)

// Options are what [Peers] need.
type Options struct {
	// Self is this node.
	Self tree.Node
	// Address is where it listens for peers.
	Address string
	// Compose returns what an audience should know from a place in the news on.
	Compose func(to trail.Audience, after Place) Message
	// Hear takes another node's message. Its work does not count when another node
	// tells of it as well.
	Hear func(from trail.Origin, m Message, counted bool)
	// Drop is told that a node's work is known from elsewhere, or no more.
	Drop func(node string)
	// Rows returns what this node knows of a table after a version.
	Rows func(table string, after uint64) (feed.Page, bool)
	// Tables returns how well this node knows the platform's tables.
	Tables func() map[string]Known
	// Told is called when the parent has told something of the tables.
	Told func()
	// Parts returns what this node believes to be in caches.
	Parts func() []pick.Placed
	// Scope takes the metrics.
	Scope tally.Scope
	// Logger hears of peers that come and go.
	Logger hclog.Logger
}

// Peers is a suture service and the handler of the peers' listener.
type Peers struct {
	options Options
	client  *http.Client

	mu      sync.Mutex
	tree    *tree.State
	links   map[string]*link
	parent  string
	emptied word
	answer  answer
	leaving bool
}

// link is the way to one peer.
type link struct {
	address string
	busy    bool
	// told is the place in the own news up to which the peer has been told, have
	// that in the peer's news up to which it has told this node.
	told, have Place
	named      time.Time
}

// word is what the holder of the lease for orders said last.
type word struct {
	Emptied
	at     time.Time
	origin trail.Origin
}

// answer is what the parent said last of the platform's tables.
type answer struct {
	tables map[string]Known
	at     time.Time
}

// New returns a service that knows no peer.
//
//	others := peers.New(options)
//	supervisor.Add(others)
//	others.Add(tree.Node{Name: "front-2", DataCentre: "east"}, "10.0.0.2:7000")
func New(options Options) *Peers {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &Peers{
		options: options, tree: tree.New(options.Self), links: map[string]*link{},
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
			IdleConnTimeout: 10 * time.Second, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
		}},
	}
}

// Add names a peer. One that is known by another address has moved there.
func (p *Peers) Add(node tree.Node, address string) {
	if node.Name == p.options.Self.Name || address == "" || address == p.options.Address {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link(time.Now(), node, address)
}

// link returns the link to a peer at an address.
func (p *Peers) link(now time.Time, node tree.Node, address string) *link {
	p.forgetAlias(node.Name, address)
	p.tree.Add(now, node)
	l, ok := p.links[node.Name]
	if !ok || l.address != address {
		l = &link{address: address, told: fresh, have: fresh}
		p.links[node.Name] = l
	}
	return l
}

// Nodes returns how many nodes there may be, this one included.
func (p *Peers) Nodes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Count()
}

// Up returns the peers that were heard of lately, by name.
func (p *Peers) Up(now time.Time) []tree.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Up(now)
}

// Strangers reports whether a peer is up of which no address is known.
func (p *Peers) Strangers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, node := range p.tree.Up(time.Now()) {
		if p.links[node.Name] == nil {
			return true
		}
	}
	return false
}

// Strongest returns the names of the strongest nodes, this one included.
func (p *Peers) Strongest(now time.Time, count int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Strongest(now, count)
}

// Parent returns the name of the peer that tells this node of all others; empty
// when this node tells others itself.
func (p *Peers) Parent() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parent
}

// Leads reports whether other nodes are told by this one.
func (p *Peers) Leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tree.Leads(time.Now())
}

// Upstream returns how well the parent knew a table, with the age as of now;
// false when there is no parent or it did not say.
func (p *Peers) Upstream(table string) (Known, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.answer.tables[table]
	known.Age += time.Since(p.answer.at)
	return known, ok && p.parent != ""
}

// Emptied returns the targets that get no new work now.
func (p *Peers) Emptied(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]bool{}
	if now.Sub(p.emptied.at) < emptiedAge {
		for _, id := range p.emptied.Targets {
			all[id] = true
		}
	}
	return all
}

// Empty takes the word of this node as the holder of the lease.
func (p *Peers) Empty(e Emptied) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.empty(time.Now(), trail.Origin{}, e)
}

// empty takes the word of the holder with the highest fencing number.
func (p *Peers) empty(now time.Time, from trail.Origin, e Emptied) {
	at := now.Add(-e.Age)
	if e.Fence < p.emptied.Fence || e.Fence == p.emptied.Fence && at.Before(p.emptied.at) {
		return
	}
	if !slices.Equal(e.Targets, p.emptied.Targets) {
		p.options.Logger.Info("targets emptied", "fence", e.Fence, "targets", e.Targets, "ageMs", e.Age.Milliseconds())
	}
	p.emptied = word{Emptied: Emptied{Fence: e.Fence, Targets: slices.Clone(e.Targets)}, at: at, origin: from}
}

// Leave tells the others that this node ends.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// interval returns how often this node tells others.
func (p *Peers) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tree.Few() {
		return workInterval
	}
	return treeInterval
}

// Serve runs until the context ends and no message is under way.
func (p *Peers) Serve(ctx context.Context) error {
	timer := time.NewTimer(workInterval)
	defer timer.Stop()
	ended := make(chan sent)
	open := 0
	for {
		select {
		case <-ctx.Done():
			for ; open > 0; open-- {
				<-ended
			}
			return ctx.Err()
		case s := <-ended:
			open--
			p.took(time.Now(), s)
		case <-timer.C:
			for _, m := range p.due(time.Now()) {
				open++
				go func(ctx context.Context) { ended <- p.send(ctx, m) }(ctx)
			}
			timer.Reset(jittered(p.interval()))
		}
	}
}
