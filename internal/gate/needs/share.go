package needs

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/refill"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

// A target tolerates 1.5 times its limit and some requests more in a few seconds. The
// senders use usedShare of the limit steadily, and may send some requests at once: one
// each, or more of them if they are few. That sum is bounded as well, which leaves room
// for other calls and for nodes whose views differ for a moment.
const (
	usedShare     = 0.95
	burstPerLimit = 1.2
	minBurst      = 2
	// minorityShare is the part of its share that a node uses while it reaches at most
	// half of the others.
	minorityShare = 0.5
	// callShare is the share of the limit for a node's other calls, such as reads of
	// cache events, and minCallRate the least number of them a second, so that weights
	// can still be loaded. One or two nodes make such calls.
	callShare   = 0.1
	minCallRate = 0.15
	// smallestLimit replaces a lower limit, so that its end is noticed.
	smallestLimit = 0.1
	// epsilon allows for rounding errors in the number of requests.
	epsilon = 1e-9
)

// shareOf returns a node's share of an instance's limit, in requests a second, and how
// many requests it may send at once; zero if the node is no sender.
func shareOf(self string, hosts []string, of Instance, limit float64) (rate, burst float64) {
	limit = max(limit, smallestLimit)
	atOnce := minBurst + int(burstPerLimit*limit)
	senders := max(min(atOnce, len(hosts)), 1)
	key := place.Hash(of.ID)
	score := func(name string) float64 {
		return place.Score(key, place.Target{Name: name, Hash: place.Hash(name), Weight: 1})
	}
	own, better := score(self), 0
	for _, name := range hosts {
		if name != self && score(name) > own {
			better++
		}
	}
	if better >= senders {
		return 0, 0
	}
	return usedShare * limit / float64(senders), float64(atOnce) / float64(senders)
}

// callShareOf returns the share of a node's other calls, one at once.
func callShareOf(limit float64) (rate, burst float64) { return max(callShare*limit, minCallRate), 1 }

// available reports whether a share has one request.
func available(now time.Time, s *refill.Share) bool {
	return s.Rate() > 0 && s.Amount(now) >= 1-epsilon
}

// availableAt returns when the next request may be sent; the zero time if never.
func availableAt(now time.Time, s *refill.Share) time.Time {
	wait, ok := s.Wait(now, 1)
	if !ok {
		return time.Time{}
	}
	return now.Add(wait)
}
