package proxy

import "github.com/juju/errors"

const (
	// errTargetLeft is the error of requests that were held back, since their target
	// began to leave after it was chosen.
	errTargetLeft = errors.ConstError("the target is leaving")
	// errScopeChanged is the error of requests that were held back, since the cache scope of
	// their workspace has changed.
	errScopeChanged = errors.ConstError("the cache scope has changed")
	// errStopping is the error of requests that were held back, since this process stops.
	errStopping = errors.ConstError("this host stops")
)

// CancelUnsent ends the attempts of requests that wait for a connection to a target and
// may not be sent there any more: since it takes no more requests, or the cache scope of
// their workspace has changed, a target is chosen again, and since the process stops they
// are rejected. Its owner calls it when the list of targets, the configuration or
// [Options.Stopping] has changed.
func (h *Handler) CancelUnsent() {
	for _, s := range h.running.all() {
		if s.guard.Sent() {
			continue
		}
		if err := h.checkSend(s); err != nil && s.guard.Stop(err) {
			s.held.Store(true)
			s.cancel()
		}
	}
}

// checkSend returns why a request may not be sent to its target; nil if it may.
func (h *Handler) checkSend(s *attempt) error {
	switch {
	case !h.takesRequests(s.chosen.Target):
		return errTargetLeft
	case !h.scopeInForce(s):
		return errScopeChanged
	case h.stopping() && !s.mayHaveRun:
		return errStopping
	}
	return nil
}

// scopeInForce reports whether the cache scope that was chosen for an attempt is still that
// of its workspace.
func (h *Handler) scopeInForce(s *attempt) bool {
	h.options.Lock.Lock()
	defer h.options.Lock.Unlock()
	return h.options.Picker.ScopeInForce(s.chosen, s.job.workspace.Name)
}
