package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/admit"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// busyBackOff is the least time for which an engine that answered busy gets no
// requests; the engine may ask for more.
const busyBackOff = 100 * time.Millisecond

// started applies what the engine's answer headers state: its incarnation, weight
// version and the prompt tokens that it found cached.
func (s *State) started(now time.Time, m Started) {
	r, ok := s.running[m.Job]
	if !ok || r.attempt != m.Attempt || r.phase == queued {
		return
	}
	t := r.target
	if !t.setIncarnation(m.Accepted.Incarnation) {
		return
	}
	t.failures = 0
	t.setWeights(m.Accepted.WeightVersion)
	r.attemptVersion = m.Accepted.WeightVersion
	if !t.sameWeights(r) {
		t.cache.Forget(r.job.Blocks)
		r.releaseBlocks()
	}
	s.count.Found += uint64(max(0, m.Accepted.CachedTokens))
	if m.Accepted.PromptTokens > 0 {
		r.correct(now, m.Accepted.CachedTokens)
	}
}

// correct replaces the estimated prefill of a request by what the engine reported.
// Blocks that were not cached after all are recorded as computed by this request.
func (r *request) correct(now time.Time, cachedTokens int) {
	if r.phase != prefilling || r.job.BlockTokens <= 0 {
		return
	}
	found := max(0, min(cachedTokens/r.job.BlockTokens, len(r.job.Blocks)))
	prefill := r.uncachedTokens(found)
	r.target.load.Adjust(now, prefill-r.prefillTokens)
	r.prefillTokens = prefill
	if found >= r.cachedBlocks {
		return
	}
	for _, block := range r.job.Blocks[found:r.cachedBlocks] {
		r.target.pending[block] = r.job.ID
	}
	r.cachedBlocks = found
}

// firstToken releases a request's prefill and updates the prefill rate.
func (s *State) firstToken(now time.Time, m FirstToken) []Command {
	r, ok := s.running[m.Job]
	if !ok || r.attempt != m.Attempt || r.phase != prefilling {
		return nil
	}
	r.target.load.ObservePrefill(r.prefillTokens+r.backlogTokens, now.Sub(r.sentAt))
	s.releasePrefill(now, r)
	if r.target.sameWeights(r) {
		s.kvStore.add(r.job.Blocks)
	}
	r.phase = decoding
	return s.dispatch(now, r.target)
}

// releasePrefill removes a request's prefill from the engine's load.
func (s *State) releasePrefill(now time.Time, r *request) {
	if r.phase != prefilling {
		return
	}
	r.target.load.FirstToken(now, r.prefillTokens)
	r.prefillTokens = 0
	r.releaseBlocks()
}

// releaseBlocks lets other requests go on that wait for blocks of this one.
func (r *request) releaseBlocks() {
	for _, block := range r.job.Blocks[r.cachedBlocks:] {
		if r.target.pending[block] == r.job.ID {
			delete(r.target.pending, block)
		}
	}
}

// releaseAttempt removes an unfinished attempt from its engine's load. If it was
// still in prefill, its uncached blocks are no longer expected in the cache.
func (s *State) releaseAttempt(now time.Time, r *request) {
	if r.phase == prefilling {
		r.target.cache.Forget(r.job.Blocks[r.cachedBlocks:])
	}
	s.releasePrefill(now, r)
	if r.phase != queued {
		r.target.load.End(now)
	}
	r.phase = queued
}

func (s *State) ended(now time.Time, m Ended) []Command {
	r, ok := s.running[m.Job]
	if !ok || r.attempt != m.Attempt || r.phase == queued {
		return nil
	}
	t := r.target
	if _, ok := m.Outcome.(effect.Answered); ok {
		s.releasePrefill(now, r)
		t.load.End(now)
		delete(s.running, m.Job)
		return s.dispatch(now, t)
	}
	s.releaseAttempt(now, r)
	if m.Sent > r.job.Offset {
		r.boundVersion = r.attemptVersion
	}
	commands := s.engineFailed(now, t, m)
	commands = append(commands, s.retry(now, r, m)...)
	return append(commands, s.dispatch(now, t)...)
}

// engineFailed updates the state of an engine after a failed attempt. The queue of
// an engine that is leaving or gave no answer is moved to other engines.
func (s *State) engineFailed(now time.Time, t *target, m Ended) []Command {
	switch m.Code {
	case engine.Leaving:
		t.Leaving = true
	case engine.Busy:
		t.load.LowerLimit(now)
		t.backOffUntil = now.Add(max(m.RetryAfter, busyBackOff))
		return nil
	case engine.Stale:
		t.cache.Drop()
		clear(t.pending)
		t.WeightVersion = ""
		return nil
	case engine.Unreachable, engine.Broken, engine.Stalled:
		t.backOffAfterFailure(now, s.rng)
	default:
		return nil
	}
	return s.requeue(now, t)
}

// requeue places all requests queued at an engine anew.
func (s *State) requeue(now time.Time, t *target) []Command {
	var commands []Command
	for _, id := range t.queue.IDs() {
		r := t.queued[id]
		s.dequeue(r)
		commands = append(commands, s.place(now, r)...)
	}
	return commands
}

// retry places a request anew after a failed attempt, up to maxAttempts. An
// attempt that may have run also spends from the retry budget.
func (s *State) retry(now time.Time, r *request, m Ended) []Command {
	if m.Code == engine.Invalid {
		r.outcome = m.Outcome
		return s.refuse(r, string(m.Code), "the engine refused the request", 0)
	}
	if _, notRun := m.Outcome.(effect.NotRun); !notRun {
		r.outcome = effect.Unknown{Reason: "an attempt was cut off"}
		if !s.budget.Spend() {
			return s.refuse(r, "retryBudget", "the engine failed and too many requests are being retried", admit.Retry(s.rng, noEngineRetryAfter))
		}
	}
	if r.attempt >= maxAttempts {
		return s.refuse(r, string(m.Code), "the engines gave no answer", admit.Retry(s.rng, noEngineRetryAfter))
	}
	if m.Code == engine.Stale && r.boundVersion == "" {
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
	if r.phase == queued {
		s.dequeue(r)
		return s.dispatch(now, r.target)
	}
	stop := Cancel{Job: id, Attempt: r.attempt}
	s.releaseAttempt(now, r)
	return append([]Command{stop}, s.dispatch(now, r.target)...)
}
