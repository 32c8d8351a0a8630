package level_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/route/level"
)

func TestLevelsEndWherePromptsBranch(t *testing.T) {
	tests := map[string]struct {
		before [][]uint64
		prompt []uint64
		want   []int
	}{
		"first seen":        {nil, []uint64{1, 2, 3}, []int{3}},
		"seen again":        {[][]uint64{{1, 2, 3}}, []uint64{1, 2, 3}, []int{3}},
		"branches":          {[][]uint64{{1, 2, 3}}, []uint64{1, 2, 4}, []int{2, 3}},
		"nested":            {[][]uint64{{1, 2, 3}, {1, 2, 4}, {1, 5, 6}}, []uint64{1, 2, 3}, []int{1, 2, 3}},
		"extends a prompt":  {[][]uint64{{1, 2}}, []uint64{1, 2, 3}, []int{2, 3}},
		"no complete block": {nil, nil, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			finder := level.New(64)
			for _, prompt := range test.before {
				finder.Observe(prompt)
			}
			assert.Equal(t, test.want, finder.Observe(test.prompt))
		})
	}
}

func TestFinderIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		finder := level.New(16)
		for range 20 {
			prompt := rapid.SliceOfN(rapid.Uint64Range(1, 100), 0, 10).Draw(t, "prompt")
			depths := finder.Observe(prompt)
			assert.LessOrEqual(t, finder.Len(), 16)
			if len(prompt) > 0 {
				assert.Equal(t, len(prompt), depths[len(depths)-1])
			}
		}
	})
}

func ExampleFinder_Observe() {
	finder := level.New(64)
	finder.Observe([]uint64{1, 2, 3})
	fmt.Println(finder.Observe([]uint64{1, 2, 4}))
	// Output: [2 3]
}
