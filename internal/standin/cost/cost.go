// Package cost is the cost model of a model engine in virtual time: continuous
// batching with chunked prefill, a bounded LRU cache of prompt blocks,
// priorities and busy answers. It takes messages with their time and answers
// with replies, so that decisions can be measured without waiting.
package cost

import (
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Options describe the engine.
type Options struct {
	// Name is the engine's name.
	Name string
	// BlockTokens is the length of a cached block in tokens.
	BlockTokens int
	// CacheBlocks is the number of blocks that fit in the cache.
	CacheBlocks int
	// PrefillPerToken is the time to compute one uncached prompt token.
	PrefillPerToken time.Duration
	// StepBase is the fixed time of one step of the batch.
	StepBase time.Duration
	// StepPerCall is what each decoding call adds to a step.
	StepPerCall time.Duration
	// ChunkTokens is the largest number of prompt tokens computed in a step.
	ChunkTokens int
	// MaxRunning is the size of the batch.
	MaxRunning int
	// MaxWaiting is the length of the queue; beyond it the engine is busy.
	MaxWaiting int
}

// Engine is the state of one engine. Its zero value is not usable; see [New].
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
	arrival  uint64
	cached   int
	computed int
	chunk    int
	out      int
}

// New returns an engine that has just started, with an empty cache.
//
//	e := cost.New(options)
//	replies := e.Update(now, cost.Submit{ID: "a.1", PromptTokens: 400, Output: 20})
func New(options Options) *Engine {
	e := &Engine{options: options}
	e.start()
	return e
}

// Incarnation returns the name of the engine's present start.
func (e *Engine) Incarnation() string { return e.incarnation }

// Load returns the engine's report as it would be without lag.
func (e *Engine) Load() engine.Load {
	load := engine.Load{
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

// Snapshot returns the content of the cache.
func (e *Engine) Snapshot() engine.Snapshot {
	return engine.Snapshot{Incarnation: e.incarnation, Seq: e.seq, Blocks: e.cache.Keys()}
}

// Has reports whether a block is in the cache.
func (e *Engine) Has(block uint64) bool { return !e.down && e.cache.Contains(block) }

// Update takes one message and returns what it brings about, in order.
func (e *Engine) Update(now time.Time, message Message) []Reply {
	e.replies = nil
	switch m := message.(type) {
	case Submit:
		e.submit(m)
	case Cancel:
		e.cancel(m.ID)
	case Step:
		if m.Number == e.step && e.stepping {
			e.finishStep()
		}
	case Bring:
		e.bring(m)
	case Crash:
		e.crash()
	case Return:
		e.start()
	case Leave:
		e.leaving = true
	}
	e.beginStep(now)
	return e.replies
}

func (e *Engine) start() {
	e.starts++
	e.incarnation = e.options.Name + "-" + strconv.Itoa(e.starts)
	e.down, e.leaving, e.stepping = false, false, false
	e.seq = 0
	e.cache, _ = simplelru.NewLRU(max(1, e.options.CacheBlocks), func(block uint64, _ struct{}) { e.record(block, true) })
}

func (e *Engine) crash() {
	for _, c := range slices.Concat(e.running, e.waiting) {
		e.reply(Lost{ID: c.ID})
	}
	e.running, e.waiting = nil, nil
	e.down, e.stepping = true, false
}

func (e *Engine) submit(m Submit) {
	switch {
	case e.down:
		e.reply(Refused{ID: m.ID, Code: engine.Unreachable})
	case e.leaving:
		e.reply(Refused{ID: m.ID, Code: engine.Leaving})
	case m.Incarnation != "" && m.Incarnation != e.incarnation:
		e.reply(Refused{ID: m.ID, Code: engine.Stale})
	case len(e.waiting)+len(e.running) >= e.options.MaxWaiting+e.options.MaxRunning:
		e.reply(Refused{ID: m.ID, Code: engine.Busy})
	default:
		e.arrivals++
		e.waiting = append(e.waiting, &call{Submit: m, arrival: e.arrivals})
		e.reply(Took{ID: m.ID, Incarnation: e.incarnation, Cached: e.lookup(m.Blocks)})
	}
}

func (e *Engine) cancel(id string) {
	same := func(c *call) bool { return c.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

func (e *Engine) bring(m Bring) {
	if e.down || m.Incarnation != e.incarnation {
		return
	}
	e.insert(m.Blocks)
}

// lookup returns the number of prompt tokens found in the cache, from the start.
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

// insert adds or renews blocks, the first block last, so that eviction takes
// the end of a prompt before its start.
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
	e.reply(Cached{Incarnation: e.incarnation, Event: engine.CacheEvent{Seq: e.seq, Block: block, Removed: removed}})
}

func (e *Engine) reply(r Reply) { e.replies = append(e.replies, r) }
