// Package homes decides which node looks after a cell. Every node computes the
// answer alone, by rendezvous hashing over the nodes that it believes are there.
// Two nodes that disagree cost cache hits, never a wrong answer.
package homes

import (
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

// State remembers which nodes are up and when others went.
type State struct {
	nodes []candidate
	gone  map[string]time.Time
	given given
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
// now on, and for some time after that, so that a flapping node moves no cells.
// One that was not there before counts at once.
func (s State) Update(now time.Time, nodes []Node) State {
	next := State{given: s.given, gone: map[string]time.Time{}, nodes: make([]candidate, 0, len(nodes))}
	for _, n := range nodes {
		if n.Up {
			next.nodes = append(next.nodes, candidate{Node: n, hash: xxh3.HashString(n.Name)})
		}
	}
	for name, went := range s.gone {
		if now.Sub(went) < returnDelay {
			next.gone[name] = went
		}
	}
	still := make(map[string]bool, len(next.nodes))
	for _, c := range next.nodes {
		still[c.Name] = true
	}
	for _, c := range s.nodes {
		if !still[c.Name] {
			next.gone[c.Name] = now
		}
	}
	for i, c := range next.nodes {
		if went, ok := next.gone[c.Name]; ok {
			next.nodes[i].from = went.Add(returnDelay)
		}
	}
	return next
}

// Rank returns the names of the first count homes of a cell, best first: the
// node that [State.Balance] gave it, then nodes in the cell's data centre, then
// all others, each by rendezvous.
func (s State) Rank(now time.Time, cell, dataCentre string, count int) []string {
	key, given := xxh3.HashString(cell), s.given.homes[cell]
	best := make([]scored, 0, count+1)
	for i := range s.nodes {
		c := &s.nodes[i]
		if now.Before(c.from) {
			continue
		}
		next := scored{name: c.Name, given: c.Name == given, near: c.DataCentre == dataCentre, score: mix(key ^ c.hash)}
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
	name  string
	given bool
	near  bool
	score uint64
}

func (a scored) beats(b scored) bool {
	switch {
	case a.given != b.given:
		return a.given
	case a.near != b.near:
		return a.near
	case a.score != b.score:
		return a.score > b.score
	default:
		return a.name < b.name
	}
}

// mix is the finaliser of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
