package label_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/watch/label"
)

func TestLabelsStayBounded(t *testing.T) {
	const limit, workspaces, rankings = 32, 2600, 500
	set := label.New(limit)
	seen := map[string]bool{}
	for ranking := range rankings {
		names := make([]string, workspaces)
		for i := range names {
			names[i] = fmt.Sprintf("workspace-%d", (i+ranking*7)%workspaces)
		}
		set.SetRanking(names)
		for _, name := range names {
			seen[set.Label(name)] = true
		}
	}
	assert.Len(t, seen, 2*limit+1)
}

func TestSameRankingsGiveSameLabels(t *testing.T) {
	one, two := label.New(2), label.New(2)
	for _, ranking := range [][]string{{"a", "b", "c"}, {"c", "a"}, {"d", "e"}, {"f", "a"}} {
		one.SetRanking(ranking)
		two.SetRanking(ranking)
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			assert.Equal(t, one.Label(name), two.Label(name))
		}
	}
	assert.Equal(t, "a", one.Label("a"))
	assert.Equal(t, label.Other, one.Label("f"), "four names have had a label")
}

func ExampleSet_Label() {
	set := label.New(1)
	set.SetRanking([]string{"members", "sellers"})
	fmt.Println(set.Label("members"), set.Label("sellers"))
	// Output: members other
}

func TestAdmitStaysBounded(t *testing.T) {
	set := label.New(2)
	var labels []string
	for _, code := range []string{"a", "b", "a", "c", "d", "e", "d"} {
		labels = append(labels, set.Admit(code))
	}
	assert.Equal(t, []string{"a", "b", "a", "c", "d", label.Other, "d"}, labels)
}
