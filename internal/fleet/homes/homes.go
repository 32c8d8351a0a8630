// Package homes decides which node is the home of a cell, that is, places its
// requests. Every node computes this on its own, by rendezvous hashing over
// the nodes that it sees as up. When two nodes disagree, cache hits are lost,
// but answers stay correct.
package homes

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// returnDelay is how long a node that went down is no home, so that a flapping
// node doesn't move cells back and forth.
const returnDelay = 10 * time.Second

// Node is a possible home.
type Node struct {
	// Name is the node's stable name.
	Name string
	// DataCentre is the node's data centre.
	DataCentre string
	// Up is false for a node that is dead or leaving.
	Up bool
}

// Ranker holds the nodes that are up, when others went down, and the assignment
// of cells.
type Ranker struct {
	nodes      []candidate
	downSince  map[string]time.Time
	assignment assignment
}

type candidate struct {
	Node
	eligibleFrom time.Time
	hash         uint64
}

// New returns a state without nodes.
//
//	state := homes.New()
//	state = state.Update(now, nodes)
//	ranked := state.Rank(now, "tema/quay-7b/0", "tema", 2)
func New() Ranker { return Ranker{} }

// Update replaces the list of nodes. A node that went down is no home until it
// is up again and [returnDelay] has passed since. A node that is new counts at
// once.
func (r Ranker) Update(now time.Time, nodes []Node) Ranker {
	next := Ranker{assignment: r.assignment, downSince: map[string]time.Time{}, nodes: make([]candidate, 0, len(nodes))}
	for _, n := range nodes {
		if n.Up {
			next.nodes = append(next.nodes, candidate{Node: n, hash: xxh3.HashString(n.Name)})
		}
	}
	for name, since := range r.downSince {
		if now.Sub(since) < returnDelay {
			next.downSince[name] = since
		}
	}
	present := make(map[string]bool, len(next.nodes))
	for _, c := range next.nodes {
		present[c.Name] = true
	}
	for _, c := range r.nodes {
		if !present[c.Name] {
			next.downSince[c.Name] = now
		}
	}
	for i, c := range next.nodes {
		if since, ok := next.downSince[c.Name]; ok {
			next.nodes[i].eligibleFrom = since.Add(returnDelay)
		}
	}
	return next
}

// Rank returns the names of up to count homes of a cell, best first: the node
// to which [Ranker.Balance] assigned it, then nodes in the given data centre,
// then all others, each by rendezvous hashing.
func (r Ranker) Rank(now time.Time, cell, dataCentre string, count int) []string {
	key, assigned := xxh3.HashString(cell), r.assignment.homes[cell]
	best := make([]scored, 0, count+1)
	for i := range r.nodes {
		c := &r.nodes[i]
		if now.Before(c.eligibleFrom) {
			continue
		}
		next := scored{name: c.Name, assigned: c.Name == assigned, sameDataCentre: c.DataCentre == dataCentre, score: mix(key ^ c.hash)}
		if len(best) == count && !next.beats(best[count-1]) {
			continue
		}
		at := 0
		for at < len(best) && !next.beats(best[at]) {
			at++
		}
		best = slices.Insert(best, at, next)
		best = best[:min(count, len(best))]
	}
	names := make([]string, 0, count)
	for _, c := range best {
		names = append(names, c.name)
	}
	return names
}

type scored struct {
	name           string
	assigned       bool
	sameDataCentre bool
	score          uint64
}

func (a scored) beats(b scored) bool {
	switch {
	case a.assigned != b.assigned:
		return a.assigned
	case a.sameDataCentre != b.sameDataCentre:
		return a.sameDataCentre
	case a.score != b.score:
		return a.score > b.score
	default:
		return a.name < b.name
	}
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
