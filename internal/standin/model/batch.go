package model

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// call is one call that the engine took.
type call struct {
	accepted engine.Accepted
	from     int
	total    int
	// given, cached and finished are guarded by the engine's lock.
	given    int
	cached   int
	finished bool
	poison   bool
	changed  chan struct{}
	lost     chan struct{}
	cut      bool
}

func newCall(accepted engine.Accepted, from, total int) *call {
	return &call{accepted: accepted, from: from, total: total, given: from, changed: make(chan struct{}, 1), lost: make(chan struct{})}
}

// lose ends the call's connection; the caller holds the engine's lock.
func (c *call) lose() {
	if !c.cut {
		c.cut = true
		close(c.lost)
	}
}

func (c *call) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// apply runs the cost model; the caller holds the lock. It returns why a call
// was not taken.
func (e *Engine) apply(message cost.Message) engine.Code {
	now := time.Now()
	var refused engine.Code
	for _, reply := range e.batch.Update(now, message) {
		switch r := reply.(type) {
		case cost.Took:
			if c, ok := e.running[r.ID]; ok {
				c.accepted.CachedTokens, c.cached = r.Cached, r.Cached
			}
		case cost.Refused:
			refused = r.Code
		case cost.Finished:
			e.finishCall(r)
		case cost.Cached:
			e.record(now, r.Event)
		case cost.Next:
			e.schedule(now, r)
		}
	}
	return refused
}

func (e *Engine) finishCall(r cost.Finished) {
	if c, ok := e.running[r.ID]; ok {
		c.given, c.cached, c.finished = c.total, r.Cached, true
		c.notify()
	}
}

// schedule sets the end of the next step, later when the engine is slow or
// frozen. A timer of an earlier incarnation does nothing.
func (e *Engine) schedule(now time.Time, next cost.Next) {
	at := next.At
	if now.Before(e.slowUntil) {
		at = now.Add(time.Duration(float64(at.Sub(now)) * e.slowBy))
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
	if wait := time.Until(e.frozenUntil); wait > 0 {
		e.timer = time.AfterFunc(wait, func() { e.finishStep(incarnation, number) })
		return
	}
	e.apply(cost.Step{Number: number})
	e.advance()
}

// advance tells each call of the tokens that it has now.
func (e *Engine) advance() {
	poisoned := false
	for id, c := range e.running {
		out, ok := e.batch.Out(id)
		if !ok || c.from+out == c.given {
			continue
		}
		c.given = min(c.from+out, c.total)
		poisoned = poisoned || c.poison
		c.notify()
	}
	if poisoned {
		go e.Crash()
	}
}

// Crash ends the engine's process, or what stands for it.
func (e *Engine) Crash() {
	if e.options.OnCrash != nil {
		e.options.OnCrash()
		return
	}
	e.Restart()
}

// record keeps a cache event unless it is to be lost.
func (e *Engine) record(now time.Time, event engine.CacheEvent) {
	if (e.options.LoseEvery > 0 && event.Seq%e.options.LoseEvery == 0) || now.Before(e.loseUntil) {
		return
	}
	e.events = append(e.events, timedEvent{CacheEvent: event, at: now})
	if len(e.events) > keptEvents {
		e.events = e.events[len(e.events)-keptEvents:]
	}
}
