package proxy

import (
	"sync"
	"time"
)

// unbegun are the attempts of model requests whose response headers haven't arrived.
type unbegun struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

// mayRunAgain reports whether another attempt is allowed if the next one runs.
func (j *job) mayRunAgain() bool {
	return j.route.Idempotent() && j.ran+1 < max(j.route.Attempts, 1)
}

// add adds an attempt of a model request. A request starts to run with its first token,
// at which a stream's headers arrive; those of other responses arrive when it has ended.
// Without headers such a request may have begun, so that it is added only if it may run
// again.
func (u *unbegun) add(s *attempt) {
	if s.job.call.Prompt.Model == "" || s.job.route.Kind != streamKind && !s.job.mayRunAgain() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts[s] = struct{}{}
}

func (u *unbegun) remove(s *attempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.attempts, s)
}

// cancel cancels the attempts for which mayBegin returns false.
func (u *unbegun) cancel(mayBegin func(*attempt) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s := range u.attempts {
		if !mayBegin(s) {
			s.cancelled.Store(true)
			s.cancel()
			delete(u.attempts, s)
		}
	}
}

// CancelReplaced cancels the attempts that have not begun on weights on which no
// request may begin any more, whether these were replaced before or after the request
// was sent. Its caller calls it at short intervals.
func (h *Handler) CancelReplaced(now time.Time) {
	h.options.Lock.Lock()
	oldest := h.options.Picker.MinBeginVersions(now)
	h.options.Lock.Unlock()
	if len(oldest) > 0 {
		h.unbegun.cancel(func(s *attempt) bool { return s.chosen.Version >= oldest[s.job.call.Prompt.Model] })
	}
}

// CancelDeadly cancels the attempts that have not begun of requests like which have
// crashed targets since they were sent. Its caller calls it at short intervals.
func (h *Handler) CancelDeadly(now time.Time) {
	if !h.options.Deadly.RefusesAny(now) {
		return
	}
	h.unbegun.cancel(func(s *attempt) bool { return s.job.trial || !h.options.Deadly.Refused(now, s.job.features) })
}
