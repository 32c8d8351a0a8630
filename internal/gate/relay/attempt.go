package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/target/guard"
)

const (
	// maxSendings bounds how often one request is sent, refusals included.
	maxSendings = 5
	// crowdWait is the part of the objective for which a request waits while all
	// targets have too much to do: long enough for a run to end, short enough for
	// the client to be told at once.
	crowdWait = 8
	// waitStep is how often a waiting request looks for a target again.
	waitStep = 15 * time.Millisecond
	// answerMargin is what the way back of an answer takes.
	answerMargin = 5 * time.Millisecond
	// minLeft is the least time with which sending a request makes sense.
	minLeft = 10 * time.Millisecond
)

// result is what became of one sending. It is one of [done], [notRun],
// [broken] or [gone].
type result interface{ result() }

// done means that the client has its answer.
type done struct{ status int }

// notRun means that the request certainly did not run at the target.
type notRun struct{ reason string }

// broken means that it may have run, and that the client has no whole answer.
type broken struct {
	reason string
	// lost is true when the target's connection broke.
	lost bool
	// answer is a whole failure of the target, if that is what came.
	answer *answer
}

// gone means that the client has left.
type gone struct{}

func (done) result()   {}
func (notRun) result() {}
func (broken) result() {}
func (gone) result()   {}

// run sends a request until a target has answered it or nothing more may be
// tried.
func (h *Handler) run(ctx, client context.Context, w http.ResponseWriter, j *job) {
	for {
		g, err := h.choose(ctx, j)
		if err != nil {
			h.conclude(client, w, j, err)
			return
		}
		var again string
		switch r := h.send(ctx, client, w, j, g).(type) {
		case done:
			h.finished(j, r.status)
			return
		case gone:
			h.left(j)
			return
		case notRun:
			again = r.reason
		case broken:
			again = r.reason
			if !h.mayGoOn(j, r) {
				h.giveUp(client, w, j, r)
				return
			}
		}
		j.excluded = append(j.excluded, g.Target.ID)
		if j.sent >= maxSendings || !h.mayRepeat(j.service.Name) {
			h.conclude(client, w, j, h.spent(j, again))
			return
		}
		h.meters.count("second_sendings", again)
	}
}

// mayGoOn reports whether a request that may have run may be sent once more.
func (h *Handler) mayGoOn(j *job, b broken) bool {
	if !j.route.Idempotent() || j.ran >= max(j.route.Attempts, 1) {
		return false
	}
	return b.answer == nil || !j.stream.begun
}

func (h *Handler) spent(j *job, reason string) error {
	if j.ran > 0 {
		return refusal("targetBroken", http.StatusBadGateway, "the targets failed: "+reason, 0)
	}
	return refusal("busy", http.StatusServiceUnavailable, "no target took the request: "+reason, h.pause(j))
}

// pause returns how long a refused client should wait, spread so that those
// refused together don't return together.
func (h *Handler) pause(j *job) time.Duration {
	left := time.Until(j.deadline)
	return time.Duration((0.08 + 0.17*h.seed()) * float64(max(left, 0)))
}

// choose finds a target. It waits while one may soon be free and the request can
// still be answered in time.
func (h *Handler) choose(ctx context.Context, j *job) (pick.Go, error) {
	began := time.Now()
	patience := min(j.route.Objective, time.Until(j.deadline)/2)
	for {
		now := time.Now()
		h.options.Lock.Lock()
		verdict := h.options.Picks.Choose(now, j.request(now))
		h.options.Lock.Unlock()
		switch v := verdict.(type) {
		case pick.Go:
			return v, nil
		case pick.Refuse:
			return pick.Go{}, refusal("busy", http.StatusServiceUnavailable, v.Reason, min(v.RetryAfter, h.pause(j)))
		case pick.Wait:
			if v.After > 0 {
				patience = min(patience, j.route.Objective/crowdWait)
			}
			if now.Sub(began) >= patience {
				return pick.Go{}, refusal("busy", http.StatusServiceUnavailable, v.Reason, h.pause(j))
			}
		}
		select {
		case <-ctx.Done():
			return pick.Go{}, ctx.Err()
		case <-time.After(waitStep):
		}
	}
}

// sending is one sending of a request to a target.
type sending struct {
	job    *job
	chosen pick.Go
	run    *pick.Run
	once   *guard.Once
	began  time.Time
	cancel context.CancelFunc
	// first is how long the first event took; zero before it.
	first time.Duration
	end   pick.End
}

