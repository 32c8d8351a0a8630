package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/gate/budget"
	"github.com/cicadamill/cicadamill/internal/gate/event"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

const streamKind = plan.Stream

// maxResponseBytes limits a buffered response.
const maxResponseBytes = 8 << 20

// answer is a complete response from a target.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// position is how much of a streamed response the client has received.
type position struct {
	// begun is true once the response headers have been sent.
	begun bool
	// last is the ID of the last event sent.
	last string
}

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without the hop-by-hop ones.
func EndToEnd(all http.Header) http.Header {
	header := all.Clone()
	for _, field := range all.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return header
}

// unary buffers a response and forwards it once it is complete.
func (h *Handler) unary(client context.Context, w http.ResponseWriter, s *attempt, response *http.Response) result {
	body, release, err := h.options.Memory.ReadAll(response.Body, budget.Answer, maxResponseBytes)
	defer release()
	var tooLarge *budget.TooLargeError
	var exhausted *budget.ExhaustedError
	switch {
	case client.Err() != nil:
		return clientGone{}
	case errors.As(err, &tooLarge), errors.As(err, &exhausted):
		s.end = pick.Failed
		return broken{reason: err.Error()}
	case err != nil:
		s.end = pick.Failed
		return broken{reason: "answer broken off: " + reasonOf(err), connLost: isConnError(err)}
	}
	complete := &answer{status: response.StatusCode, header: EndToEnd(response.Header), body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		s.end = pick.Failed
		return broken{reason: "failure " + strconv.Itoa(response.StatusCode), answer: complete}
	}
	s.end = pick.Completed
	if s.job.stream.begun {
		return broken{reason: "answer without events"}
	}
	h.write(w, s.job, complete)
	return done{status: complete.status}
}

// write sends a target's response to the client unchanged.
func (h *Handler) write(w http.ResponseWriter, j *job, a *answer) {
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if j.call.Method != http.MethodHead {
		_, _ = w.Write(a.body)
	}
}

// stream forwards each server-sent event once it has arrived completely.
func (h *Handler) stream(client context.Context, w http.ResponseWriter, s *attempt, response *http.Response) result {
	resize, release := h.options.Memory.Hold(budget.Answer)
	defer release()
	events := event.NewWithin(response.Body, resize)
	controller := http.NewResponseController(w)
	for {
		next, err := events.Next()
		if err != nil {
			return h.endStream(client, w, s, response, err)
		}
		if s.outlivedBeginning(time.Now()) {
			h.recordSurvival(s)
		}
		if s.first == 0 {
			h.firstEvent(s)
		}
		s.recordEvent(time.Now())
		if err := h.forwardEvent(w, s, response, next); err != nil {
			return clientGone{}
		}
		if events.Buffered() {
			continue
		}
		if err := controller.Flush(); err != nil {
			return clientGone{}
		}
	}
}

// endStream classifies the end of a target's event stream. The stream is complete
// only if it ends cleanly after a complete event.
func (h *Handler) endStream(client context.Context, w http.ResponseWriter, s *attempt, response *http.Response, err error) result {
	switch {
	case client.Err() != nil:
		return clientGone{}
	case errors.Is(err, io.EOF):
		if !s.job.stream.begun {
			h.beginStream(w, s.job, response)
		}
		s.end = pick.Completed
		return done{status: response.StatusCode}
	default:
		if s.job.stream.begun {
			// Deliver the complete events even if no retry follows.
			_ = http.NewResponseController(w).Flush()
		}
		s.end = pick.Failed
		var exhausted *budget.ExhaustedError
		ownLimit := errors.As(err, &exhausted) || errors.Is(err, event.ErrTooLarge)
		return broken{reason: "stream broken off: " + reasonOf(err), connLost: isConnError(err) && !ownLimit}
	}
}

// forwardEvent sends one event to the client.
func (h *Handler) forwardEvent(w http.ResponseWriter, s *attempt, response *http.Response, next event.Event) error {
	j := s.job
	if version, ok := h.options.Codec.EventVersion(next.Raw); ok {
		h.options.OnVersion(s.chosen.Target.ID, j.call.Prompt.Model, version)
	}
	if !j.stream.begun {
		h.beginStream(w, j, response)
	}
	if _, err := w.Write(next.Raw); err != nil {
		return err
	}
	if next.ID != "" {
		j.stream.last = next.ID
	}
	return nil
}

