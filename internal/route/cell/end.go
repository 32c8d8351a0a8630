package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/admit"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// busyBackOff is how long an engine that said it is busy gets nothing, unless
// it named a time.
const busyBackOff = 100 * time.Millisecond

// started takes the engine's word of what it found in its cache.
func (s *State) started(now time.Time, m Started) {
	r, ok := s.running[m.Job]
	if !ok || r.attempt != m.Attempt || r.phase == waits {
		return
	}
	t := r.target
	if !t.meet(m.Accepted.Incarnation) {
		return
	}
	t.failures = 0
	if m.Accepted.WeightVersion != "" {
		t.WeightVersion = m.Accepted.WeightVersion
	}
	s.count.Found += uint64(max(0, m.Accepted.CachedTokens))
	if m.Accepted.PromptTokens > 0 {
		r.correct(now, m.Accepted.CachedTokens)
	}
}

// correct replaces the expected prefill of a request by what the engine found.
// Blocks that it lacked are computed by this request now.
func (r *run) correct(now time.Time, cachedTokens int) {
	if r.phase != prefills || r.job.BlockTokens <= 0 {
		return
	}
	found := max(0, min(cachedTokens/r.job.BlockTokens, len(r.job.Blocks)))
	prefill := r.uncached(found)
	r.target.load.Adjust(now, prefill-r.prefill)
	r.prefill = prefill
	if found >= r.cached {
		return
	}
	for _, block := range r.job.Blocks[found:r.cached] {
		r.target.leads[block] = r.job.ID
	}
	r.cached = found
}

// first settles a request's prefill once its first token has come.
func (s *State) first(now time.Time, m First) []Command {
	r, ok := s.running[m.Job]
	if !ok || r.attempt != m.Attempt || r.phase != prefills {
		return nil
	}
	r.target.load.Learn(r.prefill+r.ahead, now.Sub(r.sent))
	s.settle(now, r)
	s.store.add(r.job.Blocks)
	r.phase = decodes
	return s.dispatch(now, r.target)
}

// settle frees the prefill of a request.
func (s *State) settle(now time.Time, r *run) {
	if r.phase != prefills {
		return
	}
	t := r.target
	t.load.First(now, r.prefill)
	r.prefill = 0
	for _, block := range r.job.Blocks[r.cached:] {
		if t.leads[block] == r.job.ID {
			delete(t.leads, block)
		}
	}
}

// unwind takes a request that was cut off the books of its engine. Blocks that
// it had not computed are no longer expected there.
func (s *State) unwind(now time.Time, r *run) {
	if r.phase == prefills {
		r.target.cache.Forget(r.job.Blocks[r.cached:])
	}
	s.settle(now, r)
	if r.phase != waits {
		r.target.load.End(now)
	}
	r.phase = waits
}

func (s *State) ended(now time.Time, m Ended) []Command {
	r, ok := s.running[m.Job]
	if !ok || r.attempt != m.Attempt || r.phase == waits {
		return nil
	}
	t := r.target
	if _, ok := m.Outcome.(effect.Answered); ok {
		s.settle(now, r)
		t.load.End(now)
		delete(s.running, m.Job)
		return s.dispatch(now, t)
	}
	s.unwind(now, r)
	commands := s.blame(now, t, m)
	commands = append(commands, s.again(now, r, m)...)
	return append(commands, s.dispatch(now, t)...)
}

// blame draws conclusions about the engine from a failure.
func (s *State) blame(now time.Time, t *target, m Ended) []Command {
	switch m.Code {
	case engine.Leaving:
		t.Leaving = true
	case engine.Busy:
		t.load.Busy(now)
		t.backOff = now.Add(max(m.RetryAfter, busyBackOff))
		return nil
	case engine.Stale:
		t.cache.Drop()
		clear(t.leads)
		return nil
	case engine.Unreachable, engine.Broken, engine.Stalled:
		t.failed(now, s.random)
	default:
		return nil
	}
	return s.clear(now, t)
}

// clear moves all waiting requests away from an engine.
func (s *State) clear(now time.Time, t *target) []Command {
	var commands []Command
	for _, id := range t.queue.IDs() {
		r := t.queued[id]
		s.dequeue(r)
		commands = append(commands, s.place(now, r)...)
	}
	return commands
}

// again retries a request whose attempt failed, within the budget if it may
// have run.
func (s *State) again(now time.Time, r *run, m Ended) []Command {
	if m.Code == engine.Invalid {
		r.outcome = m.Outcome
		return s.refuse(r, string(m.Code), "the engine refused the request", 0)
	}
	if _, notRun := m.Outcome.(effect.NotRun); !notRun {
		r.outcome = effect.Unknown{Reason: "an attempt was cut off"}
		if !s.budget.Spend() {
			return s.refuse(r, "retryBudget", "the engine failed and too many requests are being retried", admit.Retry(s.random, noEngineRetry))
		}
	}
	if r.attempt >= maxAttempts {
		return s.refuse(r, string(m.Code), "the engines gave no answer", admit.Retry(s.random, noEngineRetry))
	}
	if m.Code == engine.Stale {
		r.tried = r.tried[:len(r.tried)-1]
	}
	s.count.Retried++
	return s.place(now, r)
}

func (s *State) cancel(now time.Time, id string) []Command {
	r, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	if r.phase == waits {
		s.dequeue(r)
		return s.dispatch(now, r.target)
	}
	stop := Stop{Job: id, Attempt: r.attempt}
	s.unwind(now, r)
	return append([]Command{stop}, s.dispatch(now, r.target)...)
}
