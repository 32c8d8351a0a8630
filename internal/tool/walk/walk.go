// Package walk is an explicit-state model checker. It visits every state that a
// small system can reach.
//
// A state is a comparable value that contains the real decision logic and a small
// model of its environment. Each possible step of the environment leads to
// further states.
package walk

import (
	"fmt"
	"hash/maphash"
)

// Report is the size of an exploration.
type Report struct {
	// States is the number of distinct states.
	States int
	// Steps is the number of steps, including those to states already visited.
	Steps int
	// Depth is the largest distance of a state from the start, in steps.
	Depth int
}

// InvariantError means that a reachable state violates the invariant.
type InvariantError struct {
	// Depth is the distance of the state from the start, in steps.
	Depth int
	// State is the state, formatted with %+v.
	State string
	// Cause is the error that the check returned.
	Cause error
}

// Error implements the error interface.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant violated after %d steps: %v\n%s", e.Depth, e.Cause, e.State)
}

// Unwrap returns the error of the check.
func (e *InvariantError) Unwrap() error { return e.Cause }

// All visits every state reachable from start by next, breadth first, and calls
// check on each. States are identified by a 64-bit hash. It stops with a
// [*InvariantError] at the first state for which check returns an error.
//
//	report, err := walk.All(world{}, world.next, world.check)
func All[S comparable](start S, next func(S) []S, check func(S) error) (Report, error) {
	seed := maphash.MakeSeed()
	seen := map[uint64]struct{}{maphash.Comparable(seed, start): {}}
	report := Report{States: 1}
	if err := check(start); err != nil {
		return report, newInvariantError(0, start, err)
	}
	for frontier := []S{start}; len(frontier) > 0; report.Depth++ {
		var nextFrontier []S
		for _, state := range frontier {
			for _, successor := range next(state) {
				report.Steps++
				hash := maphash.Comparable(seed, successor)
				if _, ok := seen[hash]; ok {
					continue
				}
				seen[hash] = struct{}{}
				report.States++
				if err := check(successor); err != nil {
					return report, newInvariantError(report.Depth+1, successor, err)
				}
				nextFrontier = append(nextFrontier, successor)
			}
		}
		frontier = nextFrontier
	}
	return report, nil
}

func newInvariantError(depth int, state any, cause error) error {
	return &InvariantError{Depth: depth, State: fmt.Sprintf("%+v", state), Cause: cause}
}
