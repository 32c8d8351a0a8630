package cell

import (
	"math/rand/v2"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/load"
	"github.com/cicadamill/cicadamill/internal/route/mirror"
	"github.com/cicadamill/cicadamill/internal/route/place"
	"github.com/cicadamill/cicadamill/internal/route/queue"
)

// target is an engine with its queue and the estimates of its load and cache.
type target struct {
	Target
	hash    uint64
	index   int
	removed bool
	cache   *mirror.Cache
	load    *load.Engine
	queue   queue.Queue
	queued  map[string]*request
	// pending maps each block that is being computed or imported to the ID of the
	// request that does it.
	pending      map[uint64]string
	backOffUntil time.Time
	failures     int
	imports      int
	fetchedAt    time.Time
}

func newTarget(t Target) *target {
	if t.Capacity <= 0 {
		t.Capacity = 1
	}
	return &target{
		Target: t, hash: place.Hash(t.Name), cache: mirror.New(t.CacheBlocks), load: load.New(t.Capacity),
		queued: map[string]*request{}, pending: map[uint64]string{},
	}
}

// setIncarnation records the incarnation that a message of the engine carries. It
// reports false for a past one, whose messages are to be ignored. A new one
// clears the leaving mark.
func (t *target) setIncarnation(incarnation string) bool {
	before := t.cache.Incarnation()
	if !t.cache.SetIncarnation(incarnation) {
		return false
	}
	if before != "" && before != t.cache.Incarnation() {
		t.Leaving = false
		clear(t.pending)
	}
	if before != t.cache.Incarnation() {
		t.failures = 0
		t.backOffUntil = time.Time{}
	}
	return true
}

const (
	firstBackOff = 200 * time.Millisecond
	maxBackOff   = 10 * time.Second
)

// backOffAfterFailure keeps work off a failed engine for a jittered time that
// doubles with each failure in a row.
func (t *target) backOffAfterFailure(now time.Time, random *rand.Rand) {
	wait := min(maxBackOff, firstBackOff<<min(t.failures, 8))
	t.failures++
	t.backOffUntil = now.Add(wait + time.Duration(random.Float64()*float64(wait)))
}

// sameWeights reports whether the engine serves the weight version that the
// request's block hashes were computed for. Under another version the engine
// caches the same prompt under other hashes.
func (t *target) sameWeights(r *request) bool {
	return t.WeightVersion == "" || r.job.WeightVersion == "" || t.WeightVersion == r.job.WeightVersion
}

// setWeights records the weight version that the engine reported. Blocks computed
// with another version are no longer usable and are dropped.
func (t *target) setWeights(version string) {
	if version == "" || version == t.WeightVersion {
		return
	}
	if t.WeightVersion != "" {
		t.cache.Clear()
		clear(t.pending)
	}
	t.WeightVersion = version
}

// usable reports whether a request may be dispatched to the engine now.
func (t *target) usable(now time.Time) bool {
	return !t.Leaving && !t.removed && !now.Before(t.backOffUntil)
}

// serves reports whether the engine can answer a request. Engines on any weight
// version serve new requests, so that service goes on during a rolling load of
// new weights; a partly sent answer needs the version that began it.
func (t *target) serves(r *request) bool {
	if r.boundVersion != "" && t.WeightVersion != "" && t.WeightVersion != r.boundVersion {
		return false
	}
	for _, application := range t.Applications {
		if application == r.job.Application {
			return true
		}
	}
	return false
}
