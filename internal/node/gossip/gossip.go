// Package gossip runs the membership slice of one node: it carries its notes,
// reads the platform's host list and answers who is home for a cell.
package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/fleet/homes"
	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/infra/hosts"
	"github.com/cicadamill/cicadamill/internal/node/steer"
	"github.com/cicadamill/cicadamill/internal/peer/note"
	"github.com/cicadamill/cicadamill/internal/peer/wire"
	"github.com/cicadamill/cicadamill/internal/safety/crash"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	exchangeTimeout = time.Second
	homesInterval   = 500 * time.Millisecond
	workLength      = 256
	maxParallel     = 16
)

// Options are what the service needs from the node. Functions may be nil.
type Options struct {
	// Member describes the node itself.
	Member member.Options
	// Peers carries notes to other nodes.
	Peers *wire.Client
	// List is the platform's host list; nil means none.
	List hosts.Client
	// Dial finds the client of an engine, to learn the incarnation of a target
	// that the list shows as leaving.
	Dial func(target string) (engine.Client, bool)
	// Cells returns the cells that have homes.
	Cells func() []homes.Cell
	// Crashes returns what this node knows of requests that crash engines.
	Crashes func() []crash.Entry
	// HearCrashes takes what other nodes know of them.
	HearCrashes func([]crash.Entry)
	// Leaving is told of targets that may get no new work.
	Leaving func(target string)
	// Heard is told of nodes with a newer configuration. It must not block.
	Heard func(version uint64, address string)
	// Scope takes the counters.
	Scope tally.Scope
	// Logger gets a line for each change of a node's state.
	Logger hclog.Logger
}

// Gossip is a suture service. It answers other nodes also while it is not run.
type Gossip struct {
	options Options
	work    chan member.Command
	results chan []member.Message

	mu     sync.Mutex
	state  member.State
	homes  homes.State
	since  time.Time
	told   map[string]string
	lagged map[string]bool
}

// New returns a service that knows only its own node.
//
//	g := gossip.New(options)
//	supervisor.Add(g)
//	mux.Handle("/v1/peer/", wire.Handler(g))
func New(options Options) *Gossip {
	g := &Gossip{
		options: options, state: member.New(options.Member),
		work: make(chan member.Command, workLength), results: make(chan []member.Message),
		told: map[string]string{}, lagged: map[string]bool{},
	}
	g.homes = homes.New().Update(time.Now(), g.candidates())
	return g
}

// Serve runs until the context ends and nothing of it is left.
func (g *Gossip) Serve(ctx context.Context) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	lists := g.readLists(ctx)
	open := 0
	for {
		var next chan member.Command
		if open < maxParallel {
			next = g.work
		}
		select {
		case <-ctx.Done():
			for ; open > 0; open-- {
				<-g.results
			}
			<-lists
			return ctx.Err()
		case <-ticker.C:
			g.tick()
		case command := <-next:
			open++
			go func(ctx context.Context) { g.results <- g.run(ctx, command) }(ctx)
		case messages := <-g.results:
			open--
			for _, message := range messages {
				g.update(message)
			}
		}
	}
}

func (g *Gossip) tick() {
	if g.options.Crashes != nil {
		for _, e := range g.options.Crashes() {
			g.update(member.Crashed{Crash: note.Crash{Fingerprint: e.Fingerprint, Count: e.Count, AgeMillis: e.Age.Milliseconds()}})
		}
	}
	g.update(member.Tick{})
	g.refresh(time.Now())
}

// update runs the slice. It returns the reply to a received note and the
// exchange that another node asked for; all else is queued.
func (g *Gossip) update(message member.Message) (note.Note, *member.Exchange) {
	g.mu.Lock()
	var commands []member.Command
	g.state, commands = g.state.Update(time.Now(), message)
	g.mu.Unlock()
	var reply note.Note
	var asked *member.Exchange
	for _, command := range commands {
		switch c := command.(type) {
		case member.Reply:
			reply = c.Note
		case member.Exchange:
			if _, wanted := message.(member.Asked); wanted && c.Asked {
				asked = &c
				continue
			}
			g.queue(c)
		case member.Ask:
			g.queue(c)
		default:
			g.tell(command)
		}
	}
	return reply, asked
}

// queue drops what the peers' links can't take; the slice sends it again.
func (g *Gossip) queue(command member.Command) {
	select {
	case g.work <- command:
	default:
		g.options.Scope.Counter("gossip_dropped").Inc(1)
	}
}

// tell hands on what does not concern the wire.
func (g *Gossip) tell(command member.Command) {
	switch c := command.(type) {
	case member.Count:
		g.options.Scope.Counter(c.Name).Inc(1)
	case member.Heard:
		if g.options.Heard != nil {
			g.options.Heard(c.Version, c.Address)
		}
	case member.TargetLeaving:
		g.options.Scope.Counter("target_marks_heard").Inc(1)
		if g.options.Leaving != nil {
			g.options.Leaving(c.Mark.Target)
		}
	case member.CrashHeard:
		if g.options.HearCrashes != nil {
			age := time.Duration(c.Crash.AgeMillis) * time.Millisecond
			g.options.HearCrashes([]crash.Entry{{Fingerprint: c.Crash.Fingerprint, Count: c.Crash.Count, Age: age}})
		}
	}
}

