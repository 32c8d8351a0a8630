// Package homes decides which node looks after a cell. Every node computes the
// answer alone, by rendezvous hashing over the nodes that it believes are there.
// Two nodes that disagree cost cache hits, never a wrong answer.
package homes

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const returnDelay = 10 * time.Second

// Node is a candidate.
type Node struct {
	// Name is the node's stable name.
	Name string
	// DataCentre is where it stands.
	DataCentre string
	// Up is false for nodes that are dead or leaving.
	Up bool
}

// State remembers since when each node has been up.
type State struct {
	nodes map[string]candidate
	begun bool
}

type candidate struct {
	Node
	from time.Time
	hash uint64
}

// New returns a state without nodes.
//
//	state := homes.New()
//	state = state.Update(now, nodes)
//	ranked := state.Rank(now, "tema/quay-7b/0", "tema", 2)
func New() State { return State{} }

// Update takes the whole list of nodes. A node that went away is no home from
// now on. One that comes or comes back is a home only after a delay, so that a
// flapping node moves no cells; the first list counts at once.
func (s State) Update(now time.Time, nodes []Node) State {
	next := make(map[string]candidate, len(nodes))
	for _, n := range nodes {
		if !n.Up {
			continue
		}
		c, known := s.nodes[n.Name]
		switch {
		case known:
			c.Node = n
		case s.begun:
			c = candidate{Node: n, from: now.Add(returnDelay), hash: xxh3.HashString(n.Name)}
		default:
			c = candidate{Node: n, from: now, hash: xxh3.HashString(n.Name)}
		}
		next[n.Name] = c
	}
	return State{nodes: next, begun: true}
}

// Rank returns the names of the first count homes of a cell, best first. Nodes
// in the cell's data centre come before all others.
func (s State) Rank(now time.Time, cell, dataCentre string, count int) []string {
	type scored struct {
		name  string
		near  int
		score uint64
	}
	key := xxh3.HashString(cell)
	all := make([]scored, 0, len(s.nodes))
	for _, c := range s.nodes {
		if now.Before(c.from) {
			continue
		}
		near := 0
		if c.DataCentre == dataCentre {
			near = 1
		}
		all = append(all, scored{name: c.Name, near: near, score: mix(key ^ c.hash)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(b.near-a.near, cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, count)
	for _, c := range all[:min(count, len(all))] {
		names = append(names, c.name)
	}
	return names
}

// mix is the finaliser of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