// send passes a request to a target and its answer to the client.
func (h *Handler) send(ctx, client context.Context, w http.ResponseWriter, j *job, g pick.Go) result {
	left := time.Until(j.deadline) - answerMargin
	if left < minLeft {
		return notRun{reason: "no time left"}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &sending{job: j, chosen: g, once: guard.New(ctx.Err), began: time.Now(), cancel: cancel, end: pick.Cancelled}
	h.options.Lock.Lock()
	s.run = h.options.Picks.Start(s.began, j.request(s.began), g)
	h.options.Lock.Unlock()
	if j.sent == 0 {
		h.countFirst(j.service.Name)
	}
	j.sent++
	r := h.exchange(ctx, client, w, s, left)
	if _, clean := r.(notRun); !clean && s.once.Left() {
		j.ran++
	}
	h.options.Lock.Lock()
	h.options.Picks.Finish(time.Now(), s.run, s.end)
	switch r := r.(type) {
	case broken:
		if r.lost {
			h.options.Blame.Broke(time.Now(), j.digest, g.Target.ID)
		}
	case done:
		h.options.Blame.Worked(j.digest)
	case notRun, gone:
	}
	h.options.Lock.Unlock()
	h.logSending(s, r)
	return r
}

// exchange sends the request and takes the head of the answer.
func (h *Handler) exchange(ctx, client context.Context, w http.ResponseWriter, s *sending, left time.Duration) result {
	request := h.encode(ctx, s, left)
	stop := h.watchSilence(s)
	response, err := h.options.Pool.Send(request, s.chosen.Target, h.connShare(s.job), s.once)
	stop()
	if err != nil {
		return h.unanswered(client, s, err)
	}
	defer func() { _ = response.Body.Close() }()
	head := h.options.Codec.Head(response.StatusCode, response.Header)
	if head.WeightVersion > 0 && head.ID == s.job.call.ID {
		h.options.Seen(s.chosen.Target.ID, s.job.call.Prompt.Model, head.WeightVersion)
	}
	switch {
	case head.ID != "" && head.ID != s.job.call.ID:
		s.end = pick.Failed
		return broken{reason: "answer to another request"}
	case head.NotRun || head.OtherInstance:
		s.end = pick.Full
		return notRun{reason: "refused with " + strconv.Itoa(response.StatusCode)}
	case !head.Sealed || head.ID == "":
		s.end = pick.Failed
		return broken{reason: "answer without seal"}
	case response.StatusCode < http.StatusMultipleChoices && s.job.route.Kind == streamKind:
		return h.stream(client, w, s, response)
	default:
		return h.unary(client, w, s, response)
	}
}

// unanswered tells what an error before any answer means.
func (h *Handler) unanswered(client context.Context, s *sending, err error) result {
	switch {
	case client.Err() != nil:
		return gone{}
	case !s.once.Left():
		s.end = pick.Silent
		return notRun{reason: "not reached: " + reasonOf(err)}
	default:
		s.end = pick.Silent
		return broken{reason: "no answer: " + reasonOf(err), lost: isLost(err)}
	}
}

func (h *Handler) encode(ctx context.Context, s *sending, left time.Duration) *http.Request {
	j, g := s.job, s.chosen
	path, query, asked := strings.Cut(j.call.Path, "?")
	resume := j.call.ResumeAfter
	if j.stream.last != "" {
		resume = j.stream.last
	}
	urgency := -1
	if j.call.Prompt.Model != "" {
		urgency = min(j.priority, maxUrgency)
	}
	header := h.options.Codec.Encode(j.call, call.Send{
		Instance: g.Target.ID, Left: left, Workspace: j.workspace.Name, Scope: g.Scope, FetchFrom: g.FetchFrom,
		SaveTo: g.SaveTo, WeightVersion: g.Version, Urgency: urgency, ResumeAfter: resume,
	})
	request := &http.Request{
		Method: j.call.Method, Host: j.call.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: g.Target.Address, Opaque: path, RawQuery: query, ForceQuery: asked},
	}
	if len(j.call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(j.call.Body))
		request.ContentLength = int64(len(j.call.Body))
	}
	return request.WithContext(ctx)
}

// maxUrgency is the last rank that an engine knows.
const maxUrgency = 9

// connShare is this node's part of the connections that a target takes.
func (h *Handler) connShare(j *job) int {
	return j.service.MaxConns / max(h.options.Fleet.Nodes(), 1)
}

// watchSilence ends a sending that can be repeated when the target gives no sign
// of life for much longer than expected.
func (h *Handler) watchSilence(s *sending) func() {
	j := s.job
	if !j.route.Idempotent() || j.ran+1 >= max(j.route.Attempts, 1) {
		return func() {}
	}
	limit := max(2*j.route.Objective, 3*s.chosen.Expected)
	timer := time.AfterFunc(limit, s.cancel)
	return func() { timer.Stop() }
}

// isLost reports whether an error tells of a broken connection, not of time.
func isLost(err error) bool {
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
