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

func home(s homes.State, now time.Time, cell string) string {
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
		steps func(s homes.State) homes.State
		after time.Duration
		want  string
	}{
		"a new node counts at once": {steps: func(homes.State) homes.State {
			return homes.New().Update(start, away(fleet(6), first)).Update(start, fleet(6))
		}, want: first},
		"first list counts at once":           {steps: func(s homes.State) homes.State { return s }, want: first},
		"home leaves":                         {steps: func(s homes.State) homes.State { return s.Update(start, away(fleet(6), first)) }, want: second},
		"home is back, too early":             {steps: func(s homes.State) homes.State { return s.Update(start, away(fleet(6), first)).Update(start, fleet(6)) }, after: 9 * time.Second, want: second},
		"home is back for long enough":        {steps: func(s homes.State) homes.State { return s.Update(start, away(fleet(6), first)).Update(start, fleet(6)) }, after: 10 * time.Second, want: first},
		"other data centre when none is near": {steps: func(s homes.State) homes.State { return s.Update(start, fleet(2)[1:]) }, want: "node-1"},
		"nobody":                              {steps: func(s homes.State) homes.State { return s.Update(start, nil) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := test.steps(homes.New().Update(start, fleet(6)))
			assert.Equal(t, test.want, home(s, start.Add(test.after), "cell"))
		})
	}
}

// TestOnlyCellsOfTheNodeMove takes one node away and sees every cell that it
// did not hold stay.
func TestOnlyCellsOfTheNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(2, 40).Draw(t, "nodes"))
		gone := rapid.IntRange(0, len(nodes)-1).Draw(t, "gone")
		s := homes.New().Update(start, nodes)
		less := append([]homes.Node{}, nodes...)
		less[gone].Up = false
		after := s.Update(start, less)
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

func ExampleState_Rank() {
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
