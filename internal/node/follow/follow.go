// Package follow keeps a node's configuration up to date. It runs the state
// machine of config/syncer: it reads the table, fetches configurations from peers
// and serves them to peers.
package follow

import (
	"context"
	stdsync "sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/record"
	"github.com/cicadamill/cicadamill/internal/config/share"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/config/syncer"
)

const (
	tickInterval = 500 * time.Millisecond
	fetchTimeout = 2 * time.Second
	hintTimeout  = time.Second
	inboxLength  = 256
	maxChanges   = 64
)

// Peers makes requests to other nodes. [share.Client] implements it over HTTP.
type Peers interface {
	Fetch(ctx context.Context, peer string, have uint64, sum string) (share.Update, bool, error)
	SendHint(ctx context.Context, peer string, hint share.Hint) error
}

// Options are the dependencies of a [Follower].
type Options struct {
	// Address is the address of this node's listener for peers.
	Address string
	// Seed seeds this node's random choices.
	Seed uint64
	// Store stores the configurations on the platform.
	Store *record.Store
	// Peers makes requests to other nodes.
	Peers Peers
	// Apply puts a configuration in force.
	Apply func(ctx context.Context, version uint64, config site.Config) error
	// Scope receives the metrics.
	Scope tally.Scope
	// Logger receives changes of state and failures.
	Logger hclog.Logger
}

// Follower keeps a node's configuration up to date. It is a suture service.
type Follower struct {
	options Options
	inbox   chan syncer.Message

	mu      stdsync.Mutex
	state   syncer.State
	version uint64
	sum     string
	config  site.Config
	changes []delta.Change
	flag    syncer.Flag
}

// New returns a follower with no configuration in force yet.
//
//	follower := follow.New(options)
//	supervisor.Add(follower)
func New(options Options) *Follower {
	register(options.Scope)
	return &Follower{options: options, inbox: make(chan syncer.Message, inboxLength), state: syncer.New(options.Seed)}
}

// register creates every metric at zero, so that it is exported from the start.
func register(scope tally.Scope) {
	for _, name := range []string{
		"config_applied", "config_fetch_errors", "config_head_read_errors", "config_head_reads", "config_hint_errors",
		"config_messages_dropped", "config_peer_fetches", "config_sum_errors", "config_table_fetches",
	} {
		scope.Counter(name)
	}
	scope.Gauge("config_flag").Update(0)
	scope.Gauge("config_version").Update(0)
}

// Serve runs until ctx ends. After a panic the supervisor calls it again; the
// configuration in force is kept.
func (f *Follower) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var message syncer.Message = syncer.Tick{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message = <-f.inbox:
		case <-ticker.C:
		}
		for _, command := range f.update(message) {
			f.execute(ctx, command)
		}
	}
}

// ReceiveHint reports that a peer has a version in force.
func (f *Follower) ReceiveHint(peer string, version uint64) {
	f.trySend(syncer.PeerVersion{Peer: peer, Version: version})
}

// SetPeers replaces the addresses of the other nodes; nodes is the size of the
// fleet.
func (f *Follower) SetPeers(addresses []string, nodes int) {
	f.trySend(syncer.PeersChanged{Addresses: addresses, Nodes: nodes})
}

// ConfigAccepted reports a configuration that was accepted through this node. It
// waits for room in the inbox or the end of ctx.
func (f *Follower) ConfigAccepted(ctx context.Context, version uint64, config site.Config) {
	config = delta.Sort(config)
	f.deliver(ctx, syncer.ConfigReceived{Version: version, Sum: delta.Sum(config), Config: config})
}

// Flag returns the condition that requires an operator, or nil.
func (f *Follower) Flag() syncer.Flag {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flag
}

// Version returns the version in force; zero means the bootstrap configuration.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Version()
}

// UpdateSince implements [share.Source].
func (f *Follower) UpdateSince(have uint64, sum string) (share.Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.version
	if version <= have {
		return share.Update{}, false
	}
	answer := share.Update{Version: version, Sum: f.sum}
	for i, change := range f.changes {
		if change.Base == have && sum != "" {
			answer.Changes = f.changes[i:]
			return answer, true
		}
	}
	config := f.config
	answer.Config = &config
	return answer, true
}

// trySend sends a message without blocking. A message that is dropped because the
// inbox is full is made up for by later gossip or the poll of the table.
func (f *Follower) trySend(message syncer.Message) {
	select {
	case f.inbox <- message:
	default:
		f.options.Scope.Counter("config_messages_dropped").Inc(1)
	}
}

func (f *Follower) update(message syncer.Message) []syncer.Command {
	f.mu.Lock()
	defer f.mu.Unlock()
	var commands []syncer.Command
	f.state, commands = f.state.Update(time.Now(), message)
	return commands
}
