package host

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/needs"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
)

// observeNeeds records what a target said of itself in an answer to a request sent at
// the given time.
func (h *Host) observeNeeds(target roster.Target, sent time.Time, said call.Needs) {
	h.observe(target, said, func(of needs.Instance) []needs.Change { return h.needs.Observe(time.Now(), sent, of, said) })
}

func (h *Host) observe(target roster.Target, said call.Needs, apply func(needs.Instance) []needs.Change) {
	if said.Invalid != "" {
		h.meter.Scope().Counter("target_needs_invalid").Inc(1)
		h.logger.Warn("target names a need that can't be right", "target", target.ID, "value", said.Invalid)
	}
	h.mu.Lock()
	changes := apply(needs.Instance{ID: target.ID, Born: target.Born})
	h.mu.Unlock()
	h.applyNeeds(changes)
}

// applyNeeds logs changes of what targets need.
func (h *Host) applyNeeds(changes []needs.Change) {
	for _, change := range changes {
		switch c := change.(type) {
		case needs.Limited:
			h.targetGauge("target_limit", c.Instance, c.PerSecond)
			h.logger.Info("target named a limit", "target", c.Instance.ID, "born", c.Instance.Born, "perSecond", c.PerSecond, "share", c.Share)
		case needs.Unlimited:
			h.targetGauge("target_limit", c.Instance, 0)
			h.logger.Info("target no longer limited", "target", c.Instance.ID, "born", c.Instance.Born)
		case needs.Leaving:
			h.logger.Info("target said that it is leaving", "target", c.Instance.ID, "born", c.Instance.Born)
			h.mu.Lock()
			listed := h.roster.SetLeaving(time.Now(), c.Instance.ID, c.Instance.Born)
			h.mu.Unlock()
			if listed {
				h.publishTargets()
			}
		case needs.Paused:
			h.meter.Scope().Counter("target_pauses").Inc(1)
			h.logger.Info("target asked for a pause", "target", c.Instance.ID, "born", c.Instance.Born, "forMs", c.For.Milliseconds())
		}
	}
}

func (h *Host) targetGauge(name string, of needs.Instance, value float64) {
	h.meter.Scope().Tagged(map[string]string{"target": of.ID}).Gauge(name).Update(value)
}

// countSent counts an attempt at a target that names a limit.
func (h *Host) countSent(target roster.Target, again bool) {
	kind := "first"
	if again {
		kind = "repeated"
	}
	h.countLimited(target, kind)
}

// countLimited counts a call to a target that names a limit, by kind.
func (h *Host) countLimited(target roster.Target, kind string) {
	h.mu.Lock()
	_, limited := h.needs.Limit(needs.Instance{ID: target.ID, Born: target.Born})
	h.mu.Unlock()
	if limited {
		h.meter.Scope().Tagged(map[string]string{"kind": kind}).Counter("calls_to_limited_targets").Inc(1)
	}
}

// MayCallEngine reports whether a call that is no request of a client may be made to an
// engine, and counts it if so. The kind names it. An essential call is held back only by
// a pause.
func (h *Host) MayCallEngine(id, kind string, essential bool) bool {
	target, ok := h.listedTargets()[id]
	if !ok {
		return true
	}
	h.mu.Lock()
	of, now := needs.Instance{ID: target.ID, Born: target.Born}, time.Now()
	allowed := h.needs.TakeCall(now, of) || essential && !h.needs.Paused(now, of)
	h.mu.Unlock()
	if allowed {
		h.countLimited(target, kind)
	}
	return allowed
}

// EngineAnswered records what an engine said of itself in the answer to such a call,
// which was sent at the given time.
func (h *Host) EngineAnswered(id string, sent time.Time, said call.Needs) {
	if target, ok := h.listedTargets()[id]; ok {
		h.observe(target, said, func(of needs.Instance) []needs.Change { return h.needs.ObserveCall(time.Now(), sent, of, said) })
	}
}
