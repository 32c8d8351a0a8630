package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/target/egress"
)

const (
	// maxSends limits the attempts of one request, including those that a
	// target refused.
	maxSends = 5
	// responseMargin is the time before the deadline reserved for returning the
	// response to the client.
	responseMargin = 5 * time.Millisecond
	// minTimeLeft is the remaining time below which a request is no longer sent.
	minTimeLeft = 10 * time.Millisecond
)

// result is the outcome of one attempt: [done], [notRun], [broken] or [clientGone].
type result interface{ result() }

// done means that the client has received the whole response.
type done struct{ status int }

// notRun means that the request certainly did not run at the target, so that
// sending it again is safe.
type notRun struct {
	reason string
	// held is true if this node held the request back, so that another attempt is no
	// retry.
	held bool
}

// broken means that the request may have run, and that the target gave no
// complete successful response.
type broken struct {
	reason string
	// connLost is true when the connection to the target broke.
	connLost bool
	// crashed is true when the target crashed as it began to answer, so that the
	// request may have crashed it.
	crashed bool
	// answer is the target's error response, if it sent a complete one.
	answer *answer
}

// clientGone means that the client has disconnected.
type clientGone struct{}

func (done) result()       {}
func (notRun) result()     {}
func (broken) result()     {}
func (clientGone) result() {}

// run sends a request to one target after the other until one answers it or no
// further attempt is allowed.
func (h *Handler) run(ctx, client context.Context, w http.ResponseWriter, j *job) ending {
	for {
		d, err := h.next(ctx, j)
		switch {
		case h.ended.Load() || h.stopping() && j.ran == 0:
			err = stopRefusal()
		case err == nil:
			err = h.checkDeadly(j)
		}
		if err != nil {
			return h.conclude(client, w, j, err)
		}
		var reason string
		held := false
		switch r := h.send(ctx, client, w, j, d).(type) {
		case done:
			return h.finished(j, r.status)
		case clientGone:
			return h.clientLeft(j)
		case notRun:
			reason, held = r.reason, r.held
		case broken:
			reason = r.reason
			if !h.mayRetry(j, r) {
				return h.endBroken(client, w, j, r)
			}
		}
		// A request that was held back for a reason of this host's may go there again.
		if !held || !h.takesRequests(d.Target) {
			j.excluded = append(j.excluded, d.Target.ID)
		}
		if j.sent >= maxSends || !held && j.successor == nil && !h.takeRetry(j.service.Name) {
			return h.conclude(client, w, j, h.exhausted(j, reason))
		}
		h.meters.count("second_sendings", retryLabel(reason))
	}
}

// mayRetry reports whether a request that may have run may be sent again.
func (h *Handler) mayRetry(j *job, b broken) bool {
	if b.crashed || !j.route.Idempotent() || j.ran >= max(j.route.Attempts, 1) {
		return false
	}
	return b.answer == nil || !j.stream.begun
}

func (h *Handler) exhausted(j *job, reason string) error {
	if j.ran > 0 {
		return refusal("targetBroken", http.StatusBadGateway, "the targets failed: "+reason, 0)
	}
	return refusal("busy", http.StatusServiceUnavailable, "no target took the request: "+reason, h.retryAfter(j))
}

// retryAfter returns the Retry-After of a refusal. It is randomized, so that
// clients refused at the same time don't retry at the same time.
func (h *Handler) retryAfter(j *job) time.Duration {
	left := time.Until(j.deadline)
	return time.Duration((0.08 + 0.17*h.random()) * float64(max(left, 0)))
}

// maxPauseShare is the share of a client's time left up to which it heeds a Retry-After.
const maxPauseShare = 1.0 / 3

// refusalPause returns the Retry-After of a refusal by the picker. A firm one is only
// extended at random, so that clients don't return at the same time.
func (h *Handler) refusalPause(j *job, d pick.Refuse) time.Duration {
	if !d.Firm {
		return min(d.RetryAfter, h.retryAfter(j))
	}
	longest := time.Duration(maxPauseShare * float64(time.Until(j.deadline)))
	return min(d.RetryAfter+time.Duration(h.random()*float64(d.RetryAfter)/4), max(longest, 0))
}

