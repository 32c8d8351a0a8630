// Package model is a stand-in for a model engine: it streams made-up text at
// the pace of a real one and keeps a cache of prompt blocks.
package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cicadamill/cicadamill/internal/entry/chat"
	"github.com/cicadamill/cicadamill/internal/route/chain"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Options describe the engine that the stand-in plays.
type Options struct {
	// Name is the engine's name.
	Name string
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
	// DecodePerToken is the time between output tokens.
	DecodePerToken time.Duration
	// OutputTokens is the length of an answer when the caller sets no bound.
	OutputTokens int
	// MaxRunning is the number of calls after which it answers "busy".
	MaxRunning int
}

// Engine is the stand-in. Its zero value is not usable; see [New].
type Engine struct {
	options Options

	mu          sync.Mutex
	starts      int
	incarnation string
	weights     string
	cache       *lru.Cache[uint64, struct{}]
	running     map[string]chan struct{}
	leaving     bool
	seq         uint64
	events      []engine.CacheEvent
	fence       uint64
}

// New returns a freshly started engine with an empty cache.
//
//	standin := model.New(model.Options{Name: "engine-1", Model: "quay-7b", BlockTokens: 2000, CacheBlocks: 64, MaxRunning: 32})
//	go http.ListenAndServe("127.0.0.1:9001", standin.Handler())
func New(options Options) *Engine {
	e := &Engine{options: options}
	e.Restart()
	return e
}

// Restart ends every call and comes back empty with a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, stop := range e.running {
		close(stop)
	}
	e.starts++
	e.incarnation = fmt.Sprintf("%s-%d", e.options.Name, e.starts)
	e.weights = e.options.WeightVersion
	e.running = map[string]chan struct{}{}
	e.seq = 0
	e.events = nil
	e.cache, _ = lru.NewWithEvict(max(1, e.options.CacheBlocks), e.evicted)
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
	mux.HandleFunc("POST /orders/{kind}", e.serveOrder)
	return mux
}

func (e *Engine) evicted(block uint64, _ struct{}) { e.record(block, true) }

// record appends a cache event; the caller holds the lock.
func (e *Engine) record(block uint64, removed bool) {
	e.seq++
	e.events = append(e.events, engine.CacheEvent{Seq: e.seq, Block: block, Removed: removed})
	const keptEvents = 4096
	if len(e.events) > keptEvents {
		e.events = e.events[len(e.events)-keptEvents:]
	}
}

// admission is what a call gets when it may run.
type admission struct {
	accepted engine.Accepted
	blocks   []uint64
	stop     chan struct{}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	request, err := chat.Parse(raw)
	if err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	attempt := r.Header.Get("X-Attempt")
	admitted, code := e.admit(r.Header, attempt, request)
	if code != "" {
		refuse(w, http.StatusServiceUnavailable, code, "not run: "+string(code))
		return
	}
	defer e.finish(attempt, admitted)
	e.answer(w, r, request, admitted)
}

func (e *Engine) admit(header http.Header, attempt string, request chat.Request) (admission, engine.Code) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return admission{}, engine.Leaving
	}
	if want := header.Get("X-Incarnation"); want != "" && want != e.incarnation {
		return admission{}, engine.Stale
	}
	if want := header.Get("X-Weight-Version"); want != "" && want != e.weights {
		return admission{}, engine.Stale
	}
	if len(e.running) >= e.options.MaxRunning {
		return admission{}, engine.Busy
	}
	seed := chain.Seed{
		Workspace:     header.Get("X-Workspace"),
		Model:         e.options.Model,
		Adapter:       header.Get("X-Adapter"),
		WeightVersion: e.weights,
	}
	blocks := chain.Hash(seed, request.Prompt, e.options.BlockTokens)
	a := admission{blocks: blocks, stop: make(chan struct{})}
	a.accepted = engine.Accepted{
		Engine:        e.options.Name,
		Incarnation:   e.incarnation,
		WeightVersion: e.weights,
		CachedTokens:  e.cachedTokens(blocks),
		PromptTokens:  chain.Tokens(request.Prompt),
	}
	e.running[attempt] = a.stop
	return a, ""
}

