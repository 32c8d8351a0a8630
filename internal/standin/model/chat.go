package model

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cicadamill/cicadamill/internal/entry/chat"
	"github.com/cicadamill/cicadamill/internal/route/chain"
	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/standin/words"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	maxBodyBytes      = 16 << 20
	retryAfterSeconds = "1"
)

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	request, err := chat.Parse(body)
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
	defer e.drop(attempt, admitted)
	e.answer(w, r, request, admitted)
}

// admit accepts a call, or returns the code to refuse it with.
func (e *Engine) admit(header http.Header, attempt string, request chat.Request) (*call, engine.Code) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if code := e.check(header); code != "" {
		return nil, code
	}
	adapter := header.Get("X-Adapter")
	seed := chain.Seed{Workspace: header.Get("X-Workspace"), Model: e.options.Model, Adapter: adapter, WeightVersion: e.weights}
	total := e.options.OutputTokens
	if request.MaxTokens > 0 {
		total = min(total, request.MaxTokens)
	}
	offset, _ := strconv.Atoi(header.Get("X-Resume-Offset"))
	offset = min(max(0, offset), total)
	tokens := chain.Tokens(request.Prompt)
	c := newCall(engine.Accepted{
		Engine: e.options.Name, Incarnation: e.incarnation, WeightVersion: e.weights, PromptTokens: tokens,
	}, offset, total)
	c.poisoned = e.options.Poison != "" && bytes.Contains(request.Prompt, []byte(e.options.Poison))
	if _, ok := e.running[attempt]; ok {
		return nil, engine.Invalid
	}
	e.running[attempt] = c
	priority, _ := strconv.Atoi(header.Get("X-Priority"))
	code := e.apply(cost.Submit{
		ID: attempt, Blocks: chain.Hash(seed, request.Prompt, e.options.BlockTokens),
		PromptTokens: tokens + offset, Output: total - offset, Priority: priority,
	})
	if code != "" {
		delete(e.running, attempt)
		return nil, code
	}
	if e.options.OnAccept != nil {
		e.options.OnAccept(attempt)
	}
	return c, ""
}

// check returns the code to refuse a call with, if any. The caller must hold the
// lock.
func (e *Engine) check(header http.Header) engine.Code {
	if e.leaving {
		return engine.Leaving
	}
	if want := header.Get("X-Incarnation"); want != "" && want != e.incarnation {
		return engine.Stale
	}
	if want := header.Get("X-Weight-Version"); want != "" && want != e.weights {
		return engine.Stale
	}
	name, version, _ := strings.Cut(header.Get("X-Adapter"), "@")
	if loaded, ok := e.adapters[name]; ok && loaded != version {
		return engine.Stale
	}
	if e.loading || e.role != "serve" {
		return engine.Busy
	}
	return ""
}

// drop removes a call, and cancels it unless it has finished.
func (e *Engine) drop(attempt string, c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[attempt] != c {
		return
	}
	delete(e.running, attempt)
	if !c.finished {
		e.apply(cost.Cancel{ID: attempt})
	}
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, request chat.Request, c *call) {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Attempt", r.Header.Get("X-Attempt"))
	header.Set("X-Engine", c.accepted.Engine)
	header.Set("X-Incarnation", c.accepted.Incarnation)
	header.Set("X-Weight-Version", c.accepted.WeightVersion)
	header.Set("X-Cached-Tokens", strconv.Itoa(c.accepted.CachedTokens))
	header.Set("X-Prompt-Tokens", strconv.Itoa(c.accepted.PromptTokens))
	w.WriteHeader(http.StatusOK)
	s := &streamer{
		w: w, control: http.NewResponseController(w), call: c, model: request.Model,
		words: words.New(request.Prompt, c.accepted.WeightVersion, r.Header.Get("X-Adapter")),
	}
	if s.control.Flush() != nil {
		return
	}
	e.stream(r, s)
}

// stream sends the tokens as the batch generates them.
func (e *Engine) stream(r *http.Request, s *streamer) {
	sent := s.call.offset
	for {
		e.mu.Lock()
		generated, finished, cached := s.call.generated, s.call.finished, s.call.cached
		e.mu.Unlock()
		for ; sent < generated; sent++ {
			if s.send(sent, cached) != nil {
				return
			}
		}
		if finished {
			_, _ = io.WriteString(s.w, "data: [DONE]\n\n")
			return
		}
		select {
		case <-s.call.progress:
		case <-s.call.aborted:
			_, _ = io.WriteString(s.w, "data: {\"cut")
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// streamer writes the chunks of one response.
type streamer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	call    *call
	model   string
	words   words.Generator
	buffer  []byte
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int     `json:"prompt_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	TotalTokens      int     `json:"total_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
	CachedTokens int `json:"cached_tokens"`
}

func (s *streamer) send(offset, cached int) error {
	encoded, err := json.Marshal(s.chunk(offset, cached))
	if err != nil {
		return err
	}
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, encoded...)
	s.buffer = append(s.buffer, "\n\n"...)
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *streamer) chunk(offset, cached int) chunk {
	c := chunk{
		ID: s.words.ID(), Object: "chat.completion.chunk", Model: s.model,
		Choices: []choice{{Delta: delta{Content: s.words.Word(offset)}}},
	}
	if offset == s.call.total-1 {
		stop := "stop"
		c.Choices[0].FinishReason = &stop
		c.Usage = &usage{
			PromptTokens: s.call.accepted.PromptTokens, CompletionTokens: s.call.total,
			TotalTokens: s.call.accepted.PromptTokens + s.call.total, Details: details{CachedTokens: cached},
		}
	}
	return c
}

func refuse(w http.ResponseWriter, status int, code engine.Code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Not-Run", "true")
	if code == engine.Busy {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": string(code), "message": message}})
}
