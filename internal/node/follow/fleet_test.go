package follow_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/record"
	"github.com/cicadamill/cicadamill/internal/config/share"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/config/submit"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/node/follow"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

const (
	linkDelay      = time.Millisecond
	gossipInterval = time.Second
)

// testFleet is a set of followers in one process with a shared table. Nodes can be
// isolated from the others.
type testFleet struct {
	t       *testing.T
	tables  *tables.Store
	objects *objs.Store
	nodes   []*node

	mu       sync.Mutex
	isolated map[string]bool
}

// node is one follower and the versions that it applied.
type node struct {
	fleet    *testFleet
	name     string
	follower *follow.Follower
	store    *record.Store
	stop     context.CancelFunc
	ended    chan error

	mu        sync.Mutex
	applied   []uint64
	appliedAt map[uint64]time.Time
}

func newTestFleet(t *testing.T, count int) *testFleet {
	f := &testFleet{t: t, tables: tables.New(), objects: objs.New(), isolated: map[string]bool{}}
	for i := range count {
		f.nodes = append(f.nodes, &node{fleet: f, name: fmt.Sprintf("node-%d", i)})
	}
	for i := range f.nodes {
		f.start(i)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
			<-n.ended
		}
	})
	return f
}

// start starts a node without state, as after a restart.
func (f *testFleet) start(i int) {
	n := f.nodes[i]
	n.mu.Lock()
	n.applied, n.appliedAt = nil, map[uint64]time.Time{}
	n.mu.Unlock()
	n.store = record.New(f.tables, f.objects)
	n.follower = follow.New(follow.Options{
		Address: n.name, Seed: uint64(i + 1), Store: n.store, Peers: n, Apply: n.apply, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	})
	var peers []string
	for j, other := range f.nodes {
		if j != i {
			peers = append(peers, other.name)
		}
	}
	n.follower.SetPeers(peers, len(f.nodes))
	ctx, cancel := context.WithCancel(context.Background())
	n.stop, n.ended = cancel, make(chan error, 1)
	go n.gossip(ctx, uint64(i))
	go func() { n.ended <- n.follower.Serve(ctx) }()
}

// gossip exchanges versions with one random peer a second, like the gossip between
// real nodes.
func (n *node) gossip(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			peer := n.fleet.nodes[random.IntN(len(n.fleet.nodes))]
			if n.fleet.connected(n.name, peer.name) {
				peer.follower.ReceiveHint(n.name, n.follower.Version())
				n.follower.ReceiveHint(peer.name, peer.follower.Version())
			}
		}
	}
}

func (n *node) apply(_ context.Context, version uint64, _ site.Config) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied = append(n.applied, version)
	n.appliedAt[version] = time.Now()
	return nil
}

func (n *node) versions() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.applied)
}

// Fetch implements [follow.Peers].
func (n *node) Fetch(ctx context.Context, peer string, have uint64, sum string) (share.Update, bool, error) {
	time.Sleep(2 * linkDelay)
	if !n.fleet.connected(n.name, peer) {
		<-ctx.Done()
		return share.Update{}, false, ctx.Err()
	}
	answer, ok := n.fleet.nodeByName(peer).follower.UpdateSince(have, sum)
	return answer, ok, nil
}

// SendHint implements [follow.Peers].
func (n *node) SendHint(_ context.Context, peer string, hint share.Hint) error {
	time.Sleep(linkDelay)
	if !n.fleet.connected(n.name, peer) {
		return errors.New("peer is isolated")
	}
	n.fleet.nodeByName(peer).follower.ReceiveHint(hint.Peer, hint.Version)
	return nil
}

func (f *testFleet) nodeByName(name string) *node {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })]
}

func (f *testFleet) connected(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolated[a] == f.isolated[b]
}

func (f *testFleet) setIsolated(name string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[name] = isolated
}

// submit submits a configuration through one node, as an operator does.
func (f *testFleet) submit(i int, base uint64, nonce string) (uint64, error) {
	n := f.nodes[i]
	text := []byte(fmt.Sprintf(configFormat, nonce))
	config, err := site.Parse(text)
	require.NoError(f.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	entry := submit.Entry{Base: base, Nonce: nonce, TextKey: record.TextKey(base, nonce), Sum: delta.Sum(delta.Sort(config))}
	version, err := n.store.Submit(ctx, entry, text, n.follower.Version())
	if err == nil {
		n.follower.ConfigAccepted(ctx, version, config)
	}
	return version, err
}

const configFormat = `{"site": %q, "regions": [{"name": "coast", "dataCentres": ["tema"]}], "weights": {"tailTtft": 1}}`

// requireAll checks that every node has this version in force and that its
// versions never decreased.
func (f *testFleet) requireAll(version uint64) {
	f.t.Helper()
	for _, n := range f.nodes {
		versions := n.versions()
		require.NotEmpty(f.t, versions, n.name)
		require.Equal(f.t, version, versions[len(versions)-1], n.name)
		require.True(f.t, slices.IsSorted(versions), "versions of %s decreased: %v", n.name, versions)
	}
}

// restoreTable restores the table to its state at a version.
func (f *testFleet) restoreTable(version uint64) {
	f.t.Helper()
	ctx := context.Background()
	entry, err := f.nodes[0].store.Entry(ctx, version)
	require.NoError(f.t, err)
	rows, err := f.tables.List(ctx, "config/history/", "", 100)
	require.NoError(f.t, err)
	var txn table.Txn
	for _, row := range rows[version:] {
		txn.Puts = append(txn.Puts, table.Put{Key: row.Key, Unconditional: true})
	}
	head, err := json.Marshal(submit.Head{Version: version, Sum: entry.Sum, Nonce: entry.Nonce})
	require.NoError(f.t, err)
	txn.Puts = append(txn.Puts, table.Put{Key: "config/head", Value: head, Unconditional: true})
	require.NoError(f.t, f.tables.Commit(ctx, txn))
}
