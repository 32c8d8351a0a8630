package cell

import (
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/queue"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// phase is the progress of a request.
type phase int

const (
	queued phase = iota
	prefilling
	decoding
)

// request is a queued or in-flight request.
type request struct {
	job     job.Job
	arrived time.Time
	attempt int
	phase   phase
	target  *target
	tried   []string
	outcome effect.Outcome
	// boundVersion is the weight version that must complete the answer; empty while
	// the caller has no chunk.
	boundVersion string
	// attemptVersion is the weight version of the current attempt.
	attemptVersion string
	// levels are the numbers of blocks at which prompts branch.
	levels []int
	// prefillTokens is the number of prompt tokens counted in the engine's load.
	prefillTokens int
	// backlogTokens is the engine's prefill backlog at dispatch, in tokens.
	backlogTokens int
	// cachedBlocks is the number of blocks estimated to be cached at dispatch,
	// corrected by the engine's answer headers.
	cachedBlocks int
	sentAt       time.Time
	queuedAt     time.Time
	held         bool
	// underShare is true when the workspace's flow was below its share at dispatch.
	underShare bool
	// importBlocks are the blocks being imported for the request; the import times
	// out at importUntil.
	importBlocks []uint64
	// pausedUntil delays the request after an import that could not start for
	// lack of a slot.
	pausedUntil time.Time
	// importTried is true once an import into the current engine was tried.
	importTried bool
	// item is the request's entry in the engine's queue.
	item        queue.Item
	importUntil time.Time
}

const (
	interactiveWeight = 1.0
	batchWeight       = 0.1
	batchClass        = "batch"
	batchPriority     = 10
	overSharePriority = 1
	// answerCostTokens is the cost of an answer, in prompt tokens, added to the
	// uncached prompt when workspaces share engines.
	answerCostTokens = 200
)

func (r *request) deadline() time.Time {
	if r.job.Deadline <= 0 {
		return r.arrived.Add(defaultDeadline)
	}
	return r.arrived.Add(r.job.Deadline)
}

func (r *request) flow() string { return r.job.Workspace + "/" + r.job.Class }

func (r *request) weight() float64 {
	share := r.job.Share
	if share <= 0 {
		share = 1
	}
	if r.job.Class == batchClass {
		return share * batchWeight
	}
	return share * interactiveWeight
}

// priority returns the priority in the engine's queue; lower runs first. It
// follows the class, and within a class workspaces below their share go first.
func (r *request) priority() int {
	priority := 0
	if r.job.Class == batchClass {
		priority = batchPriority
	}
	if !r.underShare {
		priority += overSharePriority
	}
	return priority
}

func (r *request) hasTried(name string) bool { return slices.Contains(r.tried, name) }

// uncachedTokens returns the number of prompt tokens to compute when the first
// blocks of the prompt are cached.
func (r *request) uncachedTokens(cachedBlocks int) int {
	return max(1, r.job.PromptTokens-cachedBlocks*r.job.BlockTokens)
}
