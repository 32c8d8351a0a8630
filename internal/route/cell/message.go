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

// Message is an input of [State.Update]. It is one of [Targets], [Arrived],
// [Started], [FirstToken], [Ended], [Cancelled], [LoadReport], [CacheEvents],
// [Snapshot], [Leaving], [Imported], [PeerLoad] or [Tick].
type Message interface{ message() }

// Target describes an engine of the cell.
type Target struct {
	// Name is the engine's name.
	Name string
	// Incarnation identifies the engine process; empty while unknown.
	Incarnation string
	DataCentre  string
	Model       string
	// WeightVersion is the version of the weights that the engine serves; empty
	// while unknown.
	WeightVersion string
	// Applications are the applications that the engine serves.
	Applications []string
	// Capacity is the engine's speed relative to the others.
	Capacity float64
	// CacheBlocks is the number of blocks that fit in the engine's cache.
	CacheBlocks int
	// Leaving is true while the engine drains: it gets no new work.
	Leaving bool
}

// Targets replaces the list of engines. An engine that was listed before keeps
// its estimates and its queue.
type Targets struct {
	All []Target
	// HasStore is true when the engines write computed blocks to a KV store.
	HasStore bool
	// Shares are the workspaces' relative shares of the engines under contention.
	Shares map[string]float64
	// TailTTFT and Recomputation weigh tail time to first token against
	// recomputed tokens; both zero means equal weights.
	TailTTFT, Recomputation float64
}

// removed returns the engines that are no longer listed, sorted by name.
func (Targets) removed(known map[string]*target) []*target {
	targets := slices.Collect(maps.Values(known))
	slices.SortFunc(targets, func(a, b *target) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

// Arrived submits a request.
type Arrived struct {
	Job job.Job
}

// Started reports that an engine accepted an attempt.
type Started struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt.
	Attempt int
	// Accepted is what the engine's answer headers state: incarnation, weight
	// version and cached tokens.
	Accepted engine.Accepted
}

// FirstToken reports the first token of an attempt.
type FirstToken struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt.
	Attempt int
}

// Ended reports the end of an attempt.
type Ended struct {
	// Job identifies the request.
	Job string
	// Attempt is the number of the attempt.
	Attempt int
	// Outcome says whether the request was answered, did not run, or may have run.
	Outcome effect.Outcome
	// Code is the cause of a failure; empty when answered.
	Code engine.Code
	// RetryAfter is the delay that the engine asked for; zero means none.
	RetryAfter time.Duration
	// Sent is the number of chunks that the caller already has.
	Sent int
	// Done is the engine's summary of a complete answer.
	Done engine.Done
}

// Cancelled reports that the caller has disconnected.
type Cancelled struct {
	// Job identifies the request.
	Job string
}

// LoadReport carries an engine's load report, which lags behind by its age.
type LoadReport struct {
	// Target is the engine's name.
	Target string
	Load   engine.LoadReport
}

// CacheEvents carries cache events of an engine.
type CacheEvents struct {
	// Target is the engine's name.
	Target string
	// Batch holds the events.
	Batch engine.CacheEvents
}

// Snapshot carries the complete list of an engine's cached blocks.
type Snapshot struct {
	// Target is the engine's name.
	Target   string
	Snapshot engine.Snapshot
}

// Leaving marks an engine as draining until it is seen with a new incarnation.
type Leaving struct {
	// Target is the engine's name.
	Target string
}

// Imported reports the end of an [Import].
type Imported struct {
	// Job identifies the request.
	Job string
	// Target is the engine that received the blocks.
	Target string
	// Incarnation is the incarnation of that engine.
	Incarnation string
	// WeightVersion is the version of the weights that computed the blocks.
	WeightVersion string
	// Blocks is the number of blocks imported; zero means that the import failed.
	Blocks int
	// Took is the duration of the import.
	Took time.Duration
}

// PeerLoad carries the load that other nodes put on an engine, where several nodes
// schedule onto the same engines.
type PeerLoad struct {
	// Target is the engine's name.
	Target string
	// Prefill is the number of prompt tokens still to be computed, Calls the
	// number of calls in flight.
	Prefill, Calls int
}

// Tick runs what depends on time alone: deadlines, import timeouts, back-offs and
// moves between engines.
type Tick struct{}

func (Targets) message()     {}
func (Arrived) message()     {}
func (Started) message()     {}
func (FirstToken) message()  {}
func (Ended) message()       {}
func (Cancelled) message()   {}
func (LoadReport) message()  {}
func (CacheEvents) message() {}
func (Snapshot) message()    {}
func (Leaving) message()     {}
func (Imported) message()    {}
func (PeerLoad) message()    {}
func (Tick) message()        {}
