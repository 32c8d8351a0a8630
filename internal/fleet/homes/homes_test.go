package homes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/fleet/homes"
)

var start = time.Unix(1_000_000, 0)

func fleet(count int) []homes.Node {
	var nodes []homes.Node
	for i := range count {
		nodes = append(nodes, homes.Node{Name: fmt.Sprint("node-", i), DataCentre: fmt.Sprint("dc-", i%2), Up: true})
	}
	return nodes
}

func home(s homes.Ranker, now time.Time, cell string) string {
	if ranked := s.Rank(now, cell, "dc-0", 1); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

func TestRank(t *testing.T) {
	away := func(nodes []homes.Node, name string) []homes.Node {
		for i := range nodes {
			nodes[i].Up = nodes[i].Up && nodes[i].Name != name
		}
		return nodes
	}
	first := home(homes.New().Update(start, fleet(6)), start, "cell")
	second := homes.New().Update(start, fleet(6)).Rank(start, "cell", "dc-0", 2)[1]
	tests := map[string]struct {
		steps func(s homes.Ranker) homes.Ranker
		after time.Duration
		want  string
	}{
		"a new node counts at once": {steps: func(homes.Ranker) homes.Ranker {
			return homes.New().Update(start, away(fleet(6), first)).Update(start, fleet(6))
		}, want: first},
		"first list counts at once": {steps: func(s homes.Ranker) homes.Ranker { return s }, want: first},
		"home leaves":               {steps: func(s homes.Ranker) homes.Ranker { return s.Update(start, away(fleet(6), first)) }, want: second},
		"home is back, too early": {steps: func(s homes.Ranker) homes.Ranker {
			return s.Update(start, away(fleet(6), first)).Update(start, fleet(6))
		}, after: 9 * time.Second, want: second},
		"home is back for long enough": {steps: func(s homes.Ranker) homes.Ranker {
			return s.Update(start, away(fleet(6), first)).Update(start, fleet(6))
		}, after: 10 * time.Second, want: first},
		"other data centre when none is near": {steps: func(s homes.Ranker) homes.Ranker { return s.Update(start, fleet(2)[1:]) }, want: "node-1"},
		"nobody":                              {steps: func(s homes.Ranker) homes.Ranker { return s.Update(start, nil) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := test.steps(homes.New().Update(start, fleet(6)))
			assert.Equal(t, test.want, home(s, start.Add(test.after), "cell"))
		})
	}
}

// TestOnlyCellsOfTheNodeMove checks that only the cells of a node move when it
// goes down.
func TestOnlyCellsOfTheNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(2, 40).Draw(t, "nodes"))
		gone := rapid.IntRange(0, len(nodes)-1).Draw(t, "gone")
		s := homes.New().Update(start, nodes)
		remaining := append([]homes.Node{}, nodes...)
		remaining[gone].Up = false
		after := s.Update(start, remaining)
		for i := range 50 {
			cell := fmt.Sprint("cell-", i)
			before := home(s, start, cell)
			if before != nodes[gone].Name && home(after, start, cell) != before {
				t.Fatalf("%s moved away from %s", cell, before)
			}
		}
	})
}

func TestCellsSpreadOverNodes(t *testing.T) {
	s := homes.New().Update(start, fleet(20))
	held := map[string]int{}
	for i := range 1000 {
		held[home(s, start, fmt.Sprint("cell-", i))]++
	}
	assert.Len(t, held, 10, "only nodes of the data centre, and all of them")
	for name, count := range held {
		assert.Less(t, count, 200, name)
	}
}

// cells returns cells of one data centre with different weights.
func cells(count int) []homes.Cell {
	var all []homes.Cell
	for i := range count {
		all = append(all, homes.Cell{ID: fmt.Sprint("cell-", i), DataCentre: "dc-0", Weight: 20 + float64(i%10)})
	}
	return all
}

// TestNoNodeHasMuchMoreThanItsPart bounds the weight on the most loaded node
// for random numbers of nodes and cells.
func TestNoNodeHasMuchMoreThanItsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(2 * rapid.IntRange(1, 30).Draw(t, "nodes"))
		all := cells(rapid.IntRange(1, 200).Draw(t, "cells"))
		s := homes.New().Update(start, nodes).Balance(start, all)
		load, total, largest := map[string]float64{}, 0.0, 0.0
		for _, cell := range all {
			load[home(s, start, cell.ID)] += cell.Weight
			total, largest = total+cell.Weight, max(largest, cell.Weight)
		}
		bound := max(largest, 1.25*total/float64(len(nodes)/2)+largest)
		for name, weight := range load {
			if weight > bound {
				t.Fatalf("%s has %.0f of %.0f on %d nodes", name, weight, total, len(nodes)/2)
			}
		}
	})
}

// TestFewCellsMoveWithANode takes each node down in turn. Its cells must move,
// but the load limit may make few others move with them.
func TestFewCellsMoveWithANode(t *testing.T) {
	nodes, all := fleet(106), cells(48)
	s := homes.New().Update(start, nodes).Balance(start, all)
	moved, had := 0, 0
	for gone := range nodes {
		remaining := append([]homes.Node{}, nodes...)
		remaining[gone].Up = false
		after := s.Update(start, remaining).Balance(start, all)
		for _, cell := range all {
			before := home(s, start, cell.ID)
			if before == nodes[gone].Name {
				had++
			}
			if home(after, start, cell.ID) != before {
				moved++
			}
		}
	}
	assert.Equal(t, len(all), had)
	assert.Less(t, moved, 4*had, "cells that moved, of %d that had to", had)
}

func TestBalanceFollowsNodesAndCells(t *testing.T) {
	all := cells(12)
	s := homes.New().Update(start, fleet(8)).Balance(start, all)
	before := home(s, start, "cell-0")
	remaining := fleet(8)
	for i := range remaining {
		remaining[i].Up = remaining[i].Name != before
	}
	s = s.Update(start, remaining).Balance(start, all)
	assert.NotEqual(t, before, home(s, start, "cell-0"))
	s = s.Update(start, fleet(8)).Balance(start, all)
	assert.NotEqual(t, before, home(s, start, "cell-0"), "a node that was away waits")
	later := start.Add(10 * time.Second)
	s = s.Balance(later, all)
	assert.Equal(t, before, home(s, later, "cell-0"))
	assert.Empty(t, homes.New().Balance(start, all).Rank(start, "cell-0", "dc-0", 1))
}

func ExampleRanker_Rank() {
	state := homes.New().Update(time.Unix(0, 0), []homes.Node{
		{Name: "node-1", DataCentre: "tema", Up: true}, {Name: "node-2", DataCentre: "kasoa", Up: true},
	})
	fmt.Println(state.Rank(time.Unix(0, 0), "cell", "kasoa", 2))
	// Output: [node-2 node-1]
}

func BenchmarkRank(b *testing.B) {
	for _, count := range []int{8, 60, 240, 480} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := homes.New().Update(start, fleet(count))
			b.ReportAllocs()
			for b.Loop() {
				s.Rank(start, "cell", "dc-0", 2)
			}
		})
	}
}
