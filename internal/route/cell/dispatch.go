package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/admit"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/queue"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

const (
	// maxPrefillTokens is the prefill backlog up to which an engine gets further
	// requests; the rest wait here, where they can still be reordered.
	maxPrefillTokens = 4000
	// underSharePrefillTokens and underShareExtraCalls are the higher limits for
	// workspaces below their share.
	underSharePrefillTokens = 3 * maxPrefillTokens
	underShareExtraCalls    = 8
	// noEngineRetryAfter is the retry delay given to callers, before jitter, when no
	// engine is available.
	noEngineRetryAfter = time.Second
)

// arrive accepts a new request. It ignores an ID that is already known.
func (s *State) arrive(now time.Time, j job.Job) []Command {
	if _, known := s.running[j.ID]; known {
		return nil
	}
	s.count.Arrived++
	s.budget.Earn()
	r := &request{job: j, arrived: now, outcome: effect.NotRun{}}
	if j.Offset > 0 {
		r.boundVersion = j.WeightVersion
	}
	r.levels = s.finder.Observe(j.Blocks)
	s.running[j.ID] = r
	if len(s.running) > maxRunning {
		return s.refuse(r, "overloaded", "too many requests are waiting", admit.Retry(s.rng, noEngineRetryAfter))
	}
	return s.place(now, r)
}

// place queues a request at the best engine, or refuses it when the expected time
// to first token exceeds its deadline.
func (s *State) place(now time.Time, r *request) []Command {
	best := s.choose(now, r)
	if best.target == nil {
		return s.refuse(r, "noEngine", "no engine is available", admit.Retry(s.rng, noEngineRetryAfter))
	}
	if turn, ok := admit.Decide(s.rng, best.ttft, r.deadline().Sub(now)).(admit.Reject); ok {
		return s.refuse(r, "overloaded", "the first token can't come in time", turn.RetryAfter)
	}
	s.enqueue(now, r, best)
	return s.dispatch(now, best.target)
}

func (s *State) enqueue(now time.Time, r *request, o estimate) {
	r.target, r.phase, r.queuedAt, r.importTried = o.target, queued, now, false
	s.waiting++
	o.target.queued[r.job.ID] = r
	r.item = queue.Item{
		ID: r.job.ID, Flow: r.flow(), Weight: r.weight(), Cost: r.uncachedTokens(max(o.cached, o.from.depth)) + answerCostTokens,
	}
	o.target.queue.Push(r.item)
}

// dequeue removes a request from its engine's queue and drops its import.
func (s *State) dequeue(r *request) {
	if _, ok := r.target.queued[r.job.ID]; !ok {
		return
	}
	delete(r.target.queued, r.job.ID)
	r.target.queue.Remove(r.item)
	s.waiting--
	s.endImport(r)
}

// dispatch sends queued requests to an engine while it has room. A request that
// needs an import stays queued and others go first.
func (s *State) dispatch(now time.Time, t *target) []Command {
	var commands []Command
	for t.queue.Len() > 0 && t.usable(now) {
		item, ok := t.queue.Next(func(item queue.Item) (float64, bool) { return s.rank(now, t, t.queued[item.ID]) })
		if !ok || !t.hasRoom(now, t.queue.Behind(item.Flow)) {
			break
		}
		r := t.queued[item.ID]
		if from, ok := s.worthImport(now, r); ok {
			if s.canImport(t, t.queue.Behind(item.Flow)) {
				commands = append(commands, s.startImport(now, r, from))
			} else {
				r.pausedUntil = now.Add(importPause)
			}
			continue
		}
		r.underShare = t.queue.Behind(item.Flow)
		t.queue.Take(item)
		delete(t.queued, item.ID)
		s.waiting--
		commands = append(commands, s.send(now, r))
		commands = append(commands, s.replicate(now, r)...)
	}
	return commands
}

// hasRoom reports whether the engine should get another request now. Workspaces
// below their share have higher limits, since their priority puts them first in
// the engine's own queue.
func (t *target) hasRoom(now time.Time, underShare bool) bool {
	if underShare {
		return !t.load.Full(now, underShareExtraCalls) && t.load.Prefill(now) < underSharePrefillTokens
	}
	return !t.load.Full(now, 0) && t.load.Prefill(now) < maxPrefillTokens
}

// rank returns the rank of a queued request within its flow, by response ratio:
// waiting time over prefill time. Requests with a cached prompt go first while it
// is cached, and none starves. The second result is false while the request must
// not be dispatched.
func (s *State) rank(now time.Time, t *target, r *request) (float64, bool) {
	if now.Before(r.pausedUntil) || s.mustHold(t, r) {
		return 0, false
	}
	own := float64(r.uncachedTokens(t.cache.Depth(r.job.Blocks))) * t.load.TokenTime()
	return now.Sub(r.arrived).Seconds() / own, true
}

// mustHold reports whether a request must wait for its own import, or for another
// request that computes or imports a prefix that both share.
func (s *State) mustHold(t *target, r *request) bool {
	if r.importBlocks != nil {
		return true
	}
	if len(t.pending) == 0 {
		return false
	}
	for _, block := range r.job.Blocks {
		if _, computing := t.pending[block]; !computing {
			continue
		}
		if !r.held {
			r.held = true
			s.count.Held++
		}
		return true
	}
	return false
}

// send starts the next attempt of a request on its engine.
func (s *State) send(now time.Time, r *request) Command {
	t := r.target
	r.attempt++
	r.phase, r.sentAt = prefilling, now
	r.tried = append(r.tried, t.Name)
	r.cachedBlocks = t.cache.Depth(r.job.Blocks)
	r.prefillTokens, r.backlogTokens = r.uncachedTokens(r.cachedBlocks), t.load.Prefill(now)
	t.load.Start(now, r.prefillTokens)
	r.attemptVersion = ""
	if t.sameWeights(r) {
		t.expectBlocks(now, r)
	}
	expected := r.cachedBlocks * r.job.BlockTokens
	s.count.Expected += uint64(expected)
	s.count.Prompt += uint64(max(0, r.job.PromptTokens))
	return Start{
		Job: r.job.ID, Attempt: r.attempt, Target: t.Name, Incarnation: t.cache.Incarnation(),
		WeightVersion: t.requiredVersion(r), Priority: r.priority(), Expected: expected,
	}
}

// expectBlocks records that a request computes its uncached blocks and that the
// whole prompt will then be cached.
func (t *target) expectBlocks(now time.Time, r *request) {
	for _, block := range r.job.Blocks[r.cachedBlocks:] {
		t.pending[block] = r.job.ID
	}
	t.cache.Touch(now, r.job.Blocks)
}

// requiredVersion returns the weight version that must answer: that of the chunks
// already sent, or else the engine's version at the time of the choice; empty
// while unknown.
func (t *target) requiredVersion(r *request) string {
	if r.boundVersion != "" {
		return r.boundVersion
	}
	return t.WeightVersion
}

func (s *State) refuse(r *request, code, text string, retry time.Duration) []Command {
	s.count.Refused++
	delete(s.running, r.job.ID)
	return []Command{Refuse{Job: r.job.ID, Code: code, Outcome: r.outcome, RetryAfter: retry, Message: text}}
}
