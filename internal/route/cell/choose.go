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
	ownerStray    = 50 * time.Millisecond
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
}

// choose returns the best engine for a request; the target is nil when there
// is none. It allocates nothing.
func (s State) choose(now time.Time, r *run) offer {
	owner := s.owner(now, r)
	best := offer{}
	for _, t := range s.targets {
		if !t.usable(now) || !t.serves(r) || r.hasTried(t.Name) {
			continue
		}
		o := s.offer(now, r, t)
		if t != owner {
			o.cost += s.weights.stray.Seconds()
		}
		if best.target == nil || o.cost < best.cost {
			best = o
		}
	}
	return best
}

// offer estimates the time to first token of a request on an engine: the work
// before it, its own uncached prompt, and what computing it costs the others.
func (s State) offer(now time.Time, r *run, t *target) offer {
	cached := t.cache.Depth(r.job.Blocks)
	rate := t.load.Rate()
	ahead := t.load.Prefill(now)
	if t.queue.Len() > 0 {
		ahead += t.queue.Ahead(r.flow(), r.weight())
	}
	wait := float64(ahead) * rate
	own := float64(r.uncached(cached)) * rate
	return offer{
		target: t, cached: cached, cost: wait + own*(1+s.weights.recompute),
		ttft: time.Duration((wait + own) * float64(time.Second)),
	}
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
