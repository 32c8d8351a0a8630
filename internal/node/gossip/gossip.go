// Package gossip runs the membership state machine of a node. It exchanges notes
// with other nodes, reads the platform's host list and assigns the home nodes of
// cells.
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

// Options holds the settings of a [Gossip] and its connections to the rest of the
// node. Functions may be nil.
type Options struct {
	// Member describes the node itself.
	Member member.Options
	// Peers sends notes to other nodes.
	Peers *wire.Client
	// HostList reads the platform's host list. It may be nil.
	HostList hosts.Client
	// Dial returns the client of an engine. It is used to look up the
	// incarnation of a target that the host list reports as leaving.
	Dial func(target string) (engine.Client, bool)
	// Cells returns the cells to assign to home nodes.
	Cells func() []homes.Cell
	// CrashEntries returns this node's entries on requests that crash engines.
	CrashEntries func() []crash.Entry
	// OnCrashEntries is called with such entries of other nodes.
	OnCrashEntries func([]crash.Entry)
	// OnTargetLeaving is called for each target that must get no new requests.
	OnTargetLeaving func(target string)
	// OnNewerVersion is called with the version and the address of a node that has a
	// newer configuration. It must not block.
	OnNewerVersion func(version uint64, address string)
	// Scope receives the metrics.
	Scope tally.Scope
	// Logger logs changes of the state of other nodes.
	Logger hclog.Logger
}

// Gossip is a suture service that keeps the membership state of a node. It answers
// other nodes even while Serve is not running.
type Gossip struct {
	options Options
	work    chan member.Command
	results chan []member.Message

	mu          sync.Mutex
	state       member.View
	homes       homes.Ranker
	refreshedAt time.Time
	// homesStale is true after a node has announced that it is leaving, until the
	// homes are assigned again.
	homesStale bool
	// logged holds the state of each node in its last log message.
	logged map[string]string
	// lookedUp holds the leaving targets of the host list, with true for those
	// whose incarnation needs no further request.
	lookedUp map[string]bool
}

// New returns a service whose state holds only its own node.
//
//	g := gossip.New(options)
//	supervisor.Add(g)
//	mux.Handle("/v1/peer/", wire.Handler(g))
func New(options Options) *Gossip {
	g := &Gossip{
		options: options, state: member.New(options.Member),
		work: make(chan member.Command, workLength), results: make(chan []member.Message),
		logged: map[string]string{}, lookedUp: map[string]bool{},
	}
	g.homes = homes.New().Update(time.Now(), g.candidates())
	return g
}

// Serve runs until the context ends and all goroutines that it started have
// ended.
func (g *Gossip) Serve(ctx context.Context) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	listsEnded := g.readLists(ctx)
	running := 0
	for {
		var next chan member.Command
		if running < maxParallel {
			next = g.work
		}
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-g.results
			}
			<-listsEnded
			return ctx.Err()
		case <-ticker.C:
			g.tick()
		case command := <-next:
			running++
			go func(ctx context.Context) { g.results <- g.execute(ctx, command) }(ctx)
		case messages := <-g.results:
			running--
			for _, message := range messages {
				g.update(message)
			}
		}
	}
}

func (g *Gossip) tick() {
	if g.options.CrashEntries != nil {
		for _, e := range g.options.CrashEntries() {
			g.update(member.CrashRecorded{Crash: note.Crash{Fingerprint: e.Fingerprint, Count: e.Count, AgeMillis: e.Age.Milliseconds()}})
		}
	}
	g.update(member.Tick{})
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := time.Now(); now.Sub(g.refreshedAt) >= homesInterval {
		g.refresh(now)
	}
}

// update passes a message to the state machine and executes the commands. It
// returns the reply to a received note, and the exchange for a probe that another
// node requested; all other network commands are queued.
func (g *Gossip) update(message member.Message) (note.Note, *member.Exchange) {
	g.mu.Lock()
	var commands []member.Command
	g.state, commands = g.state.Update(time.Now(), message)
	g.mu.Unlock()
	var reply note.Note
	var probe *member.Exchange
	for _, command := range commands {
		switch c := command.(type) {
		case member.Reply:
			reply = c.Note
		case member.Exchange:
			if _, wanted := message.(member.ProbeRequested); wanted && c.Indirect {
				probe = &c
				continue
			}
			g.queue(c)
		case member.RequestProbe:
			g.queue(c)
		default:
			g.notify(command)
		}
	}
	return reply, probe
}

// queue queues a command for Serve. It drops the command if the queue is full;
// the state machine repeats it.
func (g *Gossip) queue(command member.Command) {
	select {
	case g.work <- command:
	default:
		g.options.Scope.Counter("gossip_dropped").Inc(1)
	}
}

// notify executes a command that needs no network: it updates metrics and calls
// the functions of the options.
func (g *Gossip) notify(command member.Command) {
	switch c := command.(type) {
	case member.Count:
		g.options.Scope.Counter(c.Name).Inc(1)
	case member.NewerConfig:
		if g.options.OnNewerVersion != nil {
			g.options.OnNewerVersion(c.Version, c.Address)
		}
	case member.NodeLeaving:
		g.mu.Lock()
		g.homesStale = true
		g.mu.Unlock()
	case member.TargetLeaving:
		g.options.Scope.Counter("target_marks_heard").Inc(1)
		if g.options.OnTargetLeaving != nil {
			g.options.OnTargetLeaving(c.Mark.Target)
		}
	case member.CrashReceived:
		if g.options.OnCrashEntries != nil {
			age := time.Duration(c.Crash.AgeMillis) * time.Millisecond
			g.options.OnCrashEntries([]crash.Entry{{Fingerprint: c.Crash.Fingerprint, Count: c.Crash.Count, Age: age}})
		}
	}
}