func (h *Handler) beginStream(w http.ResponseWriter, j *job, response *http.Response) {
	j.stream.begun = true
	header := w.Header()
	for name, values := range EndToEnd(response.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	w.WriteHeader(response.StatusCode)
}

// recordEvent records the arrival of an event.
func (s *attempt) recordEvent(now time.Time) {
	if !s.eventAt.IsZero() {
		s.pause = max(s.pause, now.Sub(s.eventAt))
	}
	s.eventAt = now
}

func (h *Handler) firstEvent(s *attempt) {
	now := time.Now()
	s.first = now.Sub(s.began)
	h.options.Lock.Lock()
	h.options.Picker.FirstToken(now, s.run)
	h.wake(now, s.job.service.Name)
	h.options.Lock.Unlock()
	h.meters.record("first_event", s.job.route.Name, now.Sub(s.job.arrived))
	h.meters.recordRatio("first_event_expected_ratio", s.job.route.Name, s.chosen.Expected, s.first)
}

// endBroken ends a request that may have run and may not be retried.
func (h *Handler) endBroken(client context.Context, w http.ResponseWriter, j *job, b broken) ending {
	if client.Err() != nil {
		return h.clientLeft(j)
	}
	if b.answer != nil && !j.stream.begun {
		h.write(w, j, b.answer)
		return h.finished(j, b.answer.status)
	}
	status := http.StatusBadGateway
	if !time.Now().Before(j.deadline.Add(-responseMargin)) {
		status = http.StatusGatewayTimeout
	}
	return h.refuse(w, j, &fault.Error{
		Code: "targetBroken", Status: status, Outcome: effect.Unknown{Reason: b.reason}, Message: "the target gave no whole answer",
	})
}

// conclude ends a request for which no target could be selected or no retry was
// left.
func (h *Handler) conclude(client context.Context, w http.ResponseWriter, j *job, err error) ending {
	if client.Err() != nil {
		return h.clientLeft(j)
	}
	var known *fault.Error
	if !errors.As(err, &known) {
		known = refusal("tooLate", http.StatusServiceUnavailable, "no target was free in time", 0)
	}
	if j.ran > 0 {
		known = &fault.Error{
			Code: "targetBroken", Status: http.StatusBadGateway, Outcome: effect.Unknown{Reason: "may have run"},
			Message: "no target gave a whole answer",
		}
	}
	return h.refuse(w, j, known)
}

// refuse sends an error response generated by this node. A stream that has begun
// is aborted instead, so that the client can't mistake it for a complete one.
func (h *Handler) refuse(w http.ResponseWriter, j *job, err error) ending {
	known := fault.From(err)
	h.meters.count("requests_refused", known.Code)
	h.logRefusal(j, known)
	if j.stream.begun {
		return ending{}
	}
	body := fault.Encode(known)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(fault.CodeHeader, known.Code)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if known.RetryAfter > 0 {
		header.Set("Retry-After", h.options.Codec.RetryAfter(known.RetryAfter))
	}
	w.WriteHeader(known.Status)
	_, _ = io.Copy(w, bytes.NewReader(body))
	return answered
}

// clientLeft records that the client disconnected before it had the complete
// response.
func (h *Handler) clientLeft(j *job) ending {
	h.meters.count("requests_left", "client")
	h.options.Logger.Info("client left", "request", j.call.ID, "route", j.route.Name, "sendings", j.sent, "ran", j.ran,
		"lastEvent", j.stream.last, "tookMs", time.Since(j.arrived).Milliseconds())
	return ending{}
}

// finished records that the client has the whole answer of a target.
func (h *Handler) finished(j *job, status int) ending {
	h.meters.count("requests_answered", strconv.Itoa(status))
	h.meters.record("request_time", j.route.Name, time.Since(j.arrived))
	return answered
}
