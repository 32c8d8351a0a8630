// Package cell decides which engine answers a request. It is the slice that the
// home node of a group of engines runs: it knows what it has in flight on each
// engine, what each is likely to have cached, and what the engines report.
//
// A request goes to the engine that is expected to give the first token soonest,
// weighed against the prompt tokens that would be computed again. The engine's
// queue is held here, fairly between workspaces, and an engine gets only as much
// work as keeps it busy. What is computed (the owners of a prefix) works with no
// memory; what is observed refines it and may be lost at any time.
//
// The slice does no I/O and reads no clock; the shell brings messages and runs
// the commands that come back.
package cell

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/budget"
	"github.com/cicadamill/cicadamill/internal/route/heat"
	"github.com/cicadamill/cicadamill/internal/route/level"
)

const (
	maxAttempts = 4
	// maxRunning bounds the requests that the cell knows at one time.
	maxRunning = 16384
	// levelBlocks and hotPrefixes bound what is learned from the traffic.
	levelBlocks = 65536
	hotPrefixes = 8192
	// defaultPatience is the time to first token that a caller without a
	// deadline is assumed to wait.
	defaultPatience = 30 * time.Second
)

// State is everything that the slice remembers.
type State struct {
	targets   []*target
	running   map[string]*run
	waiting   int
	random    *rand.Rand
	finder    *level.Finder
	meter     *heat.Meter
	budget    *budget.Budget
	weights   weights
	owners    owners
	store     *store
	spreading *spreading
	count     Counts
}

// Counts are the slice's counters since its start.
type Counts struct {
	// Arrived, Refused and Retried count requests and their retries.
	Arrived, Refused, Retried uint64
	// Expected and Found are prompt tokens thought to be cached at dispatch,
	// and those that the engines then found.
	Expected, Found uint64
	// Prompt are all prompt tokens that were sent to engines.
	Prompt uint64
	// Held counts dispatches put off until another request has computed a
	// shared prefix.
	Held uint64
	// Moved counts waiting requests that went to another engine.
	Moved uint64
	// Imports counts imports of cached work.
	Imports uint64
	// Spread counts copies of hot prefixes.
	Spread uint64
	// Gaps counts gaps in the engines' cache events.
	Gaps uint64
}

// Option changes how a state starts.
type Option func(*State)

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a state that knows no engine yet.
//
//	state := cell.New(cell.WithSeed(7))
//	state, commands := state.Update(now, cell.Arrived{Job: request})
func New(options ...Option) State {
	s := State{
		running: map[string]*run{}, finder: level.New(levelBlocks), meter: heat.New(hotPrefixes),
		budget: budget.New(), store: newStore(), spreading: &spreading{}, weights: newWeights(0, 0),
	}
	WithSeed(0)(&s)
	for _, option := range options {
		option(&s)
	}
	return s
}

// Update takes one message and returns the new state and what must be done.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	var commands []Command
	switch m := message.(type) {
	case Targets:
		commands = s.replace(now, m)
	case Arrived:
		commands = s.arrive(now, m.Job)
	case Started:
		s.started(now, m)
	case First:
		commands = s.first(now, m)
	case Ended:
		commands = s.ended(now, m)
	case Cancelled:
		commands = s.cancel(now, m.Job)
	case Leaving:
		commands = s.leave(now, m.Target)
	case Reported:
		commands = s.report(now, m)
	case Cached:
		commands = s.cached(now, m)
	case Snapshot:
		s.snapshot(now, m)
	case Heard:
		if t := s.find(m.Target); t != nil {
			t.load.Hear(now, m.Prefill, m.Calls)
		}
	case Imported:
		commands = s.imported(now, m)
	case Tick:
		commands = s.tick(now)
	}
	return s, commands
}

// Running returns the IDs of the requests that are not over, in order.
func (s State) Running() []string {
	return slices.Sorted(maps.Keys(s.running))
}

// Waiting returns the number of requests that no engine has yet.
func (s State) Waiting() int { return s.waiting }

// Flight is what this node has in flight on an engine.
type Flight struct {
	// Target is the engine's name.
	Target string
	// Prefill are the prompt tokens yet to be computed, Calls the calls, and
	// Waiting the requests that wait here for the engine.
	Prefill, Calls, Waiting int
	// Known is the number of blocks believed to be cached.
	Known int
}

// Flights returns what this node has in flight, by engine in the order listed.
func (s State) Flights() []Flight {
	flights := make([]Flight, len(s.targets))
	for i, t := range s.targets {
		flights[i] = Flight{Target: t.Name, Prefill: t.load.OwnPrefill(), Calls: t.load.Own(), Waiting: t.queue.Len(), Known: t.cache.Len()}
	}
	return flights
}

// Counts returns the slice's counters.
func (s State) Counts() Counts { return s.count }
