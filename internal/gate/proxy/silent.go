package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
)

// successorInterval is how often a target is sought that takes a request over from a
// silent one.
const successorInterval = 100 * time.Millisecond

// replaceSilent cancels an attempt whose headers take much longer than expected, once
// another target takes the request over. Without one the request stays, since its target
// may still answer. It returns when the attempt is cancelled or the context ends.
func (h *Handler) replaceSilent(ctx context.Context, s *attempt) {
	for s.job.sent < maxSends && !h.handOver(s) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(successorInterval):
		}
	}
}

// handOver cancels an attempt in favour of another target and reports whether there was
// one, and a retry left for it.
func (h *Handler) handOver(s *attempt) bool {
	j := s.job
	choose := func(now time.Time) (pick.Dispatch, bool) {
		request := j.request(now)
		request.Excluded = append(slices.Clone(request.Excluded), s.chosen.Target.ID)
		d, ok := h.options.Picker.Choose(now, request).(pick.Dispatch)
		return d, ok
	}
	h.options.Lock.Lock()
	_, found := choose(time.Now())
	h.options.Lock.Unlock()
	if !found || !h.takeRetry(j.service.Name) {
		return false
	}
	h.options.Lock.Lock()
	defer h.options.Lock.Unlock()
	now := time.Now()
	d, found := choose(now)
	if !found || !s.phase.cancel(silentTarget) {
		return false
	}
	h.options.Picker.Take(now, d)
	j.successor = &d
	s.cancel()
	return true
}

// next returns the target of the next attempt.
func (h *Handler) next(ctx context.Context, j *job) (pick.Dispatch, error) {
	if d := j.successor; d != nil {
		j.successor = nil
		return *d, nil
	}
	return h.choose(ctx, j)
}
