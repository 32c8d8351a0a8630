package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

// weights balance the aims of a site.
type weights struct {
	// recompute is what a second of prefill counts for beyond the delay of the
	// request itself.
	recompute float64
	// stray is what it counts to leave the computed owners of a prefix.
	stray time.Duration
}

const (
	baseRecompute = 0.5
	// queuedWeight is the part of an engine's waiting requests that a prefill delays.
	queuedWeight = 1.0
	// evictWeight is the part of the evicted blocks that are needed again.
	evictWeight = 0.25
	ownerStray  = 50 * time.Millisecond
)

// newWeights derives the balance from a configuration's weights; zeros count
// as equal.
func newWeights(tailTTFT, recomputation float64) weights {
	if tailTTFT <= 0 && recomputation <= 0 {
		tailTTFT, recomputation = 1, 1
	}
	return weights{
		recompute: baseRecompute + recomputation/max(tailTTFT, recomputation/4),
		stray:     ownerStray,
	}
}

// offer is what an engine would mean for a request.
type offer struct {
	target *target
	// cost is what the choice goes by, in seconds.
	cost float64
	// ttft is the expected time to first token.
	ttft time.Duration
	// cached are the blocks expected to be cached.
	cached int
	// imports is true when blocks should be imported from a source first.
	imports bool
	from    source
}

// choose returns the best engine for a request; the target is nil when there
// is none. It allocates nothing.
func (s State) choose(now time.Time, r *run) offer {
	owner := s.owner(now, r)
	recompute, from := s.recompute(), s.source(now, r)
	best := offer{}
	for _, t := range s.targets {
		if !t.usable(now) || !t.serves(r) || r.hasTried(t.Name) {
			continue
		}
		o := s.offer(now, r, t, recompute, from)
		if t != owner {
			o.cost += s.weights.stray.Seconds()
		}
		if best.target == nil || o.cost < best.cost {
			best = o
		}
	}
	return best
}

// recompute returns what a second of prefill counts for beyond the delay of the
// request itself. It grows with the queues: each request that waits is delayed
// by it too.
func (s State) recompute() float64 {
	if len(s.targets) == 0 {
		return s.weights.recompute
	}
	return s.weights.recompute + queuedWeight*float64(s.waiting)/float64(len(s.targets))
}

// offer estimates the time to first token of a request on an engine: the work
// before it, its own uncached prompt, and what computing it costs the others.
func (s State) offer(now time.Time, r *run, t *target, recompute float64, from source) offer {
	cached := t.cache.Depth(r.job.Blocks)
	rate := t.load.Rate()
	ahead := t.load.Prefill(now)
	if t.queue.Len() > 0 {
		ahead += t.queue.Ahead(r.flow(), r.weight())
	}
	wait := float64(ahead) * rate
	own := float64(r.uncached(cached)) * rate
	o := offer{
		target: t, cached: cached, cost: wait + own*(1+recompute),
		ttft: time.Duration((wait + own) * float64(time.Second)),
	}
	if from.target == t || from.depth <= cached {
		return o
	}
	o.cost += s.crowding(t, r, from.depth-cached)
	if from.depth < cached+minImport {
		return o
	}
	// An import runs while the request waits for its turn.
	brought := s.importTime(from.depth - cached)
	ready := max(wait, brought)
	rest := float64(r.uncached(from.depth)) * rate
	if cost := ready + rest*(1+recompute) + brought*importWeight + s.crowding(t, r, from.depth-cached); cost < o.cost {
		o.cost, o.from, o.imports = cost, from, true
		o.ttft = time.Duration((ready + rest) * float64(time.Second))
	}
	return o
}

// crowding is what a second copy of blocks counts for: it evicts others from a
// full cache.
func (s State) crowding(t *target, r *run, blocks int) float64 {
	if !t.cache.Full() {
		return 0
	}
	return evictWeight * float64(blocks*r.job.BlockTokens) * t.load.Rate()
}

// owner returns the computed owner of a request's prefix among the engines of
// its workspace. It needs no memory: routers that have just started agree.
func (s State) owner(now time.Time, r *run) *target {
	key := job.Key(r.job)
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
