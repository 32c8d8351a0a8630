package proxy

// CancelWaiting cancels the attempts without response headers once wait returns.
func (h *Handler) CancelWaiting(wait func()) {
	h.unbegun.cancel(replacedWeights, func(*attempt) bool {
		wait()
		return false
	})
}
