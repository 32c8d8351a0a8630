package cell

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Message is something that happened. It is one of [Targets], [Arrived],
// [Started], [First], [Ended], [Cancelled], [Reported], [Cached], [Snapshot],
// [Leaving], [Imported], [Heard] or [Tick].
type Message interface{ message() }

// Target is an engine that the cell may choose.
type Target struct {
	// Name is the engine's name.
	Name string
	// Incarnation identifies the engine's start; empty while unknown.
	Incarnation string
	// DataCentre is where it stands.
	DataCentre string
	// Model is the model that it serves.
	Model string
	// WeightVersion is the version of the weights that it serves; empty while
	// unknown.
	WeightVersion string
	// Applications are the applications that it may answer.
	Applications []string
	// Capacity is its speed relative to others.
	Capacity float64
	// CacheBlocks is the number of blocks that fit in its cache.
	CacheBlocks int
	// Leaving is true when it must get no new work.
	Leaving bool
}

// Targets replaces the list of engines. Engines that were known keep what is
// known of them.
type Targets struct {
	// All are the engines.
	All []Target
	// HasStore is true when the engines keep what they compute in a KV store.
	HasStore bool
	// Shares are the workspaces' parts of the engines when all are busy.
	Shares map[string]float64
	// TailTTFT and Recomputation are the site's weights; zeros count as equal.
	TailTTFT, Recomputation float64
}

// gone returns the engines that are no longer listed, in order of their names.
func (Targets) gone(known map[string]*target) []*target {
	left := slices.Collect(maps.Values(known))
	slices.SortFunc(left, func(a, b *target) int { return strings.Compare(a.Name, b.Name) })
	return left
}

// Arrived brings a request that wants an engine.
type Arrived struct {
	// Job is the request.
	Job job.Job
}

// Started tells that an engine took an attempt.
type Started struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt.
	Attempt int
	// Accepted is the engine's word.
	Accepted engine.Accepted
}

// First tells that the first token of an attempt came.
type First struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt.
	Attempt int
}

// Ended tells that an attempt is over.
type Ended struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt.
	Attempt int
	// Outcome is what became of it.
	Outcome effect.Outcome
	// Code is why it failed; empty when answered.
	Code engine.Code
	// RetryAfter is the engine's own wish; zero means none.
	RetryAfter time.Duration
	// Sent is the number of chunks that the caller already has.
	Sent int
	// Done is the engine's account of the answer, when answered.
	Done engine.Done
}

// Cancelled tells that the caller is gone.
type Cancelled struct {
	// Job identifies the request.
	Job string
}

// Reported brings an engine's lagging load report.
type Reported struct {
	// Target is the engine's name.
	Target string
	// Load is the report.
	Load engine.Load
}

// Cached brings cache events of an engine.
type Cached struct {
	// Target is the engine's name.
	Target string
	// Batch holds the events.
	Batch engine.Batch
}

// Snapshot brings the whole cache content of an engine.
type Snapshot struct {
	// Target is the engine's name.
	Target string
	// Snapshot is the content.
	Snapshot engine.Snapshot
}

// Leaving marks an engine as leaving, for as long as its incarnation lives.
type Leaving struct {
	// Target is the engine's name.
	Target string
}

// Imported tells that an [Import] is over.
type Imported struct {
	// Job identifies the request.
	Job string
	// Target is the engine that took the blocks.
	Target string
	// Incarnation is the engine start that took them.
	Incarnation string
	// WeightVersion is the version that they were computed with.
	WeightVersion string
	// Blocks is the number of blocks brought in; zero when it failed.
	Blocks int
	// Took is how long it lasted.
	Took time.Duration
}

// Heard tells what other nodes have in flight on an engine, where several nodes
// decide for the same engines.
type Heard struct {
	// Target is the engine's name.
	Target string
	// Prefill are the prompt tokens yet to be computed, Calls the calls.
	Prefill, Calls int
}

// Tick tells that time has passed.
type Tick struct{}

func (Targets) message()   {}
func (Arrived) message()   {}
func (Started) message()   {}
func (First) message()     {}
func (Ended) message()     {}
func (Cancelled) message() {}
func (Reported) message()  {}
func (Cached) message()    {}
func (Snapshot) message()  {}
func (Leaving) message()   {}
func (Imported) message()  {}
func (Heard) message()     {}
func (Tick) message()      {}
