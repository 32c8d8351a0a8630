package pick

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// peerAge is how old a peer's figures may be to count: twenty exchanges.
	peerAge = 3 * time.Second
	// failWeight is the weight of the last answer in the share of failures.
	failWeight = 0.2
	// suspectTime is how long a target that stopped answering gets no work
	// which it might lose; each further failure doubles it.
	suspectTime = time.Second
	// maxSuspectTime bounds it.
	maxSuspectTime = 4 * time.Second
)

// target is what is believed of one target.
type target struct {
	roster.Target
	rank    place.Target
	engines *plan.Engines
	own     Count
	others  map[string]heard
	// sum is the work of others, oldest the time of its oldest figure.
	sum     Count
	oldest  time.Time
	cache   *belief
	emptied bool
	full    time.Time
	suspect time.Time
	silent  int
	failing float64
}

type heard struct {
	count Count
	at    time.Time
}

func newTarget(t roster.Target, engines *plan.Engines) *target {
	fresh := &target{
		Target: t, rank: place.Target{Name: t.ID, Hash: place.Hash(t.ID), Weight: 1},
		engines: engines, others: map[string]heard{},
	}
	fresh.forget()
	return fresh
}

// forget drops the belief about the cache.
func (t *target) forget() {
	capacity := 0
	if t.engines != nil {
		capacity = t.engines.CacheTokens
	}
	t.cache = newBelief(capacity)
}

// work returns the work of all nodes at the target and the age of the oldest
// figure in it.
func (t *target) work(now time.Time) (Count, time.Duration) {
	if len(t.others) == 0 {
		return t.own, 0
	}
	return t.own.plus(t.sum), now.Sub(t.oldest)
}

// hear takes another node's work at the target; nil when it has none.
func (t *target) hear(now time.Time, peer string, count *Count) {
	old, known := t.others[peer]
	if !known && count == nil {
		return
	}
	t.sum = t.sum.minus(old.count)
	delete(t.others, peer)
	if count != nil {
		t.others[peer] = heard{count: *count, at: now}
		t.sum = t.sum.plus(*count)
	}
}

// expire drops what peers said too long ago.
func (t *target) expire(now time.Time) {
	t.oldest = now
	for peer, h := range t.others {
		if now.Sub(h.at) > peerAge {
			t.hear(now, peer, nil)
			continue
		}
		if h.at.Before(t.oldest) {
			t.oldest = h.at
		}
	}
}

// failed notes that the target broke a request; silent means that it did not
// answer at all.
func (t *target) failed(now time.Time, silent bool) {
	t.failing += (1 - t.failing) * failWeight
	if silent {
		t.suspect = now.Add(min(suspectTime<<min(t.silent, 8), maxSuspectTime))
		t.silent++
	}
}

func (t *target) answered() {
	t.failing -= t.failing * failWeight
	t.suspect = time.Time{}
	t.silent = 0
}

// update takes a newer entry of the list. Another start knows nothing of before.
func (t *target) update(next roster.Target, engines *plan.Engines) {
	if t.Born != next.Born || t.Address != next.Address {
		*t = *newTarget(next, engines)
		return
	}
	for model, version := range t.Versions {
		if next.Versions != nil && next.Versions[model] < version {
			next.Versions[model] = version
		}
	}
	for model, version := range next.Versions {
		if t.Versions[model] != version {
			t.forget()
		}
	}
	t.Target, t.engines = next, engines
}