// execute executes a network command and returns the resulting messages.
func (g *Gossip) execute(ctx context.Context, command member.Command) []member.Message {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	switch c := command.(type) {
	case member.Exchange:
		messages, _ := g.exchange(ctx, c)
		return messages
	case member.RequestProbe:
		reached, err := g.options.Peers.Probe(ctx, c.Via, c.Name, c.Address)
		return []member.Message{member.ProbeResult{Name: c.Name, Reached: reached && err == nil}}
	default:
		return nil
	}
}

// exchange exchanges notes with a node. It reports whether the intended node has
// answered; another node may have taken over its address in the meantime.
func (g *Gossip) exchange(ctx context.Context, c member.Exchange) ([]member.Message, bool) {
	g.options.Scope.Counter("gossip_exchanges").Inc(1)
	incoming, err := g.options.Peers.Exchange(ctx, c.Address, c.Note)
	if err != nil {
		g.options.Scope.Counter("gossip_lost").Inc(1)
		return []member.Message{member.ExchangeFailed{Name: c.Name, Indirect: c.Indirect}}, false
	}
	replied := member.Replied{Note: incoming}
	if c.Name != "" && incoming.From.Name != c.Name {
		return []member.Message{replied, member.ExchangeFailed{Name: c.Name, Indirect: c.Indirect}}, false
	}
	return []member.Message{replied}, true
}

// Receive implements [wire.Node]. It answers the note of another node.
func (g *Gossip) Receive(_ context.Context, incoming note.Note) (note.Note, error) {
	reply, _ := g.update(member.Received{Note: incoming})
	return reply, nil
}

// Reaches implements [wire.Node]. It probes a node on behalf of another one.
func (g *Gossip) Reaches(ctx context.Context, name, address string) bool {
	_, probe := g.update(member.ProbeRequested{Name: name, Address: address})
	if probe == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	messages, reached := g.exchange(ctx, *probe)
	for _, message := range messages {
		g.update(message)
	}
	return reached
}

// Leave announces that this node is leaving, so that other nodes become home for
// its cells.
func (g *Gossip) Leave() {
	g.update(member.Leave{})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(time.Now())
}

// AnnounceVersion announces the configuration version that this node has in force.
func (g *Gossip) AnnounceVersion(version uint64) { g.update(member.ConfigApplied{Version: version}) }

// TargetReported records the incarnation that a target reports and whether it is
// leaving.
func (g *Gossip) TargetReported(target, incarnation string, leaving bool) {
	g.update(member.TargetSeen{Target: target, Incarnation: incarnation})
	if leaving {
		g.update(member.MarkTarget{Target: target, Incarnation: incarnation})
	}
}

// IsTargetLeaving reports whether an incarnation of a target is leaving, so that it
// must get no new requests. An empty incarnation means the last one reported.
func (g *Gossip) IsTargetLeaving(target, incarnation string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.TargetLeaving(target, incarnation)
}

// LeavingTargets returns the names of all targets that are leaving.
func (g *Gossip) LeavingTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.LeavingTargets()
}

// Nodes returns the nodes with their states as known to this node, itself first.
func (g *Gossip) Nodes() []member.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Nodes()
}

// Homes implements [steer.Fleet]. It never returns a node that has announced to this
// one that it is leaving: such a node may close its connections at any moment.
func (g *Gossip) Homes(cell, dataCentre string, count int) []steer.Home {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.homesStale {
		g.refresh(now)
	}
	var found []steer.Home
	for _, name := range g.homes.Rank(now, cell, dataCentre, count) {
		address, self := g.state.Address(name)
		found = append(found, steer.Home{Name: name, Address: address, Self: self})
	}
	return found
}

// ReportFailure implements [steer.Fleet].
func (g *Gossip) ReportFailure(name string) { g.update(member.NodeUnreachable{Name: name}) }

// refresh updates the home nodes, the gauges and the log. The caller holds the
// lock.
func (g *Gossip) refresh(now time.Time) {
	g.refreshedAt, g.homesStale = now, false
	candidates := g.candidates()
	g.homes = g.homes.Update(now, candidates)
	if g.options.Cells != nil {
		g.homes = g.homes.Balance(now, g.options.Cells())
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

// candidates returns the nodes that may be home for a cell. The caller holds the
// lock.
func (g *Gossip) candidates() []homes.Node {
	nodes := g.state.Nodes()
	all := make([]homes.Node, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, homes.Node{Name: n.Name, DataCentre: n.DataCentre, Up: n.Up()})
	}
	return all
}

// log logs each node whose state changed. Suspected nodes count as alive, so that
// a suspicion that is refuted leaves no log messages. The caller holds the lock.
func (g *Gossip) log() {
	nodes := g.state.Nodes()
	next := make(map[string]string, len(nodes))
	for _, n := range nodes {
		state := n.State
		if state == note.Suspect {
			state = note.Alive
		}
		next[n.Name] = state
		if old := g.logged[n.Name]; old != state && !n.Self {
			g.options.Logger.Info("node state changed", "node", n.Name, "from", old, "to", state)
		}
	}
	g.logged = next
}
