package cell

import (
	"math/rand/v2"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/know"
	"github.com/cicadamill/cicadamill/internal/route/load"
	"github.com/cicadamill/cicadamill/internal/route/place"
	"github.com/cicadamill/cicadamill/internal/route/queue"
)

// target is an engine with all that is known of it.
type target struct {
	Target
	hash     uint64
	index    int
	gone     bool
	cache    *know.Cache
	load     *load.Engine
	queue    queue.Queue
	queued   map[string]*run
	leads    map[uint64]string
	backOff  time.Time
	failures int
	imports  int
	fetched  time.Time
}

func newTarget(t Target) *target {
	if t.Capacity <= 0 {
		t.Capacity = 1
	}
	return &target{
		Target: t, hash: place.Hash(t.Name), cache: know.New(t.CacheBlocks), load: load.New(t.Capacity),
		queued: map[string]*run{}, leads: map[uint64]string{},
	}
}

// meet takes an incarnation that the engine was seen with, and reports whether
// it is not a past one. A new start clears the leaving mark.
func (t *target) meet(incarnation string) bool {
	before := t.cache.Incarnation()
	if !t.cache.Meet(incarnation) {
		return false
	}
	if before != "" && before != t.cache.Incarnation() {
		t.Leaving = false
		clear(t.leads)
	}
	if before != t.cache.Incarnation() {
		t.failures = 0
		t.backOff = time.Time{}
	}
	return true
}

const (
	firstBackOff = 200 * time.Millisecond
	maxBackOff   = 10 * time.Second
)

// failed keeps new work off an engine that gave no answer, longer each time.
func (t *target) failed(now time.Time, random *rand.Rand) {
	wait := min(maxBackOff, firstBackOff<<min(t.failures, 8))
	t.failures++
	t.backOff = now.Add(wait + time.Duration(random.Float64()*float64(wait)))
}

// names reports whether blocks that the engine computes for a request have the
// names that the request knows them by. Other weights make other names.
func (t *target) names(r *run) bool {
	return t.WeightVersion == "" || r.job.WeightVersion == "" || t.WeightVersion == r.job.WeightVersion
}

// weigh takes the version of the weights that the engine was seen with. What was
// computed with other weights is of no use any more.
func (t *target) weigh(version string) {
	if version == "" || version == t.WeightVersion {
		return
	}
	if t.WeightVersion != "" {
		t.cache.Clear()
		clear(t.leads)
	}
	t.WeightVersion = version
}

// usable reports whether a request may be dispatched to the engine now.
func (t *target) usable(now time.Time) bool {
	return !t.Leaving && !t.gone && !now.Before(t.backOff)
}

// serves reports whether the engine answers a request's application. While new
// weights are loaded one engine after the other, those with the version before
// go on serving; only an answer that has begun is bound to its weights.
func (t *target) serves(r *run) bool {
	if r.weights != "" && t.WeightVersion != "" && t.WeightVersion != r.weights {
		return false
	}
	for _, application := range t.Applications {
		if application == r.job.Application {
			return true
		}
	}
	return false
}
