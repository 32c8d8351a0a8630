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
	g := s.chosen
	h.options.Logger.Info("sent", "request", s.job.call.ID, "route", s.job.route.Name, "workspace", s.job.workspace.Name,
		"target", g.Target.ID, "weights", g.Version, "shared", g.Shared, "cached", g.Cached, "fetched", g.Fetched, "from", g.FetchFrom,
		"running", g.Load.Running, "prefill", g.Load.Prefill, "ageMs", g.Age.Milliseconds(), "expectedMs", g.Expected.Milliseconds(),
		"config", s.job.plan.Version, "sending", s.job.sent, "lastEvent", s.job.stream.last,
		"firstMs", s.first.Milliseconds(), "tookMs", time.Since(s.began).Milliseconds(), "outcome", outcome, "reason", reason)
}

// logRefusal logs a request that this node ended with an error of its own.
func (h *Handler) logRefusal(j *job, f *fault.Error) {
	config := uint64(0)
	if j.plan != nil {
		config = j.plan.Version
	}
	h.options.Logger.Info("refused", "request", j.call.ID, "route", j.route.Name, "workspace", j.workspace.Name, "config", config,
		"status", f.Status, "code", f.Code, "reason", f.Message, "ran", effect.Name(f.Outcome), "sendings", j.sent,
		"retryAfterMs", f.RetryAfter.Milliseconds(), "tookMs", time.Since(j.arrived).Milliseconds())
}
