package proxy

import "github.com/juju/errors"

// errTargetLeft is the error of requests that were held back, since their target began to
// leave after it was chosen.
const errTargetLeft = errors.ConstError("the target is leaving")

// CancelUnsent moves requests that wait for a connection to a target on to another one
// if theirs takes no more requests. Its owner calls it when the list of targets has
// changed.
func (h *Handler) CancelUnsent() {
	for _, s := range h.running.all() {
		if s.guard.Sent() || h.takesRequests(s.chosen.Target) || !s.guard.Stop(errTargetLeft) {
			continue
		}
		s.leavingBefore.Store(true)
		s.cancel()
	}
}
