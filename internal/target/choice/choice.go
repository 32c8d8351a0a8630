// Package choice ranks the targets of a plain service for a call.
package choice

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

const (
	// failureCooldown is how long a target that could not be reached is ranked last.
	failureCooldown = 5 * time.Second
	// maxTargets is the number of tracked targets from which on evict drops those
	// without calls in flight.
	maxTargets = 4096
)

// Ranking tracks the calls in flight from this node and the recent failures of
// targets. It is safe for concurrent use.
type Ranking struct {
	dataCentre string
	mu         sync.Mutex
	targets    map[string]record
	rotation   int
}

type record struct {
	inFlight int
	failedAt time.Time
}

// New returns a ranking for a node in the given data centre.
//
//	ranking := choice.New("tema")
//	for _, target := range ranking.Rank(now, service.Targets) { … }
func New(dataCentre string) *Ranking {
	return &Ranking{dataCentre: dataCentre, targets: map[string]record{}}
}

// Rank returns the targets in order of preference: targets that failed
// recently come last; among the others, those in the node's own data centre
// first, then those with the fewest calls in flight from here. Ties rotate
// with each call.
func (r *Ranking) Rank(now time.Time, targets []site.Target) []site.Target {
	if len(targets) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotation++
	offset := r.rotation % len(targets)
	ranked := append(slices.Clone(targets[offset:]), targets[:offset]...)
	slices.SortStableFunc(ranked, func(a, b site.Target) int {
		x, y := r.targets[a.Address], r.targets[b.Address]
		return cmp.Or(
			compareBools(now.Sub(x.failedAt) < failureCooldown, now.Sub(y.failedAt) < failureCooldown),
			compareBools(a.DataCentre != r.dataCentre, b.DataCentre != r.dataCentre),
			cmp.Compare(x.inFlight, y.inFlight),
		)
	})
	return ranked
}

// Begin records the start of a call to a target. The caller must call end
// once, with reached set to whether the target could be reached.
func (r *Ranking) Begin(address string) (end func(now time.Time, reached bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict()
	entry := r.targets[address]
	entry.inFlight++
	r.targets[address] = entry
	return func(now time.Time, reached bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		entry := r.targets[address]
		entry.inFlight--
		if reached {
			entry.failedAt = time.Time{}
		} else {
			entry.failedAt = now
		}
		if entry == (record{}) {
			delete(r.targets, address)
			return
		}
		r.targets[address] = entry
	}
}

// evict drops the targets without calls in flight when there are too many. The
// caller must hold the lock.
func (r *Ranking) evict() {
	if len(r.targets) < maxTargets {
		return
	}
	for address, entry := range r.targets {
		if entry.inFlight == 0 {
			delete(r.targets, address)
		}
	}
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
