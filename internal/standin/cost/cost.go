// Package cost simulates the timing and the prefix cache of a model engine:
// continuous batching with chunked prefill, an LRU cache of prompt blocks, a
// priority queue, and refusals when the queue is full. It has no clock of its
// own: it takes messages with the time at which they happen and returns replies,
// so that a simulation can run in virtual time.
package cost

import (
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Options configure a simulated engine.
type Options struct {
	Name string
	// BlockTokens is the length of a cache block in tokens.
	BlockTokens int
	// CacheBlocks is the capacity of the cache in blocks.
	CacheBlocks int
	// PrefillPerToken is the time to prefill one prompt token that is not cached.
	PrefillPerToken time.Duration
	// StepBase is the fixed part of the time of a batch step.
	StepBase time.Duration
	// StepPerCall is the time that each decoding call adds to a batch step.
	StepPerCall time.Duration
	// ChunkTokens is the maximum number of prompt tokens prefilled in a step.
	ChunkTokens int
	// MaxRunning is the maximum number of calls in the batch.
	MaxRunning int
	// MaxWaiting is the maximum number of queued calls; more are refused as busy.
	MaxWaiting int
}

// Engine is a simulated engine. Its zero value is not usable; see [New].
type Engine struct {
	options     Options
	starts      int
	incarnation string
	down        bool
	leaving     bool
	cache       *simplelru.LRU[uint64, struct{}]
	waiting     []*call
	running     []*call
	stepping    bool
	step        uint64
	arrivals    uint64
	seq         uint64
	replies     []Reply
}

type call struct {
	Submit
	arrival   uint64
	cached    int
	computed  int
	chunk     int
	generated int
}

// New returns a started engine with an empty cache.
//
//	e := cost.New(options)
//	replies := e.Update(now, cost.Submit{ID: "a.1", PromptTokens: 400, Output: 20})
func New(options Options) *Engine {
	e := &Engine{options: options}
	e.restart()
	return e
}

// Incarnation identifies the engine's current start.
func (e *Engine) Incarnation() string { return e.incarnation }

// Load returns the engine's current load report.
func (e *Engine) Load() engine.LoadReport {
	load := engine.LoadReport{
		Engine: e.options.Name, Incarnation: e.incarnation,
		Running: len(e.running), Waiting: len(e.waiting), Leaving: e.leaving,
	}
	for _, c := range e.waiting {
		load.PrefillTokens += c.PromptTokens - e.lookup(c.Blocks)
	}
	for _, c := range e.running {
		load.PrefillTokens += max(0, c.PromptTokens-c.cached-c.computed)
	}
	return load
}

// Snapshot returns the current content of the cache.
func (e *Engine) Snapshot() engine.Snapshot {
	return engine.Snapshot{Incarnation: e.incarnation, Seq: e.seq, Blocks: e.cache.Keys()}
}

// Has reports whether a block is in the cache.
func (e *Engine) Has(block uint64) bool { return !e.down && e.cache.Contains(block) }

// Update applies a message that happens at the given time and returns the
// resulting replies in order.
func (e *Engine) Update(now time.Time, message Message) []Reply {
	e.replies = nil
	switch m := message.(type) {
	case Submit:
		e.submit(m)
	case Cancel:
		e.cancel(m.ID)
	case FinishStep:
		if m.Number == e.step && e.stepping {
			e.finishStep()
		}
	case Import:
		e.importBlocks(m)
	case Crash:
		e.crash()
	case Restart:
		e.restart()
	case Drain:
		e.leaving = true
	}
	e.beginStep(now)
	return e.replies
}

func (e *Engine) restart() {
	e.starts++
	e.incarnation = e.options.Name + "-" + strconv.Itoa(e.starts)
	e.down, e.leaving, e.stepping = false, false, false
	e.seq = 0
	e.cache, _ = simplelru.NewLRU(max(1, e.options.CacheBlocks), func(block uint64, _ struct{}) { e.record(block, true) })
}

func (e *Engine) crash() {
	for _, c := range slices.Concat(e.running, e.waiting) {
		e.emit(Aborted{ID: c.ID})
	}
	e.running, e.waiting = nil, nil
	e.down, e.stepping = true, false
}

func (e *Engine) submit(m Submit) {
	switch {
	case e.down:
		e.emit(Refused{ID: m.ID, Code: engine.Unreachable})
	case e.leaving:
		e.emit(Refused{ID: m.ID, Code: engine.Leaving})
	case m.Incarnation != "" && m.Incarnation != e.incarnation:
		e.emit(Refused{ID: m.ID, Code: engine.Stale})
	case len(e.waiting)+len(e.running) >= e.options.MaxWaiting+e.options.MaxRunning:
		e.emit(Refused{ID: m.ID, Code: engine.Busy})
	default:
		e.arrivals++
		e.waiting = append(e.waiting, &call{Submit: m, arrival: e.arrivals})
		e.emit(Accepted{ID: m.ID, Incarnation: e.incarnation, Cached: e.lookup(m.Blocks)})
	}
}

func (e *Engine) cancel(id string) {
	same := func(c *call) bool { return c.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

func (e *Engine) importBlocks(m Import) {
	if e.down || m.Incarnation != e.incarnation {
		return
	}
	e.insert(m.Blocks)
}

// lookup returns the number of tokens in the longest cached prefix.
func (e *Engine) lookup(blocks []uint64) int {
	found := 0
	for _, block := range blocks {
		if !e.cache.Contains(block) {
			break
		}
		found++
	}
	return found * e.options.BlockTokens
}

// insert adds blocks or marks them as recently used, in reverse order, so that
// the LRU cache evicts the end of a prompt before its start.
func (e *Engine) insert(blocks []uint64) {
	for _, block := range slices.Backward(blocks) {
		if !e.cache.Contains(block) {
			e.record(block, false)
		}
		e.cache.Add(block, struct{}{})
	}
}

func (e *Engine) record(block uint64, removed bool) {
	e.seq++
	e.emit(CacheChanged{Incarnation: e.incarnation, Event: engine.CacheEvent{Seq: e.seq, Block: block, Removed: removed}})
}

func (e *Engine) emit(r Reply) { e.replies = append(e.replies, r) }
