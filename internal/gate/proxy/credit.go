package proxy

import (
	"net/http"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/credit"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

// amountOf returns what a request counts as.
func amountOf(j *job) float64 {
	switch limit := j.workspace.Limit; {
	case !limit.Tokens:
		return 1
	case j.call.Size.Known:
		return max(j.call.Size.Tokens, 1)
	default:
		return max(float64(limit.UncachedTokens), 1)
	}
}

// takeCredit takes what a request counts as from its workspace's limit, and returns a
// refusal if there is too little.
func (h *Handler) takeCredit(j *job) error {
	if h.options.Limiter == nil || j.workspace.Limit == (plan.Limit{}) {
		return nil
	}
	switch d := h.options.Limiter.Admit(j.workspace.Name, j.priority, amountOf(j)).(type) {
	case credit.Admitted:
		j.credit, j.limited = d.Credit, d.Limited
	case credit.Rejected:
		j.basis = d.Basis
		longest := time.Duration(maxPauseShare * float64(time.Until(j.deadline)))
		return refusal("overLimit", http.StatusTooManyRequests, "the workspace is over its limit", min(d.After, max(longest, 0)))
	}
	return nil
}

// returnCredit gives back what a request took that did not run.
func (h *Handler) returnCredit(j *job) {
	if j.limited && j.ran == 0 {
		h.options.Limiter.Return(j.credit)
	}
}
