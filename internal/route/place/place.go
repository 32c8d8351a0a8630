// Package place assigns keys, such as prompt prefixes, to targets by weighted
// rendezvous hashing, which needs no state and no communication.
package place

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Target is a candidate for keys.
type Target struct {
	// Name is the target's stable name.
	Name string
	// Hash is the hash of the name; see [Hash].
	Hash uint64
	// Weight is the target's capacity relative to others.
	Weight float64
}

// Hash returns the hash of a name, for [Target] or as a key.
func Hash(name string) uint64 { return xxh3.HashString(name) }

// Rank returns the indexes of the count best targets for a key, best first. Adding
// or removing a target moves only the keys that it gains or loses.
//
//	owners := place.Rank(prefix, targets, 2)
func Rank(key uint64, targets []Target, count int) []int {
	type scored struct {
		index int
		score float64
	}
	best := make([]scored, 0, count+1)
	for i, target := range targets {
		s := scored{index: i, score: Score(key, target)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		if at >= count {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(count, len(best))]
	}
	ranked := make([]int, len(best))
	for i, s := range best {
		ranked[i] = s.index
	}
	return ranked
}

// Score returns the rendezvous score of a target for a key. The target with the
// highest score gets the key.
func Score(key uint64, target Target) float64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], key)
	binary.LittleEndian.PutUint64(buffer[8:], target.Hash)
	hash := xxh3.Hash(buffer[:])
	const mantissaBits = 53
	unit := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -target.Weight / math.Log(unit)
}
