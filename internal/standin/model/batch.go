package model

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// call is an accepted call.
type call struct {
	accepted engine.Accepted
	offset   int
	total    int
	// generated is the number of output tokens so far, including the offset at which
	// the call resumes. The engine's lock guards generated, cached and finished.
	generated int
	cached    int
	finished  bool
	poisoned  bool
	progress  chan struct{}
	aborted   chan struct{}
	cut       bool
}

func newCall(accepted engine.Accepted, offset, total int) *call {
	return &call{accepted: accepted, offset: offset, total: total, generated: offset, progress: make(chan struct{}, 1), aborted: make(chan struct{})}
}

// abort aborts the call's response. The caller must hold the engine's lock.
func (c *call) abort() {
	if !c.cut {
		c.cut = true
		close(c.aborted)
	}
}

func (c *call) notify() {
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// apply passes a message to the simulation and applies its replies. It returns the
// code of a refused call. The caller must hold the lock.
func (e *Engine) apply(message cost.Message) engine.Code {
	now := time.Now()
	var refused engine.Code
	for _, reply := range e.batch.Update(now, message) {
		switch r := reply.(type) {
		case cost.Accepted:
			if c, ok := e.running[r.ID]; ok {
				c.accepted.CachedTokens, c.cached = r.Cached, r.Cached
			}
		case cost.Refused:
			refused = r.Code
		case cost.Finished:
			e.finishCall(r)
		case cost.CacheChanged:
			e.record(now, r.Event)
		case cost.ScheduleStep:
			e.schedule(now, r)
		}
	}
	return refused
}

func (e *Engine) finishCall(r cost.Finished) {
	if c, ok := e.running[r.ID]; ok {
		c.generated, c.cached, c.finished = c.total, r.Cached, true
		c.notify()
	}
}

// schedule starts the timer for the end of the next batch step, which takes longer
// while the engine is slow. The timer of an earlier incarnation has no effect.
func (e *Engine) schedule(now time.Time, next cost.ScheduleStep) {
	at := next.At
	if now.Before(e.slowUntil) {
		at = now.Add(time.Duration(float64(at.Sub(now)) * e.slowFactor))
	}
	incarnation := e.incarnation
	e.timer = time.AfterFunc(at.Sub(now), func() { e.finishStep(incarnation, next.Number) })
}

func (e *Engine) finishStep(incarnation string, number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return
	}
	if wait := time.Until(e.stalledUntil); wait > 0 {
		e.timer = time.AfterFunc(wait, func() { e.finishStep(incarnation, number) })
		return
	}
	e.apply(cost.FinishStep{Number: number})
	e.advance()
}

// advance makes newly generated tokens available to the calls. It crashes the
// engine if a call with the poison text got a token.
func (e *Engine) advance() {
	poisoned := false
	for id, c := range e.running {
		out, ok := e.batch.OutputTokens(id)
		if !ok || c.offset+out == c.generated {
			continue
		}
		c.generated = min(c.offset+out, c.total)
		poisoned = poisoned || c.poisoned
		c.notify()
	}
	if poisoned {
		go e.Crash()
	}
}

// Crash calls OnCrash if it is set, and otherwise restarts the engine.
func (e *Engine) Crash() {
	if e.options.OnCrash != nil {
		e.options.OnCrash()
		return
	}
	e.Restart()
}

// record stores a cache event unless a fault or DropEvery drops it.
func (e *Engine) record(now time.Time, event engine.CacheEvent) {
	if (e.options.DropEvery > 0 && event.Seq%e.options.DropEvery == 0) || now.Before(e.loseEventsUntil) {
		return
	}
	e.events = append(e.events, timedEvent{CacheEvent: event, at: now})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}
