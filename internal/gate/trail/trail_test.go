package trail_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/gate/trail"
)

func ExampleTrail() {
	log := trail.New[string](100)
	log.Add(trail.Origin{}, "own")
	log.Add(trail.Origin{Node: "b", Group: true}, "of b")
	entries, next := log.Since(0, trail.Audience{Node: "b", Down: true})
	fmt.Println(entries, next)
	// Output: [own] 2
}

func TestSinceFiltersByAudience(t *testing.T) {
	log := trail.New[string](10)
	log.Add(trail.Origin{}, "own")
	log.Add(trail.Origin{Node: "child", Group: true}, "child's")
	log.Add(trail.Origin{Node: "root"}, "root's")
	tests := map[string]struct {
		to    trail.Audience
		after uint64
		want  []string
	}{
		"another root":                   {trail.Audience{}, 0, []string{"own", "child's"}},
		"child the entry is from":        {trail.Audience{Node: "child", Down: true}, 0, []string{"own", "root's"}},
		"another child":                  {trail.Audience{Node: "d", Down: true}, 1, []string{"child's", "root's"}},
		"peer that is up to date":        {trail.Audience{Node: "d", Down: true}, 3, nil},
		"new peer":                       {trail.Audience{Node: "d", Down: true}, trail.Fresh, nil},
		"position from before a restart": {trail.Audience{Node: "d", Down: true}, 77, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			entries, next := log.Since(test.after, test.to)
			assert.Equal(t, test.want, entries)
			assert.Equal(t, uint64(3), next)
		})
	}
}

func TestTrailIsBounded(t *testing.T) {
	log := trail.New[int](10)
	for i := range 1000 {
		log.Add(trail.Origin{}, i)
		entries, next := log.Since(0, trail.Audience{})
		assert.LessOrEqual(t, len(entries), 10)
		assert.Equal(t, i, entries[len(entries)-1])
		assert.Equal(t, uint64(i+1), next)
	}
}
