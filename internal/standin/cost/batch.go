package cost

import (
	"cmp"
	"slices"
	"time"
)

// beginStep starts the next batch step if there is work and no step in progress.
func (e *Engine) beginStep(now time.Time) {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	chunk, decoding := 0, 0
	for _, c := range e.running {
		c.chunk = 0
		remaining := c.PromptTokens - c.cached - c.computed
		if remaining <= 0 {
			decoding++
			continue
		}
		c.chunk = min(remaining, e.options.ChunkTokens-chunk)
		chunk += c.chunk
	}
	duration := e.options.StepBase + time.Duration(decoding)*e.options.StepPerCall + time.Duration(chunk)*e.options.PrefillPerToken
	e.stepping = true
	e.step++
	e.emit(ScheduleStep{At: now.Add(duration), Number: e.step})
}

// admit moves queued calls into the batch by priority and arrival, while the batch
// has room and the next prefill chunk is not full.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxRunning && e.pendingPrefill() < e.options.ChunkTokens {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		c.cached = min(e.lookup(c.Blocks), c.PromptTokens-1)
		e.insert(c.Blocks[:c.cached/e.options.BlockTokens])
		e.running = append(e.running, c)
	}
}

func (e *Engine) pendingPrefill() int {
	tokens := 0
	for _, c := range e.running {
		tokens += max(0, c.PromptTokens-c.cached-c.computed)
	}
	return tokens
}

// finishStep applies the results of the step in progress.
func (e *Engine) finishStep() {
	e.stepping = false
	for _, c := range e.running {
		if c.chunk > 0 {
			e.finishChunk(c)
			continue
		}
		if c.computed+c.cached >= c.PromptTokens {
			c.generated++
		}
	}
	e.running = slices.DeleteFunc(e.running, func(c *call) bool {
		if c.generated < max(1, c.Output) {
			return false
		}
		e.insert(c.Blocks)
		e.emit(Finished{ID: c.ID, Cached: c.cached, Output: c.generated})
		return true
	})
}

// finishChunk applies a call's part of the prefill chunk. The step that completes
// the prompt also yields the first output token.
func (e *Engine) finishChunk(c *call) {
	done := c.cached + c.computed
	c.computed += c.chunk
	c.chunk = 0
	next := c.cached + c.computed
	from, to := done/e.options.BlockTokens, min(next/e.options.BlockTokens, len(c.Blocks))
	if to > from {
		e.insert(c.Blocks[:to])
		e.emit(Prefilled{Blocks: c.Blocks[from:to]})
	}
	if next >= c.PromptTokens {
		c.generated = 1
		e.emit(FirstToken{ID: c.ID, Cached: c.cached, Computed: c.computed})
	}
}
