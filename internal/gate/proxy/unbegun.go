package proxy

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// maxScopeWait is how long a request may wait at its target with a cache scope that its
// workspace no longer has.
const maxScopeWait = time.Second

// attempts is a set of attempts in progress.
type attempts struct {
	mu  sync.Mutex
	set map[*attempt]struct{}
}

func (a *attempts) add(s *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set[s] = struct{}{}
}

func (a *attempts) remove(s *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.set, s)
}

func (a *attempts) all() []*attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.set))
}

// mayRunAgain reports whether another attempt is allowed if the next one runs.
func (j *job) mayRunAgain() bool {
	return j.route.Idempotent() && j.ran+1 < max(j.route.Attempts, 1)
}

// addUnbegun adds an attempt of a model request to those whose response headers haven't
// arrived. A request starts to run with its first token, at which a stream's headers
// arrive; those of other responses arrive when it has ended. Without headers such a
// request may have begun, so that it is added only if it may run again.
func (h *Handler) addUnbegun(s *attempt) {
	if s.job.call.Prompt.Model == "" || s.job.route.Kind != streamKind && !s.job.mayRunAgain() {
		return
	}
	h.unbegun.add(s)
}

// cancel cancels the attempts for which mayBegin returns false, and that still wait for
// their headers.
func (a *attempts) cancel(why cause, mayBegin func(*attempt) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.set {
		if !mayBegin(s) {
			s.cancelWaiting(why)
			delete(a.set, s)
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
		h.unbegun.cancel(replacedWeights, func(s *attempt) bool { return s.chosen.Version >= oldest[s.job.call.Prompt.Model] })
	}
}

// CancelDeadly cancels the attempts that have not begun of requests like which have
// crashed targets since they were sent. Its caller calls it at short intervals.
func (h *Handler) CancelDeadly(now time.Time) {
	if !h.options.Deadly.RefusesAny(now) {
		return
	}
	h.unbegun.cancel(deadlyRequest, func(s *attempt) bool { return s.job.trial || !h.options.Deadly.Refused(now, s.job.features) })
}

// CancelRescoped cancels the attempts that have waited for [maxScopeWait] and would begin
// with a cache scope that their workspace no longer has. Its caller calls it at short
// intervals.
func (h *Handler) CancelRescoped(now time.Time) {
	for _, s := range h.unbegun.all() {
		if now.Sub(s.began) >= maxScopeWait && !h.scopeInForce(s) {
			s.cancelWaiting(changedScope)
		}
	}
}
