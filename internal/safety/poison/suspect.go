package poison

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a feature of requests that crashed.
type suspect struct {
	crashes []*crash
	// survived is the time when the latest survivor began.
	survived time.Time

	// counted holds the crashes since then that are recent enough, by the time of
	// their events.
	counted []*crash
	// total is the number of episodes, begun the number of crashes of targets in which
	// the headers of a response had arrived.
	total, begun int
	// depth is the innermost position of a part.
	depth int
}

// count finds the crashes that count.
func (s *suspect) count(now time.Time) {
	s.counted = s.counted[:0]
	var last time.Time
	for _, crash := range s.crashes {
		if crash.at.After(last) {
			last = crash.at
		}
	}
	if now.Sub(last) >= crashLifetime {
		return
	}
	for _, crash := range s.crashes {
		if crash.at.After(s.survived) && last.Sub(crash.at) < crashLifetime {
			s.counted = append(s.counted, crash)
		}
	}
}

// rank computes the values by which suspects are compared.
func (s *suspect) rank(f feature) {
	s.total = len(episodes(s.counted, func(*crash) bool { return true }))
	begun := map[*event]struct{}{}
	for _, crash := range s.counted {
		if crash.began {
			begun[crash.event] = struct{}{}
		}
	}
	s.begun = len(begun)
	s.depth = -1
	if f.whole {
		return
	}
	for _, crash := range s.counted {
		for i := len(crash.request.Parts) - 1; i > s.depth; i-- {
			if crash.request.Parts[i] == f.hash {
				s.depth = i
			}
		}
	}
}

// compareSuspects orders suspects by how likely they are the cause of their crashes.
func compareSuspects(a, b *suspect, featureA, featureB feature) int {
	return cmp.Or(
		cmp.Compare(b.total, a.total),
		cmp.Compare(b.begun, a.begun),
		compareFlags(featureA.whole, featureB.whole),
		compareFlags(a.survived.IsZero(), b.survived.IsZero()),
		cmp.Compare(b.depth, a.depth),
	)
}

// compareFlags orders true before false.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// qualifies reports whether enough crashes are unexplained to block the feature.
func (s *suspect) qualifies(f feature) bool {
	if len(episodes(s.counted, unexplained)) < minCrashes {
		return false
	}
	requests := map[uint64]struct{}{}
	for _, crash := range s.counted {
		if unexplained(crash) {
			requests[crash.request.Digest] = struct{}{}
		}
	}
	return f.whole || len(requests) >= minRequests
}

func (s *suspect) block() block {
	starts := episodes(s.counted, func(*crash) bool { return true })
	b := block{crashes: s.total, since: starts[minCrashes-1], last: s.last()}
	b.from = b.since
	if s.survived.IsZero() {
		return b
	}
	b.from = b.since.Add(survivalDelay)
	// Each pause after the block was ended by a trial that crashed.
	interval := trialInterval
	for i := minCrashes; i < len(starts); i++ {
		if starts[i].Sub(starts[i-1]) >= trialInterval && interval < crashLifetime {
			interval *= trialBackoff
		}
	}
	b.trialAt = b.last.Add(interval)
	return b
}

// last returns the time of the last crash that counts.
func (s *suspect) last() time.Time {
	return slices.MaxFunc(s.counted, func(a, b *crash) int { return a.at.Compare(b.at) }).at
}

// episodes returns when the episodes began to which the crashes belong that keep
// selects. The crashes are in the order of their events.
func episodes(crashes []*crash, keep func(*crash) bool) []time.Time {
	var starts []time.Time
	for _, c := range crashes {
		if keep(c) && (len(starts) == 0 || c.event.at.Sub(starts[len(starts)-1]) > episodeGap) {
			starts = append(starts, c.event.at)
		}
	}
	return starts
}

func unexplained(c *crash) bool { return !c.event.explained }
