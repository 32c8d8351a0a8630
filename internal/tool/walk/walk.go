// Package walk visits every state that a small system can reach.
//
// It is the engine of the model checks: a system of real decision slices and a
// small world around them is a comparable value, and every step that the world
// may take leads to further values.
package walk

import (
	"fmt"
	"hash/maphash"
)

// Report counts a walk.
type Report struct {
	// States is the number of different states visited.
	States int
	// Steps is the number of steps taken, also to states seen before.
	Steps int
	// Depth is the length of the longest shortest path.
	Depth int
}

// BrokenError means that a state breaks the invariant.
type BrokenError struct {
	// Depth is the number of steps that lead to the state.
	Depth int
	// State is a text of the state.
	State string
	// Cause is what the check said.
	Cause error
}

// Error returns a text for logs.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("after %d steps: %v\n%s", e.Depth, e.Cause, e.State)
}

// Unwrap returns what the check said.
func (e *BrokenError) Unwrap() error { return e.Cause }

// All visits every state that next reaches from start, breadth first, and
// checks each. States are told apart by a hash of 64 bits. It ends with a
// [*BrokenError] at the first state that the check refuses.
//
//	report, err := walk.All(world{}, world.next, world.check)
func All[S comparable](start S, next func(S) []S, check func(S) error) (Report, error) {
	seed := maphash.MakeSeed()
	seen := map[uint64]struct{}{maphash.Comparable(seed, start): {}}
	report := Report{States: 1}
	if err := check(start); err != nil {
		return report, broken(0, start, err)
	}
	for level := []S{start}; len(level) > 0; report.Depth++ {
		var following []S
		for _, state := range level {
			for _, to := range next(state) {
				report.Steps++
				hash := maphash.Comparable(seed, to)
				if _, ok := seen[hash]; ok {
					continue
				}
				seen[hash] = struct{}{}
				report.States++
				if err := check(to); err != nil {
					return report, broken(report.Depth+1, to, err)
				}
				following = append(following, to)
			}
		}
		level = following
	}
	return report, nil
}

func broken(depth int, state any, cause error) error {
	return &BrokenError{Depth: depth, State: fmt.Sprintf("%+v", state), Cause: cause}
}
