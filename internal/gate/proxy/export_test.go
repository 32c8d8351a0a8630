package proxy

// CancelWaiting cancels the attempts without response headers once wait returns.
func (h *Handler) CancelWaiting(wait func()) {
	h.unbegun.cancel(replacedWeights, func(*attempt) bool {
		wait()
		return false
	})
}

// RetryLabel returns the label of a reason for another attempt.
func RetryLabel(reason string) string { return retryLabel(reason) }
