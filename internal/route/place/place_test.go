package place_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/route/place"
)

func fleet(n int) []place.Target {
	targets := make([]place.Target, n)
	for i := range targets {
		name := fmt.Sprintf("engine-%d", i)
		targets[i] = place.Target{Name: name, Hash: place.Hash(name), Weight: 1}
	}
	return targets
}

func TestRemovalMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := fleet(rapid.IntRange(2, 40).Draw(t, "targets"))
		gone := rapid.IntRange(0, len(targets)-1).Draw(t, "gone")
		key := rapid.Uint64().Draw(t, "key")
		before := targets[place.Rank(key, targets, 1)[0]].Name
		rest := append(append([]place.Target{}, targets[:gone]...), targets[gone+1:]...)
		after := rest[place.Rank(key, rest, 1)[0]].Name
		if before != targets[gone].Name {
			assert.Equal(t, before, after)
		}
	})
}

func TestShareFollowsWeight(t *testing.T) {
	targets := fleet(4)
	targets[0].Weight = 3
	const keys = 60000
	won := 0
	for key := range uint64(keys) {
		if place.Rank(place.Hash(fmt.Sprint(key)), targets, 1)[0] == 0 {
			won++
		}
	}
	assert.InDelta(t, 0.5, float64(won)/keys, 0.02)
}

func ExampleRank() {
	targets := fleet(3)
	fmt.Println(len(place.Rank(42, targets, 2)))
	// Output: 2
}
