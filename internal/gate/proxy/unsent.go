package proxy

import "github.com/juju/errors"

const (
	// errTargetLeft is the error of requests that were held back, since their target
	// began to leave after it was chosen.
	errTargetLeft = errors.ConstError("the target is leaving")
	// errStopping is the error of requests that were held back, since this process stops.
	errStopping = errors.ConstError("this host stops")
)

// CancelUnsent ends the attempts of requests that wait for a connection to a target and
// may not be sent there any more: since it takes no more requests they move on to another
// one, and since the process stops they are rejected. Its owner calls it when the list of
// targets has changed, and when [Options.Stopping] has.
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
	case h.stopping() && !s.mayHaveRun:
		return errStopping
	}
	return nil
}
