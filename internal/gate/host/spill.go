package host

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/spill"
)

// updateShares computes the shares of requests that are sent to other data centres, logs
// those that have changed and updates the metrics.
func (h *Host) updateShares(now time.Time) {
	h.mu.Lock()
	changed := h.picker.UpdateShares(now)
	shares, sent := h.picker.Shares(), h.picker.TakeSent()
	h.mu.Unlock()
	for _, s := range changed {
		h.logger.Info("share of another data centre changed", "service", s.Service, "kind", s.Kind.String(), "to", s.To, "share", s.Share, "reason", string(s.Reason),
			"homeWaitMs", s.HomeWait.Milliseconds(), "awayWaitMs", s.AwayWait.Milliseconds(), "costMs", s.Cost.Milliseconds(),
			"homeAgeMs", s.HomeAge.Milliseconds(), "awayAgeMs", s.AwayAge.Milliseconds())
	}
	for _, s := range shares {
		h.recordShare(s)
	}
	for of, count := range sent {
		h.meter.Scope().Tagged(map[string]string{
			"service": of.Service, "kind": of.Kind.String(), "from": h.settings.DataCentre, "to": of.To, "reason": of.Reason,
		}).Counter("spill_requests").Inc(int64(count))
	}
}

// recordShare updates the gauges of a share. The gauge of its reason is one, those of all
// others are zero.
func (h *Host) recordShare(s spill.Share) {
	tags := func(reason string) map[string]string {
		all := map[string]string{"service": s.Service, "kind": s.Kind.String(), "from": h.settings.DataCentre, "to": s.To}
		if reason != "" {
			all["reason"] = reason
		}
		return all
	}
	h.meter.Scope().Tagged(tags("")).Gauge("spill_share").Update(s.Share)
	for _, reason := range spill.Reasons {
		value := 0.0
		if reason == s.Reason {
			value = 1
		}
		h.meter.Scope().Tagged(tags(string(reason))).Gauge("spill_reason").Update(value)
	}
}
