package homes

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// maxLoadFactor limits the total weight of a node's cells to this multiple of
// the mean in its data centre. A cell that doesn't fit goes to the next node
// of its ranking.
const maxLoadFactor = 1.25

// Cell is a group of engines whose requests one node places.
type Cell struct {
	// ID identifies the cell.
	ID string
	// DataCentre is the data centre of the cell's engines; empty when they are
	// in several.
	DataCentre string
	// Weight is the relative load of the cell, such as its number of engines.
	Weight float64
}

// assignment maps each cell to its node. The digests identify the nodes and
// cells from which it was computed.
type assignment struct {
	homes       map[string]string
	nodesDigest uint64
	cellsDigest uint64
}

// Balance assigns the cells to nodes with bounded loads: each cell goes to the
// highest-ranked node that has room. Rank then returns that node first. A call
// with unchanged nodes and cells returns the state as it is.
//
//	state = state.Balance(now, cells)
func (r Ranker) Balance(now time.Time, cells []Cell) Ranker {
	up := r.available(now)
	next := assignment{nodesDigest: digestNodes(up), cellsDigest: digestCells(cells)}
	if r.assignment.homes != nil && r.assignment.nodesDigest == next.nodesDigest && r.assignment.cellsDigest == next.cellsDigest {
		return r
	}
	next.homes = assign(up, cells)
	r.assignment = next
	return r
}

func (r Ranker) available(now time.Time) []candidate {
	up := make([]candidate, 0, len(r.nodes))
	for _, c := range r.nodes {
		if !now.Before(c.eligibleFrom) {
			up = append(up, c)
		}
	}
	return up
}

// nodeGroup is the nodes of one data centre, or all nodes, with the weight
// assigned to each so far.
type nodeGroup struct {
	nodes []candidate
	loads map[string]float64
	total float64
}

func assign(up []candidate, cells []Cell) map[string]string {
	groups := map[string]*nodeGroup{}
	for _, c := range up {
		for _, name := range []string{c.DataCentre, ""} {
			if groups[name] == nil {
				groups[name] = &nodeGroup{loads: map[string]float64{}}
			}
			groups[name].nodes = append(groups[name].nodes, c)
		}
	}
	groupOf := func(cell Cell) *nodeGroup {
		if g := groups[cell.DataCentre]; g != nil {
			return g
		}
		return groups[""]
	}
	order := slices.Clone(cells)
	slices.SortFunc(order, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a.ID), xxh3.HashString(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	homes := make(map[string]string, len(order))
	for _, cell := range order {
		if g := groupOf(cell); g != nil {
			g.total += cell.Weight
		}
	}
	for _, cell := range order {
		if g := groupOf(cell); g != nil {
			homes[cell.ID] = g.assign(cell)
		}
	}
	return homes
}

// assign gives a cell to its highest-ranked node that has room, and returns
// the name of that node. A node without cells always has room. When no node
// has room, the least loaded one gets the cell.
func (g *nodeGroup) assign(cell Cell) string {
	limit := maxLoadFactor * g.total / float64(len(g.nodes))
	key := xxh3.HashString(cell.ID)
	best, bestScore, leastLoaded := "", uint64(0), ""
	for _, c := range g.nodes {
		load := g.loads[c.Name]
		if leastLoaded == "" || load < g.loads[leastLoaded] || load == g.loads[leastLoaded] && c.Name < leastLoaded {
			leastLoaded = c.Name
		}
		if load > 0 && load+cell.Weight > limit {
			continue
		}
		score := mix(key ^ c.hash)
		if best == "" || score > bestScore || score == bestScore && c.Name < best {
			best, bestScore = c.Name, score
		}
	}
	if best == "" {
		best = leastLoaded
	}
	g.loads[best] += cell.Weight
	return best
}

func digestNodes(nodes []candidate) uint64 {
	sum := uint64(len(nodes))
	for _, c := range nodes {
		sum += mix(c.hash ^ xxh3.HashString(c.DataCentre))
	}
	return sum
}

func digestCells(cells []Cell) uint64 {
	sum := uint64(len(cells))
	for _, c := range cells {
		sum += mix(xxh3.HashString(c.ID) + uint64(c.Weight))
	}
	return sum
}
