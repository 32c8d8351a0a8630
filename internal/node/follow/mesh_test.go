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
	hop            = time.Millisecond
	gossipInterval = time.Second
)

// mesh is a fleet of followers in one process, with a table and links between
// the nodes that can be cut.
type mesh struct {
	t       *testing.T
	tables  *tables.Store
	objects *objs.Store
	nodes   []*node

	mu  sync.Mutex
	cut map[string]bool
}

// node is one follower and what it applied.
type node struct {
	mesh     *mesh
	name     string
	follower *follow.Follower
	store    *record.Store
	stop     context.CancelFunc
	ended    chan error

	mu      sync.Mutex
	applied []uint64
	since   map[uint64]time.Time
}

func newMesh(t *testing.T, count int) *mesh {
	m := &mesh{t: t, tables: tables.New(), objects: objs.New(), cut: map[string]bool{}}
	for i := range count {
		m.nodes = append(m.nodes, &node{mesh: m, name: fmt.Sprintf("node-%d", i)})
	}
	for i := range m.nodes {
		m.start(i)
	}
	t.Cleanup(func() {
		for _, n := range m.nodes {
			n.stop()
			<-n.ended
		}
	})
	return m
}

// start begins a node anew, as after a restart: nothing is kept.
func (m *mesh) start(i int) {
	n := m.nodes[i]
	n.mu.Lock()
	n.applied, n.since = nil, map[uint64]time.Time{}
	n.mu.Unlock()
	n.store = record.New(m.tables, m.objects)
	n.follower = follow.New(follow.Options{
		Self: n.name, Seed: uint64(i + 1), Store: n.store, Peers: n, Apply: n.apply, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	})
	var peers []string
	for j, other := range m.nodes {
		if j != i {
			peers = append(peers, other.name)
		}
	}
	n.follower.SetPeers(peers, len(m.nodes))
	ctx, cancel := context.WithCancel(context.Background())
	n.stop, n.ended = cancel, make(chan error, 1)
	go n.gossip(ctx, uint64(i))
	go func() { n.ended <- n.follower.Serve(ctx) }()
}

// gossip exchanges versions with one random peer a second, as the fleet's
// notes do.
func (n *node) gossip(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			peer := n.mesh.nodes[random.IntN(len(n.mesh.nodes))]
			if n.mesh.joined(n.name, peer.name) {
				peer.follower.Hear(n.name, n.follower.Version())
				n.follower.Hear(peer.name, peer.follower.Version())
			}
		}
	}
}

func (n *node) apply(_ context.Context, version uint64, _ site.Config) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied = append(n.applied, version)
	n.since[version] = time.Now()
	return nil
}

func (n *node) versions() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.applied)
}

// Fetch implements [follow.Peers].
func (n *node) Fetch(ctx context.Context, peer string, have uint64, sum string) (share.Answer, bool, error) {
	time.Sleep(2 * hop)
	if !n.mesh.joined(n.name, peer) {
		<-ctx.Done()
		return share.Answer{}, false, ctx.Err()
	}
	answer, ok := n.mesh.find(peer).follower.Answer(have, sum)
	return answer, ok, nil
}

// Tell implements [follow.Peers].
func (n *node) Tell(_ context.Context, peer string, hint share.Hint) error {
	time.Sleep(hop)
	if !n.mesh.joined(n.name, peer) {
		return errors.New("cut off")
	}
	n.mesh.find(peer).follower.Hear(hint.Peer, hint.Version)
	return nil
}

func (m *mesh) find(name string) *node {
	return m.nodes[slices.IndexFunc(m.nodes, func(n *node) bool { return n.name == name })]
}

func (m *mesh) joined(a, b string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[a] == m.cut[b]
}

func (m *mesh) setCut(name string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[name] = cut
}

// submit sends a configuration through one node, as an operator does.
func (m *mesh) submit(i int, base uint64, nonce string) (uint64, error) {
	n := m.nodes[i]
	text := []byte(fmt.Sprintf(sample, nonce))
	config, err := site.Parse(text)
	require.NoError(m.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	entry := submit.Entry{Base: base, Nonce: nonce, Text: record.TextKey(base, nonce), Sum: delta.Sum(delta.Sort(config))}
	version, err := n.store.Submit(ctx, entry, text, n.follower.Version())
	if err == nil {
		n.follower.Accepted(ctx, version, config)
	}
	return version, err
}

const sample = `{"site": %q, "regions": [{"name": "coast", "dataCentres": ["tema"]}], "weights": {"tailTtft": 1}}`

// requireAll checks that every node has this version in force and never went back.
func (m *mesh) requireAll(version uint64) {
	m.t.Helper()
	for _, n := range m.nodes {
		versions := n.versions()
		require.NotEmpty(m.t, versions, n.name)
		require.Equal(m.t, version, versions[len(versions)-1], n.name)
		require.True(m.t, slices.IsSorted(versions), "%s went back: %v", n.name, versions)
	}
}

// restore puts the table back to the state that it had at a version.
func (m *mesh) restore(version uint64) {
	m.t.Helper()
	ctx := context.Background()
	entry, err := m.nodes[0].store.Entry(ctx, version)
	require.NoError(m.t, err)
	rows, err := m.tables.List(ctx, "config/history/", "", 100)
	require.NoError(m.t, err)
	var txn table.Txn
	for _, row := range rows[version:] {
		txn.Puts = append(txn.Puts, table.Put{Key: row.Key, Always: true})
	}
	head, err := json.Marshal(submit.Head{Version: version, Sum: entry.Sum, Nonce: entry.Nonce})
	require.NoError(m.t, err)
	txn.Puts = append(txn.Puts, table.Put{Key: "config/head", Value: head, Always: true})
	require.NoError(m.t, m.tables.Commit(ctx, txn))
}
