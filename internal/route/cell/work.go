package cell

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/route/admit"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/queue"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

const (
	// maxAhead are the prompt tokens that an engine may have before it; more
	// wait here, where their order can still change.
	maxAhead = 4000
	// extraAhead and extraCalls are the bounds for workspaces that are behind.
	extraAhead = 3 * maxAhead
	extraCalls = 8
	// noEngineRetry is the wait told when no engine can be used.
	noEngineRetry = time.Second
)

// arrive takes a new request. One that is known already is not taken twice.
func (s *State) arrive(now time.Time, j job.Job) []Command {
	if _, known := s.running[j.ID]; known {
		return nil
	}
	s.count.Arrived++
	s.budget.Earn()
	r := &run{job: j, arrived: now, outcome: effect.NotRun{}}
	if j.Offset > 0 {
		r.weights = j.WeightVersion
	}
	r.levels = s.finder.Observe(j.Blocks)
	s.running[j.ID] = r
	if len(s.running) > maxRunning {
		return s.refuse(r, "overloaded", "too many requests are waiting", admit.Retry(s.random, noEngineRetry))
	}
	return s.place(now, r)
}

// place puts a request in the queue of the best engine, or refuses it when it
// can't be answered in time.
func (s *State) place(now time.Time, r *run) []Command {
	best := s.choose(now, r)
	if best.target == nil {
		return s.refuse(r, "noEngine", "no engine is available", admit.Retry(s.random, noEngineRetry))
	}
	if turn, ok := admit.Decide(s.random, best.ttft, r.deadline().Sub(now)).(admit.Turn); ok {
		return s.refuse(r, "overloaded", "the first token can't come in time", turn.RetryAfter)
	}
	s.enqueue(now, r, best)
	return s.dispatch(now, best.target)
}

func (s *State) enqueue(now time.Time, r *run, o offer) {
	r.target, r.phase, r.placed, r.brought = o.target, waits, now, false
	s.waiting++
	o.target.queued[r.job.ID] = r
	r.item = queue.Item{
		ID: r.job.ID, Flow: r.flow(), Weight: r.weight(), Cost: r.uncached(max(o.cached, o.from.depth)) + answerTokens,
	}
	o.target.queue.Push(r.item)
}

// dequeue takes a waiting request out of its engine's queue.
func (s *State) dequeue(r *run) {
	if _, ok := r.target.queued[r.job.ID]; !ok {
		return
	}
	delete(r.target.queued, r.job.ID)
	r.target.queue.Remove(r.item)
	s.waiting--
	s.endImport(r)
}

// dispatch sends waiting requests to an engine while it has room. One whose
// blocks should be imported first waits on while others go.
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
				commands = append(commands, s.bring(now, r, from))
			} else {
				r.pausedUntil = now.Add(importPause)
			}
			continue
		}
		r.behind = t.queue.Behind(item.Flow)
		t.queue.Take(item)
		delete(t.queued, item.ID)
		s.waiting--
		commands = append(commands, s.send(now, r))
		commands = append(commands, s.spread(now, r)...)
	}
	return commands
}

// hasRoom reports whether the engine should get another request now. One of a
// workspace that is behind its share may go beyond, since the engine's own queue
// puts it first.
func (t *target) hasRoom(now time.Time, behind bool) bool {
	if behind {
		return !t.load.Full(now, extraCalls) && t.load.Prefill(now) < extraAhead
	}
	return !t.load.Full(now, 0) && t.load.Prefill(now) < maxAhead
}

// rank orders the waiting requests of one flow by their response ratio: those
// whose prompt is cached go first, while it is, and none waits forever.
func (s *State) rank(now time.Time, t *target, r *run) (float64, bool) {
	if now.Before(r.pausedUntil) || s.mustHold(t, r) {
		return 0, false
	}
	own := float64(r.uncached(t.cache.Depth(r.job.Blocks))) * t.load.Rate()
	return now.Sub(r.arrived).Seconds() / own, true
}

// mustHold reports whether a request should wait until another one has computed
// a prefix that both share.
func (s *State) mustHold(t *target, r *run) bool {
	if r.importing != nil {
		return true
	}
	if len(t.leads) == 0 {
		return false
	}
	for _, block := range r.job.Blocks {
		if _, computing := t.leads[block]; !computing {
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

// send dispatches a request to its engine.
func (s *State) send(now time.Time, r *run) Command {
	t := r.target
	r.attempt++
	r.phase, r.sent = prefills, now
	r.tried = append(r.tried, t.Name)
	r.cached = t.cache.Depth(r.job.Blocks)
	r.prefill, r.ahead = r.uncached(r.cached), t.load.Prefill(now)
	t.load.Start(now, r.prefill)
	r.answering = ""
	if t.names(r) {
		t.expect(now, r)
	}
	expected := r.cached * r.job.BlockTokens
	s.count.Expected += uint64(expected)
	s.count.Prompt += uint64(max(0, r.job.PromptTokens))
	return Start{
		Job: r.job.ID, Attempt: r.attempt, Target: t.Name, Incarnation: t.cache.Incarnation(),
		WeightVersion: t.demanded(r), Priority: r.priority(), Expected: expected,
	}
}

// expect takes note of the blocks that a request will leave in the cache.
func (t *target) expect(now time.Time, r *run) {
	for _, block := range r.job.Blocks[r.cached:] {
		t.leads[block] = r.job.ID
	}
	t.cache.Touch(now, r.job.Blocks)
}

// demanded returns the version of the weights that must answer: that of the
// answer so far, or the one that the choice was made for; empty while unknown.
func (t *target) demanded(r *run) string {
	if r.weights != "" {
		return r.weights
	}
	return t.WeightVersion
}

func (s *State) refuse(r *run, code, text string, retry time.Duration) []Command {
	s.count.Refused++
	delete(s.running, r.job.ID)
	return []Command{Refuse{Job: r.job.ID, Code: code, Outcome: r.outcome, RetryAfter: retry, Message: text}}
}