// run carries one command out and returns what came of it.
func (g *Gossip) run(ctx context.Context, command member.Command) []member.Message {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	switch c := command.(type) {
	case member.Exchange:
		messages, _ := g.exchange(ctx, c)
		return messages
	case member.Ask:
		reached, err := g.options.Peers.Probe(ctx, c.Address, c.Name, c.Target)
		return []member.Message{member.Vouched{Name: c.Name, Reached: reached && err == nil}}
	default:
		return nil
	}
}

// exchange reports whether the node that was meant has answered. Another node
// may have its address by now.
func (g *Gossip) exchange(ctx context.Context, c member.Exchange) ([]member.Message, bool) {
	g.options.Scope.Counter("gossip_exchanges").Inc(1)
	theirs, err := g.options.Peers.Exchange(ctx, c.Address, c.Note)
	if err != nil {
		g.options.Scope.Counter("gossip_lost").Inc(1)
		return []member.Message{member.Lost{Name: c.Name, Asked: c.Asked}}, false
	}
	replied := member.Replied{Note: theirs}
	if c.Name != "" && theirs.From.Name != c.Name {
		return []member.Message{replied, member.Lost{Name: c.Name, Asked: c.Asked}}, false
	}
	return []member.Message{replied}, true
}

// Receive implements [wire.Node].
func (g *Gossip) Receive(_ context.Context, theirs note.Note) (note.Note, error) {
	reply, _ := g.update(member.Received{Note: theirs})
	return reply, nil
}

// Reaches implements [wire.Node].
func (g *Gossip) Reaches(ctx context.Context, name, address string) bool {
	_, asked := g.update(member.Asked{Name: name, Address: address})
	if asked == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	messages, reached := g.exchange(ctx, *asked)
	for _, message := range messages {
		g.update(message)
	}
	return reached
}

// Leave tells the others that this node takes over no more duties.
func (g *Gossip) Leave() {
	g.update(member.Leave{})
	g.refresh(time.Now().Add(homesInterval))
}

// Applied tells the others which configuration this node has in force.
func (g *Gossip) Applied(version uint64) { g.update(member.Applied{Version: version}) }

// Saw takes what a target showed of itself.
func (g *Gossip) Saw(target, incarnation string, leaving bool) {
	g.update(member.SawTarget{Target: target, Incarnation: incarnation})
	if leaving {
		g.update(member.MarkTarget{Target: target, Incarnation: incarnation})
	}
}

// IsLeaving reports whether a target may get no new work. An empty incarnation
// means the one seen last.
func (g *Gossip) IsLeaving(target, incarnation string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.TargetLeaving(target, incarnation)
}

// LeavingTargets returns the targets that may get no new work.
func (g *Gossip) LeavingTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.LeavingTargets()
}

// Nodes returns what this node thinks of all nodes, itself first.
func (g *Gossip) Nodes() []member.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Nodes()
}

// Homes implements [steer.Fleet].
func (g *Gossip) Homes(cell, dataCentre string, count int) []steer.Home {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []steer.Home
	for _, name := range g.homes.Rank(time.Now(), cell, dataCentre, count) {
		address, self := g.state.Address(name)
		found = append(found, steer.Home{Name: name, Address: address, Self: self})
	}
	return found
}

// Doubt implements [steer.Fleet].
func (g *Gossip) Doubt(name string) { g.update(member.Doubted{Name: name}) }

// refresh brings the homes up to date and logs changes.
func (g *Gossip) refresh(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.since) < homesInterval {
		return
	}
	g.since = now
	candidates := g.candidates()
	at := time.Now()
	g.homes = g.homes.Update(at, candidates)
	if g.options.Cells != nil {
		g.homes = g.homes.Balance(at, g.options.Cells())
	}
	up := 0
	for _, c := range candidates {
		if c.Up {
			up++
		}
	}
	g.options.Scope.Gauge("nodes_up").Update(float64(up))
	g.options.Scope.Gauge("targets_leaving").Update(float64(len(g.state.LeavingTargets())))
	g.log()
}

// candidates lists the nodes for the homes; the caller holds the lock.
func (g *Gossip) candidates() []homes.Node {
	nodes := g.state.Nodes()
	all := make([]homes.Node, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, homes.Node{Name: n.Name, DataCentre: n.DataCentre, Up: n.Up()})
	}
	return all
}

// log writes a line for each node that went or came; the caller holds the lock.
func (g *Gossip) log() {
	nodes := g.state.Nodes()
	next := make(map[string]string, len(nodes))
	for _, n := range nodes {
		state := n.State
		if state == note.Suspect {
			state = note.Alive
		}
		next[n.Name] = state
		if old := g.told[n.Name]; old != state && !n.Self {
			g.options.Logger.Info("node changed", "node", n.Name, "from", old, "to", state)
		}
	}
	g.told = next
}
