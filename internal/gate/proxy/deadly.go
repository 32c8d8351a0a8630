package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

const (
	// crashRetryAfter is the Retry-After of a request that is refused because requests
	// like it crash targets. It leaves time to find out whether that is still so.
	crashRetryAfter = 30 * time.Second
	// beginning is how long after the first event of an answer a target may still crash
	// because of the request.
	beginning = 200 * time.Millisecond
)

// featuresOf returns the digest of a request, its prompt included, and the hashes of its
// shared parts.
func featuresOf(j *job) poison.Request {
	seed := xxh3.HashString(j.workspace.Name + "\x00" + j.call.Path)
	for _, p := range j.call.Prompt.Parts {
		seed = xxh3.HashStringSeed(p.ID, seed)
	}
	r := poison.Request{Digest: xxh3.HashSeed(j.call.Body, seed)}
	for _, p := range j.call.Prompt.Shared() {
		r.Parts = append(r.Parts, xxh3.HashString(p.ID))
	}
	return r
}

// checkDeadly returns a refusal if requests like this one crash targets.
func (h *Handler) checkDeadly(j *job) error {
	now := time.Now()
	if j.trial && j.sent == 0 || !h.options.Deadly.Refused(now, j.features) {
		return nil
	}
	if j.sent == 0 && h.options.Deadly.Trial(now, j.features) {
		j.trial = true
		return nil
	}
	return refusal("crashRequest", http.StatusServiceUnavailable, "requests like this one crash every target that runs them", crashRetryAfter)
}

// mayHaveCrashed records that an attempt broke as its target began to answer, and
// reports whether the target has crashed. Only requests whose answer had begun may be
// the cause; the others had not run yet.
func (h *Handler) mayHaveCrashed(client context.Context, s *attempt, b broken, ended time.Time) bool {
	headers := !s.headersAt.IsZero()
	if !b.connLost || s.outlivedBeginning(ended) {
		return false
	}
	return h.options.Deadly.Broke(context.WithoutCancel(client), s.job.features, s.chosen.Target, headers) && headers
}

// isAnswer reports whether a target has answered a request: a success, of which a stream
// has an event. An engine may refuse the request or end before it gets to the part that
// crashes it.
func isAnswer(s *attempt, r done) bool {
	return r.status < http.StatusMultipleChoices && (s.job.route.Kind != streamKind || s.first > 0)
}

// outlivedBeginning reports whether the target was still there some time after the
// first event.
func (s *attempt) outlivedBeginning(now time.Time) bool {
	return s.first > 0 && now.Sub(s.began.Add(s.first)) > beginning
}

// recordSurvival records that the target outlived the beginning of its answer.
func (h *Handler) recordSurvival(s *attempt) {
	if s.survived {
		return
	}
	s.survived = true
	h.options.Deadly.Answered(time.Now(), s.headersAt, s.job.features)
}
