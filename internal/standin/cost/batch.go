package cost

import (
	"cmp"
	"slices"
	"time"
)

// beginStep starts the next step of the batch if there is work and none runs.
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
		rest := c.PromptTokens - c.cached - c.computed
		if rest <= 0 {
			decoding++
			continue
		}
		c.chunk = min(rest, e.options.ChunkTokens-chunk)
		chunk += c.chunk
	}
	length := e.options.StepBase + time.Duration(decoding)*e.options.StepPerCall + time.Duration(chunk)*e.options.PrefillPerToken
	e.stepping = true
	e.step++
	e.reply(Next{At: now.Add(length), Number: e.step})
}

// admit moves waiting calls into the batch while there is room and the prefill
// chunk is not yet full.
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

// finishStep applies the step that has just ended.
func (e *Engine) finishStep() {
	e.stepping = false
	for _, c := range e.running {
		if c.chunk > 0 {
			e.prefilled(c)
			continue
		}
		if c.computed+c.cached >= c.PromptTokens {
			c.out++
		}
	}
	e.running = slices.DeleteFunc(e.running, func(c *call) bool {
		if c.out < max(1, c.Output) {
			return false
		}
		e.insert(c.Blocks)
		e.reply(Finished{ID: c.ID, Cached: c.cached, Output: c.out})
		return true
	})
}

// prefilled accounts for the chunk of a call; the step that ends the prompt
// gives the first token.
func (e *Engine) prefilled(c *call) {
	done := c.cached + c.computed
	c.computed += c.chunk
	c.chunk = 0
	next := c.cached + c.computed
	from, to := done/e.options.BlockTokens, min(next/e.options.BlockTokens, len(c.Blocks))
	if to > from {
		e.insert(c.Blocks[:to])
		e.reply(Computed{Blocks: c.Blocks[from:to]})
	}
	if next >= c.PromptTokens {
		c.out = 1
		e.reply(First{ID: c.ID, Cached: c.cached, Computed: c.computed})
	}
}
