package proxy

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

// logAttempt logs one attempt: the figures behind the choice of its target, and
// its outcome.
func (h *Handler) logAttempt(s *attempt, r result) {
	outcome, reason := "answered", ""
	switch r := r.(type) {
	case notRun:
		outcome, reason = "notRun", r.reason
	case broken:
		outcome, reason = "broken", r.reason
	case clientGone:
		outcome = "clientGone"
	}
	d := s.chosen
	if b, ok := r.(broken); ok && b.connLost {
		h.logBroken(s)
	}
	h.options.Logger.Info("sent", "request", s.job.call.ID, "route", s.job.route.Name, "workspace", s.job.workspace.Name,
		"target", d.Target.ID, "weights", d.Version, "scope", d.Scope, "replacedMs", d.ReplacedFor.Milliseconds(), "shared", d.Shared, "cached", d.Cached, "fetched", d.Fetched, "from", d.FetchFrom,
		"holder", d.Holder.Target, "held", d.Holder.Tokens, "holderExpectedMs", d.Holder.Expected.Milliseconds(), "holderOverloaded", d.Holder.Overloaded,
		"running", d.Load.Running, "prefill", d.Load.Prefill, "ageMs", d.Age.Milliseconds(), "slowness", d.Slowness, "expectedMs", d.Expected.Milliseconds(),
		"config", s.job.plan.Version, "sending", s.job.sent, "lastEvent", s.job.stream.last,
		"firstMs", s.first.Milliseconds(), "pauseMs", s.pause.Milliseconds(), "tookMs", time.Since(s.began).Milliseconds(), "leftMs", time.Until(s.job.deadline).Milliseconds(),
		"held", s.held.Load(), "cancelled", s.phase.cause().String(), "outcome", outcome, "reason", reason, "rank", s.job.priority, "queuedMs", s.job.queue.waited.Milliseconds())
}

// logBroken logs what may have crashed the target of an attempt whose connection broke.
func (h *Handler) logBroken(s *attempt) {
	var parts []string
	for _, p := range s.job.call.Prompt.Shared() {
		parts = append(parts, p.ID)
	}
	h.options.Logger.Info("connection broke", "request", s.job.call.ID, "target", s.chosen.Target.ID, "parts", parts,
		"headers", !s.headersAt.IsZero(), "events", s.first > 0, "tookMs", time.Since(s.began).Milliseconds())
}

// logRefusal logs a request that this node ended with an error of its own.
func (h *Handler) logRefusal(j *job, f *fault.Error) {
	config := uint64(0)
	if j.plan != nil {
		config = j.plan.Version
	}
	fields := []any{"request", j.call.ID, "route", j.route.Name, "workspace", j.workspace.Name, "config", config,
		"status", f.Status, "code", f.Code, "reason", f.Message, "ran", effect.Name(f.Outcome), "sendings", j.sent,
		"begun", j.stream.begun, "lastEvent", j.stream.last, "leftMs", time.Until(j.deadline).Milliseconds(),
		"retryAfterMs", f.RetryAfter.Milliseconds(), "tookMs", time.Since(j.arrived).Milliseconds()}
	if q := j.queue; q.entered {
		fields = append(fields, "rank", j.priority, "queuedMs", q.waited.Milliseconds(), "level", q.basis.Level,
			"estimateMs", q.basis.Wait.Milliseconds(), "pressureAgeMs", q.basis.Age.Milliseconds())
	}
	if b := j.basis; b.Allowed > 0 {
		fields = append(fields, "limitShare", b.Share, "limitReach", b.Reach, "limitCredit", b.Amount, "limitUsed", b.Used,
			"limitAllowed", b.Allowed, "limitAgeMs", b.Age.Milliseconds())
	}
	h.options.Logger.Info("refused", fields...)
}
