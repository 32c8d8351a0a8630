// Package model is a stand-in for a model engine: it streams made-up text at
// the pace of a real one, with a continuous batch, priorities and a bounded
// cache of prompt blocks, and it fails on demand.
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
	keptEvents         = 4096
)

// Options describe the engine that the stand-in plays.
type Options struct {
	// Name is the engine's name.
	Name string
	// Boot tells starts of the process apart; it is a part of the incarnation.
	Boot string
	// Model is the model that it serves.
	Model string
	// WeightVersion is the version of the weights.
	WeightVersion string
	// BlockTokens is the length of a cached block in tokens.
	BlockTokens int
	// CacheBlocks is the number of blocks that fit in the cache.
	CacheBlocks int
	// PrefillPerToken is the time to compute one uncached prompt token.
	PrefillPerToken time.Duration
	// DecodePerToken is the time between output tokens when one call runs.
	DecodePerToken time.Duration
	// DecodePerCall is what each further call in the batch adds to it.
	DecodePerCall time.Duration
	// ChunkTokens is the largest number of prompt tokens computed in a step of
	// the batch; zero means the default.
	ChunkTokens int
	// OutputTokens is the length of an answer when the caller sets no bound.
	OutputTokens int
	// MaxRunning is the size of the batch.
	MaxRunning int
	// MaxWaiting is the length of the queue, after which it answers "busy".
	MaxWaiting int
	// LoadLag is how old a load report is.
	LoadLag time.Duration
	// EventLag is how late a cache event is.
	EventLag time.Duration
	// LoseEvery leaves out each event whose number it divides; zero loses none.
	LoseEvery uint64
	// ImportPerBlock is the time to bring one block in.
	ImportPerBlock time.Duration
	// WeightLoad is the time to load new weights.
	WeightLoad time.Duration
	// IgnoresFence takes orders with an old fencing number.
	IgnoresFence bool
	// Poison crashes the engine when a prompt contains it; empty means none.
	Poison string
	// OnCrash replaces a restart in this process when the engine crashes.
	OnCrash func()
	// OnCall hears of every call that the engine takes, before any work.
	OnCall func(attempt string)
}

// Engine is the stand-in. Its zero value is not usable; see [New].
type Engine struct {
	options Options
	http    http.Client

	mu          sync.Mutex
	starts      int
	incarnation string
	weights     string
	adapters    map[string]string
	role        string
	leaving     bool
	loading     bool
	fence       uint64
	batch       *cost.Engine
	timer       *time.Timer
	running     map[string]*call
	frozenUntil time.Time
	slowUntil   time.Time
	slowBy      float64
	loseUntil   time.Time
	events      []timedEvent
	loads       []timedLoad
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

type timedLoad struct {
	engine.Load
	at time.Time
}

// New returns a freshly started engine with an empty cache.
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

// Restart ends every call and comes back empty with a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.running {
		c.lose()
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	e.starts++
	e.incarnation = fmt.Sprintf("%s-%d", e.options.Name+e.options.Boot, e.starts)
	e.weights = e.options.WeightVersion
	e.adapters = map[string]string{}
	e.role, e.leaving, e.loading = "serve", false, false
	e.running = map[string]*call{}
	e.events, e.loads = nil, nil
	e.frozenUntil, e.slowUntil = time.Time{}, time.Time{}
	e.batch = cost.New(cost.Options{
		Name: e.options.Name, BlockTokens: e.options.BlockTokens, CacheBlocks: e.options.CacheBlocks,
		PrefillPerToken: e.options.PrefillPerToken, StepBase: e.options.DecodePerToken,
		StepPerCall: e.options.DecodePerCall, ChunkTokens: e.options.ChunkTokens,
		MaxRunning: e.options.MaxRunning, MaxWaiting: e.options.MaxWaiting,
	})
}

// SetLeaving makes the engine refuse new calls, or take them again.
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
