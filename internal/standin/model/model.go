// Package model is a stand-in for a model engine. It serves the engine's HTTP
// interface and streams generated words at the speed of package cost's
// simulation, with continuous batching, priorities and a prefix cache. Faults can
// be injected.
package model

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	defaultChunkTokens = 256
	maxEvents          = 4096
)

// Options configure the simulated engine.
type Options struct {
	Name string
	// BootID is a part of the incarnation that distinguishes processes.
	BootID string
	Model  string
	// WeightVersion is the version of the weights after each start.
	WeightVersion string
	// BlockTokens is the length of a cache block in tokens.
	BlockTokens int
	// CacheBlocks is the capacity of the cache in blocks.
	CacheBlocks int
	// PrefillPerToken is the time to prefill one prompt token that is not cached.
	PrefillPerToken time.Duration
	// DecodePerToken is the time between the output tokens of a single call.
	DecodePerToken time.Duration
	// DecodePerCall is the time that each decoding call adds to DecodePerToken.
	DecodePerCall time.Duration
	// ChunkTokens is the maximum number of prompt tokens prefilled in a batch
	// step; zero means the default.
	ChunkTokens int
	// OutputTokens is the length of a response, unless the caller sets a lower
	// limit.
	OutputTokens int
	// MaxRunning is the maximum number of calls in the batch.
	MaxRunning int
	// MaxWaiting is the maximum number of queued calls; more are refused as busy.
	MaxWaiting int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// DropEvery drops each cache event whose number is a multiple of it; zero
	// drops none.
	DropEvery uint64
	// ImportPerBlock is the time to import one block.
	ImportPerBlock time.Duration
	// WeightLoadTime is the time to load weights.
	WeightLoadTime time.Duration
	// IgnoresFence makes the engine obey orders with an old fencing token.
	IgnoresFence bool
	// Poison is a text that crashes the engine if a prompt contains it; empty for
	// none.
	Poison string
	// OnCrash is called when the engine crashes; nil restarts it in this process.
	OnCrash func()
	// OnAccept is called with each call that the engine accepts, before it sends a
	// response.
	OnAccept func(attempt string)
}

// Engine is a simulated engine. Its zero value is not usable; see [New].
type Engine struct {
	options Options
	http    http.Client

	mu              sync.Mutex
	starts          int
	incarnation     string
	weights         string
	adapters        map[string]string
	role            string
	leaving         bool
	loading         bool
	fence           uint64
	batch           *cost.Engine
	timer           *time.Timer
	running         map[string]*call
	stalledUntil    time.Time
	slowUntil       time.Time
	slowFactor      float64
	loseEventsUntil time.Time
	events          []timedEvent
	loads           []timedLoad
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

type timedLoad struct {
	engine.LoadReport
	at time.Time
}

// New returns a started engine with an empty cache.
//
//	standin := model.New(model.Options{Name: "engine-1", Model: "quay-7b", BlockTokens: 2000, CacheBlocks: 64, MaxRunning: 32})
//	go http.ListenAndServe("127.0.0.1:9001", standin.Handler())
func New(options Options) *Engine {
	if options.ChunkTokens == 0 {
		options.ChunkTokens = defaultChunkTokens
	}
	e := &Engine{options: options}
	e.Restart()
	return e
}

// Restart aborts all calls and starts a new incarnation with an empty cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.running {
		c.abort()
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	e.starts++
	e.incarnation = fmt.Sprintf("%s-%d", e.options.Name+e.options.BootID, e.starts)
	e.weights = e.options.WeightVersion
	e.adapters = map[string]string{}
	e.role, e.leaving, e.loading = "serve", false, false
	e.running = map[string]*call{}
	e.events, e.loads = nil, nil
	e.stalledUntil, e.slowUntil = time.Time{}, time.Time{}
	e.batch = cost.New(cost.Options{
		Name: e.options.Name, BlockTokens: e.options.BlockTokens, CacheBlocks: e.options.CacheBlocks,
		PrefillPerToken: e.options.PrefillPerToken, StepBase: e.options.DecodePerToken,
		StepPerCall: e.options.DecodePerCall, ChunkTokens: e.options.ChunkTokens,
		MaxRunning: e.options.MaxRunning, MaxWaiting: e.options.MaxWaiting,
	})
}

// SetLeaving starts or ends draining, in which the engine refuses new calls.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveEvents)
	mux.HandleFunc("GET /cache/snapshot", e.serveSnapshot)
	mux.HandleFunc("POST /cache/import", e.serveImport)
	mux.HandleFunc("POST /cache/export", e.serveExport)
	mux.HandleFunc("POST /orders/{kind}", e.serveOrder)
	mux.HandleFunc("POST /standin/faults", e.serveFault)
	return mux
}
