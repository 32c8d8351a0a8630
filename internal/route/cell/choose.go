package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

// costWeights are the weights of the cost function that [State.choose] minimises.
type costWeights struct {
	// recompute is the cost of a second of prefill on top of the delay to the
	// request itself.
	recompute float64
	// nonOwner is the cost of choosing an engine other than the owner of the prefix.
	nonOwner time.Duration
}

const (
	baseRecomputeWeight = 0.5
	// queueDelayWeight is the fraction of an engine's queue that a prefill delays.
	queueDelayWeight = 1.0
	// evictionWeight is the fraction of evicted blocks that will be needed again.
	evictionWeight = 0.25
	nonOwnerCost   = 50 * time.Millisecond
)

// newCostWeights derives the weights from those of the configuration; both zero
// means equal.
func newCostWeights(tailTTFT, recomputation float64) costWeights {
	if tailTTFT <= 0 && recomputation <= 0 {
		tailTTFT, recomputation = 1, 1
	}
	return costWeights{
		recompute: baseRecomputeWeight + recomputation/max(tailTTFT, recomputation/4),
		nonOwner:  nonOwnerCost,
	}
}

// estimate is the expected cost of running a request on an engine.
type estimate struct {
	target *target
	// cost is in seconds; the lowest wins.
	cost float64
	// ttft is the expected time to first token.
	ttft time.Duration
	// cached is the number of prompt blocks estimated to be cached.
	cached int
	// importFirst is true when importing blocks from a source first costs less.
	importFirst bool
	from        source
}

// choose returns the estimate for the engine with the lowest cost; its target is
// nil when no engine can take the request. It allocates nothing.
func (s State) choose(now time.Time, r *request) estimate {
	owner := s.owner(now, r)
	recompute, from := s.recomputeWeight(), s.source(now, r)
	best := estimate{}
	for _, t := range s.targets {
		if !t.usable(now) || !t.serves(r) || r.hasTried(t.Name) {
			continue
		}
		e := s.estimate(now, r, t, recompute, from)
		if t != owner {
			e.cost += s.costWeights.nonOwner.Seconds()
		}
		if best.target == nil || e.cost < best.cost {
			best = e
		}
	}
	return best
}

// recomputeWeight returns the cost of a second of prefill on top of the delay to
// the request itself. It grows with the queues, since a prefill also delays each
// queued request.
func (s State) recomputeWeight() float64 {
	if len(s.targets) == 0 {
		return s.costWeights.recompute
	}
	return s.costWeights.recompute + queueDelayWeight*float64(s.waiting)/float64(len(s.targets))
}

// estimate returns the expected cost of a request on an engine: the backlog, the
// prefill of its uncached tokens, and the delay that this prefill causes to
// others. An import from a source is assumed when it costs less.
func (s State) estimate(now time.Time, r *request, t *target, recompute float64, from source) estimate {
	cached := t.cache.Depth(r.job.Blocks)
	rate := t.load.TokenTime()
	backlog := t.load.Prefill(now)
	if t.queue.Len() > 0 {
		backlog += t.queue.Ahead(r.flow(), r.weight())
	}
	wait := float64(backlog) * rate
	prefill := float64(r.uncachedTokens(cached)) * rate
	e := estimate{
		target: t, cached: cached, cost: wait + prefill*(1+recompute),
		ttft: time.Duration((wait + prefill) * float64(time.Second)),
	}
	if from.target == t || from.depth <= cached {
		return e
	}
	e.cost += s.evictionCost(t, r, from.depth-cached)
	if from.depth < cached+minImportBlocks {
		return e
	}
	// The import overlaps with the wait in the queue.
	importTime := s.importTime(from.depth - cached)
	ready := max(wait, importTime)
	remaining := float64(r.uncachedTokens(from.depth)) * rate
	if cost := ready + remaining*(1+recompute) + importTime*importWeight + s.evictionCost(t, r, from.depth-cached); cost < e.cost {
		e.cost, e.from, e.importFirst = cost, from, true
		e.ttft = time.Duration((ready + remaining) * float64(time.Second))
	}
	return e
}

// evictionCost returns the cost, in seconds, of storing another copy of blocks in
// a full cache, where it evicts blocks that may be needed again.
func (s State) evictionCost(t *target, r *request, blocks int) float64 {
	if !t.cache.Full() {
		return 0
	}
	return evictionWeight * float64(blocks*r.job.BlockTokens) * t.load.TokenTime()
}

// owner returns the engine that owns a request's prefix by rendezvous hashing,
// among the owners of its workspace that are usable. It depends on no learned
// state, so that nodes which have just started agree.
func (s State) owner(now time.Time, r *request) *target {
	key := job.PlacementKey(r.job)
	var best *target
	score := 0.0
	for _, t := range s.owners.of(s, r) {
		if !t.usable(now) || !t.serves(r) || r.hasTried(t.Name) {
			continue
		}
		if at := place.Score(key, place.Target{Hash: t.hash, Weight: t.Capacity}); best == nil || at > score {
			best, score = t, at
		}
	}
	return best
}