// cachedTokens counts the leading blocks in the cache and marks them used; the
// caller holds the lock.
func (e *Engine) cachedTokens(blocks []uint64) int {
	found := 0
	for _, block := range blocks {
		if _, ok := e.cache.Get(block); !ok {
			break
		}
		found++
	}
	return found * e.options.BlockTokens
}

func (e *Engine) finish(attempt string, admitted admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[attempt] == admitted.stop {
		delete(e.running, attempt)
	}
}

// store puts computed blocks in the cache unless the engine has restarted.
func (e *Engine) store(admitted admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if admitted.accepted.Incarnation != e.incarnation {
		return
	}
	for _, block := range admitted.blocks {
		if !e.cache.Contains(block) {
			e.record(block, false)
		}
		e.cache.Add(block, struct{}{})
	}
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, request chat.Request, admitted admission) {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Engine", admitted.accepted.Engine)
	header.Set("X-Incarnation", admitted.accepted.Incarnation)
	header.Set("X-Weight-Version", admitted.accepted.WeightVersion)
	header.Set("X-Cached-Tokens", strconv.Itoa(admitted.accepted.CachedTokens))
	header.Set("X-Prompt-Tokens", strconv.Itoa(admitted.accepted.PromptTokens))
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()

	uncached := admitted.accepted.PromptTokens - admitted.accepted.CachedTokens
	if !pause(r, admitted.stop, time.Duration(max(0, uncached))*e.options.PrefillPerToken) {
		panic(http.ErrAbortHandler)
	}
	e.store(admitted)
	e.stream(w, r, request, admitted)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request chat.Request, admitted admission) {
	flusher := http.NewResponseController(w)
	total := e.options.OutputTokens
	if request.MaxTokens > 0 {
		total = min(total, request.MaxTokens)
	}
	offset, _ := strconv.Atoi(r.Header.Get("X-Resume-Offset"))
	for ; offset < total; offset++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, e.chunk(request, offset, total, admitted)); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
		if !pause(r, admitted.stop, e.options.DecodePerToken) {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// chunk is a function of the prompt and the offset alone, so that an answer
// resumed on another engine with the same weights goes on as it began.
func (e *Engine) chunk(request chat.Request, offset, total int, admitted admission) []byte {
	word := chain.Hash(chain.Seed{Model: admitted.accepted.WeightVersion}, append(request.Prompt[:len(request.Prompt):len(request.Prompt)], byte(offset), byte(offset>>8)), 1)
	last := uint64(0)
	if len(word) > 0 {
		last = word[len(word)-1]
	}
	choice := map[string]any{"index": 0, "delta": map[string]string{"content": fmt.Sprintf("w%d-%04x ", offset, last&0xffff)}, "finish_reason": nil}
	body := map[string]any{
		"id": "chatcmpl-" + e.options.Name, "object": "chat.completion.chunk", "created": 0,
		"model": request.Model, "choices": []any{choice},
	}
	if offset == total-1 {
		choice["finish_reason"] = "stop"
		body["usage"] = map[string]any{
			"prompt_tokens": admitted.accepted.PromptTokens, "completion_tokens": total,
			"total_tokens":          admitted.accepted.PromptTokens + total,
			"prompt_tokens_details": map[string]int{"cached_tokens": admitted.accepted.CachedTokens},
		}
	}
	encoded, _ := json.Marshal(body)
	return encoded
}

// pause waits and returns false when the call ended first.
func pause(r *http.Request, stop chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	case <-r.Context().Done():
		return false
	}
}

func refuse(w http.ResponseWriter, status int, code engine.Code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Not-Run", "true")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": string(code), "message": message}})
}
