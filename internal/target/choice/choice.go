// Package choice ranks the targets of a plain service for one call.
package choice

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

const (
	avoidTime  = 5 * time.Second
	maxTargets = 4096
)

// Ranking remembers the calls in flight and the recent failures of targets. It
// is safe for concurrent use.
type Ranking struct {
	dataCentre string
	mu         sync.Mutex
	targets    map[string]record
	turn       int
}

type record struct {
	open   int
	failed time.Time
}

// New returns a ranking for a node in a data centre.
//
//	ranking := choice.New("tema")
//	for _, target := range ranking.Rank(now, service.Targets) { … }
func New(dataCentre string) *Ranking {
	return &Ranking{dataCentre: dataCentre, targets: map[string]record{}}
}

// Rank orders targets: those that failed a moment ago last, then the node's own
// data centre first, then the fewest calls open from here, then in turn.
func (r *Ranking) Rank(now time.Time, targets []site.Target) []site.Target {
	if len(targets) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	shift := r.turn % len(targets)
	ranked := append(slices.Clone(targets[shift:]), targets[:shift]...)
	slices.SortStableFunc(ranked, func(a, b site.Target) int {
		x, y := r.targets[a.Address], r.targets[b.Address]
		return cmp.Or(
			compare(now.Sub(x.failed) < avoidTime, now.Sub(y.failed) < avoidTime),
			compare(a.DataCentre != r.dataCentre, b.DataCentre != r.dataCentre),
			cmp.Compare(x.open, y.open),
		)
	})
	return ranked
}

// Begin counts a call to a target; the function that it returns ends it and
// tells whether the target could be reached.
func (r *Ranking) Begin(address string) (end func(now time.Time, reached bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict()
	entry := r.targets[address]
	entry.open++
	r.targets[address] = entry
	return func(now time.Time, reached bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		entry := r.targets[address]
		entry.open--
		if reached {
			entry.failed = time.Time{}
		} else {
			entry.failed = now
		}
		if entry == (record{}) {
			delete(r.targets, address)
			return
		}
		r.targets[address] = entry
	}
}

// evict forgets idle targets when there are too many; the caller holds the lock.
func (r *Ranking) evict() {
	if len(r.targets) < maxTargets {
		return
	}
	for address, entry := range r.targets {
		if entry.open == 0 {
			delete(r.targets, address)
		}
	}
}

func compare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
