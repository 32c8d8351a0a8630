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

// usable reports whether a request may be dispatched to the engine now.
func (t *target) usable(now time.Time) bool {
	return !t.Leaving && !t.gone && !now.Before(t.backOff)
}

// serves reports whether the engine answers a request's application with the
// right weights.
func (t *target) serves(r *run) bool {
	if t.WeightVersion != "" && r.job.WeightVersion != "" && t.WeightVersion != r.job.WeightVersion {
		return false
	}
	for _, application := range t.Applications {
		if application == r.job.Application {
			return true
		}
	}
	return false
}