// attempt is one attempt to run a request at one target.
type attempt struct {
	job    *job
	chosen pick.Dispatch
	run    *pick.Run
	guard  *egress.Guard
	began  time.Time
	cancel context.CancelFunc
	// first is the time to the first event; zero until it arrives.
	first time.Duration
	// eventAt is when the last event arrived, pause the longest time between two events.
	eventAt time.Time
	pause   time.Duration
	// headersAt is when the response headers arrived; zero until then.
	headersAt time.Time
	// survived is true once the target is known to have outlived the beginning of its
	// answer.
	survived bool
	end      pick.Outcome
	phase    phase
	// mayHaveRun is true if an attempt before this one may have run.
	mayHaveRun bool
	// held is true if the request was held back before its first byte; see
	// [Handler.CancelUnsent].
	held atomic.Bool
}

// send makes one attempt: it sends a request to a target, forwards the response
// to the client and reports the outcome to Picker and Deadly.
func (h *Handler) send(ctx, client context.Context, w http.ResponseWriter, j *job, d pick.Dispatch) result {
	timeLeft := time.Until(j.deadline) - responseMargin
	if timeLeft < minTimeLeft {
		return notRun{reason: "no time left"}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &attempt{job: j, chosen: d, mayHaveRun: j.ran > 0, began: time.Now(), cancel: cancel, end: pick.Cancelled}
	s.guard = egress.NewJudged(func() error {
		if err := h.checkSend(s); err != nil {
			s.held.Store(true)
			return err
		}
		return ctx.Err()
	})
	defer s.guard.Judge()
	h.running.add(s)
	defer h.running.remove(s)
	if h.ended.Load() {
		cancel()
	}
	h.options.Lock.Lock()
	s.run = h.options.Picker.Start(s.began, j.request(s.began), d)
	h.options.Lock.Unlock()
	if j.sent == 0 {
		h.countFirstAttempt(j.service.Name)
	}
	h.options.OnSend(d.Target, j.sent > 0)
	j.sent++
	r := h.exchange(ctx, client, w, s, timeLeft)
	ended := time.Now()
	if _, clean := r.(notRun); !clean && s.guard.Sent() {
		j.ran++
	}
	h.options.Lock.Lock()
	h.options.Picker.Finish(time.Now(), s.run, s.end)
	h.wake(ended, j.service.Name)
	h.options.Lock.Unlock()
	h.logAttempt(s, r)
	switch r := r.(type) {
	case broken:
		r.crashed = h.mayHaveCrashed(client, s, r, ended)
		return r
	case done:
		if isAnswer(s, r) {
			h.recordSurvival(s)
		}
	case notRun, clientGone:
	}
	return r
}

// takesRequests reports whether a target that was chosen before may still get requests.
func (h *Handler) takesRequests(target roster.Target) bool {
	h.options.Lock.Lock()
	defer h.options.Lock.Unlock()
	return h.options.Picker.TakesRequests(target.ID, target.Born)
}

// exchange sends the request and, depending on the response's status and headers,
// forwards the response or classifies the failure.
func (h *Handler) exchange(ctx, client context.Context, w http.ResponseWriter, s *attempt, timeLeft time.Duration) result {
	request := h.encode(ctx, s, timeLeft)
	stop := h.cancelUnbegun(ctx, s)
	response, err := h.options.Pool.Send(request, s.chosen.Target, h.connShare(s.job), s.guard)
	stop()
	if err != nil {
		// An answer may have come that nobody has seen.
		s.guard.Retire()
		return h.classifyError(client, s, err)
	}
	defer func() { _ = response.Body.Close() }()
	if !s.phase.begin() {
		s.guard.Retire()
		return h.classifyError(client, s, context.Canceled)
	}
	s.headersAt = time.Now()
	head := h.options.Codec.DecodeHeader(response.StatusCode, response.Header)
	h.observeNeeds(s, head)
	if head.WeightVersion > 0 && head.ID == s.job.call.ID {
		h.options.OnVersion(s.chosen.Target.ID, s.job.call.Prompt.Model, head.WeightVersion)
	}
	refused := head.NotRun || head.Misdirected
	if head.ID != s.job.call.ID || !refused && !head.Signed {
		// A late copy of this answer would pass for the one to the next request.
		s.guard.Retire()
	}
	s.guard.Judge()
	switch {
	case head.ID != "" && head.ID != s.job.call.ID:
		s.end = pick.Failed
		return broken{reason: "answer to another request"}
	case refused:
		s.end = pick.Rejected
		return notRun{reason: "refused with " + strconv.Itoa(response.StatusCode)}
	case !head.Signed || head.ID == "":
		s.end = pick.Failed
		return broken{reason: "answer without seal"}
	case response.StatusCode < http.StatusMultipleChoices && s.job.route.Kind == streamKind:
		return h.stream(client, w, s, response)
	default:
		return h.unary(client, w, s, response)
	}
}

// observeNeeds passes on what a target says of itself. An answer of another target at its
// address says nothing of it.
func (h *Handler) observeNeeds(s *attempt, head call.ResponseHeader) {
	if head.Misdirected {
		return
	}
	sent := s.began
	if head.ID != s.job.call.ID {
		sent = time.Time{}
	}
	h.options.OnNeeds(s.chosen.Target, sent, head.Needs)
}

// classifyError classifies an error that occurred before the response headers.
func (h *Handler) classifyError(client context.Context, s *attempt, err error) result {
	switch {
	case client.Err() != nil:
		return clientGone{}
	case s.held.Load():
		return notRun{reason: "held back", held: true}
	case s.phase.cause() != 0:
		if s.phase.cause() == silentTarget {
			s.end = pick.Unreachable
		}
		if !s.guard.Sent() {
			return notRun{reason: s.phase.cause().String()}
		}
		return broken{reason: s.phase.cause().String()}
	case !s.guard.Sent():
		s.end = pick.Unreachable
		return notRun{reason: "not reached: " + reasonOf(err)}
	default:
		s.end = pick.Unreachable
		return broken{reason: "no answer: " + reasonOf(err), connLost: isConnError(err)}
	}
}

func (h *Handler) encode(ctx context.Context, s *attempt, timeLeft time.Duration) *http.Request {
	j, d := s.job, s.chosen
	resume := j.call.ResumeAfter
	if j.stream.last != "" {
		resume = j.stream.last
	}
	urgency := -1
	if j.call.Prompt.Model != "" {
		urgency = min(j.priority, maxUrgency)
	}
	header := h.options.Codec.Encode(j.call, call.Forward{
		Instance: d.Target.ID, TimeLeft: timeLeft, Workspace: j.workspace.Name, Scope: d.Scope, FetchFrom: d.FetchFrom,
		SaveTo: d.SaveTo, WeightVersion: d.Version, Urgency: urgency, ResumeAfter: resume,
	})
	request := &http.Request{
		Method: j.call.Method, Host: j.call.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: requestURL(d.Target.Address, j.call.Path),
	}
	if len(j.call.Body) > 0 {
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(j.call.Body)), nil }
		request.Body = io.NopCloser(bytes.NewReader(j.call.Body))
		request.ContentLength = int64(len(j.call.Body))
	}
	return request.WithContext(ctx)
}

// maxUrgency is the highest urgency value that engines accept.
const maxUrgency = plan.LowestRank

// connShare returns this node's share of the connections allowed to a target.
func (h *Handler) connShare(j *job) int {
	return j.service.MaxConns / max(h.options.Fleet.Nodes(), 1)
}

// cancelUnbegun lets an attempt be cancelled until its response headers arrive: if it may
// be retried, when they take much longer than expected and another target takes the
// request; in any case when the target's weights may no longer answer. The returned
// function ends that.
func (h *Handler) cancelUnbegun(ctx context.Context, s *attempt) func() {
	h.addUnbegun(s)
	if !s.job.mayRunAgain() {
		return func() { h.unbegun.remove(s) }
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	silent := time.AfterFunc(max(2*s.job.route.Objective, 3*s.chosen.Expected), func() {
		defer close(ended)
		h.replaceSilent(ctx, s)
	})
	return func() {
		h.unbegun.remove(s)
		cancel()
		if !silent.Stop() {
			<-ended
		}
	}
}

// isConnError reports whether an error means a broken connection, as opposed to a
// cancellation or timeout.
func isConnError(err error) bool {
	return !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	default:
		return err.Error()
	}
}
