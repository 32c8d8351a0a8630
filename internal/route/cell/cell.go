// Package cell schedules requests onto the engines of one cell. The home node of
// the cell runs it. It tracks the requests that this node has in flight on each
// engine, estimates which prompt blocks each engine has cached, and takes the
// engines' load reports into account.
//
// A request goes to the engine with the lowest cost: its expected time to first
// token plus a weight on prompt tokens that would be recomputed. Requests wait
// here, in a fair queue for each engine, and are dispatched only while the
// engine's prefill backlog is short. The owners of a prefix are computed by
// rendezvous hashing and need no state; the estimates refine that choice and may
// be lost at any time.
//
// The package does no I/O and reads no clock: the node passes messages to
// [State.Update] and runs the commands that it returns.
package cell

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/budget"
	"github.com/cicadamill/cicadamill/internal/route/hotkey"
	"github.com/cicadamill/cicadamill/internal/route/level"
)

const (
	maxAttempts = 4
	// maxRunning bounds the requests that the cell has queued or in flight.
	maxRunning = 16384
	// levelBlocks and hotPrefixes bound the tables of observed blocks and of
	// prefix load.
	levelBlocks = 65536
	hotPrefixes = 8192
	// defaultDeadline is the time to first token allowed to a request without a
	// deadline.
	defaultDeadline = 30 * time.Second
)

// State is the scheduling state of a cell.
type State struct {
	targets     []*target
	running     map[string]*request
	waiting     int
	rng         *rand.Rand
	finder      *level.Finder
	meter       *hotkey.Meter
	budget      *budget.Budget
	costWeights costWeights
	owners      owners
	kvStore     *kvStore
	replication *replication
	count       Counts
}

// Counts are the cell's counters since its start.
type Counts struct {
	// Arrived, Refused and Retried count requests and their retries.
	Arrived, Refused, Retried uint64
	// Expected counts the prompt tokens estimated to be cached at dispatch, Found
	// those that the engines reported as cached.
	Expected, Found uint64
	// Prompt counts the prompt tokens sent to engines.
	Prompt uint64
	// Held counts requests held back until another request has computed a shared
	// prefix.
	Held uint64
	// Moved counts queued requests that were moved to another engine.
	Moved uint64
	// Imports counts imports of cached blocks that a request waited for.
	Imports uint64
	// Replicated counts hot prefixes copied to a further engine.
	Replicated uint64
	// Gaps counts gaps in the sequence numbers of cache events.
	Gaps uint64
}

// Option configures a new [State].
type Option func(*State)

// WithSeed seeds the random jitter of back-off and retry times.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a state without engines; a [Targets] message adds them.
//
//	state := cell.New(cell.WithSeed(7))
//	state, commands := state.Update(now, cell.Arrived{Job: request})
func New(options ...Option) State {
	s := State{
		running: map[string]*request{}, finder: level.New(levelBlocks), meter: hotkey.New(hotPrefixes),
		budget: budget.New(), kvStore: newKVStore(), replication: &replication{}, costWeights: newCostWeights(0, 0),
	}
	WithSeed(0)(&s)
	for _, option := range options {
		option(&s)
	}
	return s
}

// Update applies one message and returns the new state and the commands to run.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	var commands []Command
	switch m := message.(type) {
	case Targets:
		commands = s.replace(now, m)
	case Arrived:
		commands = s.arrive(now, m.Job)
	case Started:
		s.started(now, m)
	case FirstToken:
		commands = s.firstToken(now, m)
	case Ended:
		commands = s.ended(now, m)
	case Cancelled:
		commands = s.cancel(now, m.Job)
	case Leaving:
		commands = s.markLeaving(now, m.Target)
	case LoadReport:
		commands = s.report(now, m)
	case CacheEvents:
		commands = s.cacheEvents(now, m)
	case Snapshot:
		s.snapshot(now, m)
	case PeerLoad:
		if t := s.find(m.Target); t != nil {
			t.load.SetPeerLoad(now, m.Prefill, m.Calls)
		}
	case Imported:
		commands = s.imported(now, m)
	case Tick:
		commands = s.tick(now)
	}
	return s, commands
}

// Running returns the sorted IDs of all queued and in-flight requests.
func (s State) Running() []string {
	return slices.Sorted(maps.Keys(s.running))
}

// Waiting returns the number of queued requests.
func (s State) Waiting() int { return s.waiting }

// EngineLoad is the work of this node on one engine.
type EngineLoad struct {
	// Target is the engine's name.
	Target string
	// Prefill is the number of prompt tokens still to be computed, Calls the
	// number of calls in flight, and Waiting the number of queued requests.
	Prefill, Calls, Waiting int
	// CachedBlocks is the number of blocks estimated to be cached.
	CachedBlocks int
}

// EngineLoads returns the work of this node on each engine, in the order in which
// [Targets] listed them.
func (s State) EngineLoads() []EngineLoad {
	flights := make([]EngineLoad, len(s.targets))
	for i, t := range s.targets {
		flights[i] = EngineLoad{Target: t.Name, Prefill: t.load.OwnPrefill(), Calls: t.load.OwnCalls(), Waiting: t.queue.Len(), CachedBlocks: t.cache.Len()}
	}
	return flights
}

// Counts returns the cell's counters.
func (s State) Counts() Counts { return s.count }
