package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/target/web"
)

const (
	maxReplayBytes  = 64 << 10
	copyBufferBytes = 32 << 10
	retryRatio      = 0.1
	retryBurst      = 10
)

// serveIdempotent serves an idempotent call. The bodies are streamed, and until
// the header of a response has arrived, the call may be retried on another target.
func (h *Handler) serveIdempotent(w http.ResponseWriter, r *http.Request, c call) error {
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout())
	defer cancel()
	h.retries.deposit()
	_ = http.NewResponseController(w).EnableFullDuplex()
	body, err := newBodySource(r)
	if err != nil {
		return err
	}
	last := noTarget()
	for attempt, target := range h.rankedTargets(c.service.Name) {
		if attempt > 0 && (!body.repeatable() || ctx.Err() != nil || attempt == maxAttempts || !h.retries.withdraw()) {
			break
		}
		if attempt > 0 {
			h.options.Scope.Tagged(map[string]string{"service": c.service.Name}).Counter("service_retries").Inc(1)
		}
		err := h.relay(ctx, w, r, c, target, body)
		var failure *web.Error
		if !errors.As(err, &failure) {
			return err
		}
		h.countFailure(c, failure)
		last = callerError(failure)
		if failure.Code == web.BadRequest {
			break
		}
	}
	return last
}

// relay sends a call to one target and copies the response to the caller.
func (h *Handler) relay(ctx context.Context, w http.ResponseWriter, r *http.Request, c call, target site.Target, body *bodySource) error {
	end := h.ranking.Begin(target.Address)
	request := web.Request{Method: r.Method, URI: c.uri, Header: targetHeader(r, c), Body: body.open(), Length: body.length}
	response, err := h.client.CallRepeatable(ctx, target.Address, request, func() error {
		if h.options.Leaving(target.Name) {
			return errLeaving
		}
		return nil
	})
	if err != nil {
		end(time.Now(), targetReached(err) || ctx.Err() != nil)
		return err
	}
	defer end(time.Now(), true)
	defer func() { _ = response.Body.Close() }()
	copyHeader(w.Header(), callerHeader(response.Header))
	w.WriteHeader(response.StatusCode)
	if err := copyResponse(w, response.Body); err != nil {
		h.options.Scope.Tagged(map[string]string{"service": c.service.Name}).Counter("service_answers_cut").Inc(1)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// copyResponse copies a response body and flushes after each read, so that slow
// responses are not delayed. It returns an error if the body ends early, so that a
// truncated response is never terminated like a complete one.
func copyResponse(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return failed
			}
			_ = flusher.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodySource is a request body that can be read again if it is buffered, or while
// nothing of it has been read.
type bodySource struct {
	reader   io.Reader
	length   int64
	buffered []byte
	mu       sync.Mutex
	consumed bool
	attempt  int
}

func newBodySource(r *http.Request) (*bodySource, error) {
	s := &bodySource{reader: r.Body, length: r.ContentLength}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes {
		return s, nil
	}
	buffered, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, refuse("bodyUnread", http.StatusBadRequest, "the body could not be read")
	}
	s.buffered = buffered
	return s, nil
}

// open returns the body for the next attempt. Reads of a streamed body opened for
// an earlier attempt fail from then on.
func (s *bodySource) open() io.Reader {
	if s.buffered != nil {
		return bytes.NewReader(s.buffered)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt++
	return &attemptBody{body: s, attempt: s.attempt}
}

// repeatable reports whether the complete body can be opened again.
func (s *bodySource) repeatable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffered != nil || !s.consumed
}

// attemptBody is the streamed body of one attempt.
type attemptBody struct {
	body    *bodySource
	attempt int
}

// Read implements [io.Reader].
func (p *attemptBody) Read(data []byte) (int, error) {
	p.body.mu.Lock()
	defer p.body.mu.Unlock()
	if p.attempt != p.body.attempt {
		return 0, io.ErrClosedPipe
	}
	p.body.consumed = true
	return p.body.reader.Read(data)
}

// retryBudget limits retries to a share of the calls.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryRatio)
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
