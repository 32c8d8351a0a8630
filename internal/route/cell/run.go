package cell

import (
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/queue"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// phase is how far a request has come.
type phase int

const (
	waits phase = iota
	prefills
	decodes
)

// run is one request that is not over.
type run struct {
	job     job.Job
	arrived time.Time
	attempt int
	phase   phase
	target  *target
	tried   []string
	outcome effect.Outcome
	// weights is the version that an answer that has begun is bound to; empty
	// before.
	weights string
	// answering is the version that the present attempt answers with.
	answering string
	// levels are the depths at which the prompt's levels end.
	levels []int
	// prefill are the prompt tokens counted at the engine.
	prefill int
	// ahead are the prompt tokens that the engine had to compute before.
	ahead int
	// cached are the blocks thought to be cached at dispatch.
	cached int
	sent   time.Time
	placed time.Time
	held   bool
	// behind is true when the workspace has had less than its share.
	behind bool
	// importing are the blocks on their way to the engine, until importUntil.
	importing []uint64
	// pausedUntil is when the request may try again to import blocks.
	pausedUntil time.Time
	// brought is true once an import was tried for the present engine.
	brought bool
	// item is the request's place in the engine's queue.
	item        queue.Item
	importUntil time.Time
}

const (
	interactiveWeight = 1.0
	batchWeight       = 0.1
	batchClass        = "batch"
	batchPriority     = 10
	overPriority      = 1
	// answerTokens is what an answer costs beside its prompt when workspaces
	// share engines.
	answerTokens = 200
)

func (r *run) deadline() time.Time {
	if r.job.Deadline <= 0 {
		return r.arrived.Add(defaultPatience)
	}
	return r.arrived.Add(r.job.Deadline)
}

func (r *run) flow() string { return r.job.Workspace + "/" + r.job.Class }

func (r *run) weight() float64 {
	share := r.job.Share
	if share <= 0 {
		share = 1
	}
	if r.job.Class == batchClass {
		return share * batchWeight
	}
	return share * interactiveWeight
}

// priority follows from the class; a workspace that has had more than its share
// comes after the others of its class.
func (r *run) priority() int {
	priority := 0
	if r.job.Class == batchClass {
		priority = batchPriority
	}
	if !r.behind {
		priority += overPriority
	}
	return priority
}

func (r *run) hasTried(name string) bool { return slices.Contains(r.tried, name) }

// uncached returns the prompt tokens to compute when so many blocks are cached.
func (r *run) uncached(blocks int) int {
	return max(1, r.job.PromptTokens-blocks*r.job.BlockTokens)
}
