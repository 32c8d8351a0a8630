package homes

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// slack is how far above the mean of its data centre a node may be loaded with
// cells before the next in the ranking takes one.
const slack = 1.25

// Cell is what a node may look after.
type Cell struct {
	// ID identifies the cell.
	ID string
	// DataCentre is where its engines stand; empty when they are spread.
	DataCentre string
	// Weight is its work relative to other cells, such as its engines.
	Weight float64
}

// given is which node each cell has, and for which nodes and cells that holds.
type given struct {
	homes map[string]string
	nodes uint64
	cells uint64
}

// Balance gives the cells to nodes so that no node has much more than its part:
// each cell goes to its first node by rendezvous that has room. Rank then puts
// that node first. It costs nothing while neither cells nor nodes change.
//
//	state = state.Balance(now, cells)
func (s State) Balance(now time.Time, cells []Cell) State {
	up := s.available(now)
	next := given{nodes: digest(up), cells: cellDigest(cells)}
	if s.given.homes != nil && s.given.nodes == next.nodes && s.given.cells == next.cells {
		return s
	}
	next.homes = assign(up, cells)
	s.given = next
	return s
}

func (s State) available(now time.Time) []candidate {
	up := make([]candidate, 0, len(s.nodes))
	for _, c := range s.nodes {
		if !now.Before(c.from) {
			up = append(up, c)
		}
	}
	return up
}

// site is the nodes of one data centre with what they have so far.
type site struct {
	nodes []candidate
	loads map[string]float64
	total float64
}

func assign(up []candidate, cells []Cell) map[string]string {
	sites := map[string]*site{}
	for _, c := range up {
		for _, name := range []string{c.DataCentre, ""} {
			if sites[name] == nil {
				sites[name] = &site{loads: map[string]float64{}}
			}
			sites[name].nodes = append(sites[name].nodes, c)
		}
	}
	at := func(cell Cell) *site {
		if s := sites[cell.DataCentre]; s != nil {
			return s
		}
		return sites[""]
	}
	order := slices.Clone(cells)
	slices.SortFunc(order, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a.ID), xxh3.HashString(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	homes := make(map[string]string, len(order))
	for _, cell := range order {
		if s := at(cell); s != nil {
			s.total += cell.Weight
		}
	}
	for _, cell := range order {
		if s := at(cell); s != nil {
			homes[cell.ID] = s.take(cell)
		}
	}
	return homes
}

// take gives a cell to its best node with room. A node without any cell always
// has room; when none has, the one with the least takes it.
func (s *site) take(cell Cell) string {
	room := slack * s.total / float64(len(s.nodes))
	key := xxh3.HashString(cell.ID)
	best, bestScore, least := "", uint64(0), ""
	for _, c := range s.nodes {
		load := s.loads[c.Name]
		if least == "" || load < s.loads[least] || load == s.loads[least] && c.Name < least {
			least = c.Name
		}
		if load > 0 && load+cell.Weight > room {
			continue
		}
		score := mix(key ^ c.hash)
		if best == "" || score > bestScore || score == bestScore && c.Name < best {
			best, bestScore = c.Name, score
		}
	}
	if best == "" {
		best = least
	}
	s.loads[best] += cell.Weight
	return best
}

func digest(nodes []candidate) uint64 {
	sum := uint64(len(nodes))
	for _, c := range nodes {
		sum += mix(c.hash ^ xxh3.HashString(c.DataCentre))
	}
	return sum
}

func cellDigest(cells []Cell) uint64 {
	sum := uint64(len(cells))
	for _, c := range cells {
		sum += mix(xxh3.HashString(c.ID) + uint64(c.Weight))
	}
	return sum
}
