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
	maxReplayBytes = 64 << 10
	copyBytes      = 32 << 10
	retryShare     = 0.1
	retryBurst     = 10
)

// stream serves a call that may be repeated: bodies flow both ways, and until
// the head of an answer is there the call may go to another target.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, c call) error {
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout())
	defer cancel()
	h.retries.earn()
	_ = http.NewResponseController(w).EnableFullDuplex()
	body, err := newSource(r)
	if err != nil {
		return err
	}
	last := noTarget()
	for tried, target := range h.ranked(c.service.Name) {
		if tried > 0 && (!body.repeatable() || ctx.Err() != nil || tried == maxTries || !h.retries.spend()) {
			break
		}
		if tried > 0 {
			h.options.Scope.Tagged(map[string]string{"service": c.service.Name}).Counter("service_retries").Inc(1)
		}
		err := h.relay(ctx, w, r, c, target, body)
		var failure *web.Error
		if !errors.As(err, &failure) {
			return err
		}
		h.count(c, failure)
		last = told(failure)
		if failure.Code == web.BadRequest {
			break
		}
	}
	return last
}

// relay sends a call to one target and passes the answer on.
func (h *Handler) relay(ctx context.Context, w http.ResponseWriter, r *http.Request, c call, target site.Target, body *source) error {
	end := h.ranking.Begin(target.Address)
	request := web.Request{Method: r.Method, URI: c.uri, Header: outgoing(r, c), Body: body.open(), Length: body.length}
	response, err := h.client.Open(ctx, target.Address, request, func() error {
		if h.options.Leaving(target.Name) {
			return errLeaving
		}
		return nil
	})
	if err != nil {
		end(time.Now(), reached(err) || ctx.Err() != nil)
		return err
	}
	defer end(time.Now(), true)
	defer func() { _ = response.Body.Close() }()
	copyHeader(w.Header(), incoming(response.Header))
	w.WriteHeader(response.StatusCode)
	if err := pass(w, response.Body); err != nil {
		h.options.Scope.Tagged(map[string]string{"service": c.service.Name}).Counter("service_answers_cut").Inc(1)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// pass copies an answer as it comes, so that a slow one reaches the caller in
// pieces. An answer that ends early is never closed as if it were whole.
func pass(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
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

// source is a request body that may be read again if it is small, or as long as
// nothing of it was read.
type source struct {
	body   io.Reader
	length int64
	whole  []byte
	mu     sync.Mutex
	read   bool
	turn   int
}

func newSource(r *http.Request) (*source, error) {
	s := &source{body: r.Body, length: r.ContentLength}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes {
		return s, nil
	}
	whole, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, refuse("bodyUnread", http.StatusBadRequest, "the body could not be read")
	}
	s.whole = whole
	return s, nil
}

// open returns the body for the next try; a body opened earlier gives no more.
func (s *source) open() io.Reader {
	if s.whole != nil {
		return bytes.NewReader(s.whole)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn++
	return &part{source: s, turn: s.turn}
}

// repeatable reports whether the whole body can be opened once more.
func (s *source) repeatable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole != nil || !s.read
}

// part is a streamed body as one try reads it.
type part struct {
	source *source
	turn   int
}

// Read implements [io.Reader].
func (p *part) Read(data []byte) (int, error) {
	p.source.mu.Lock()
	defer p.source.mu.Unlock()
	if p.turn != p.source.turn {
		return 0, io.ErrClosedPipe
	}
	p.source.read = true
	return p.source.body.Read(data)
}

// budget lets a share of the calls be sent again.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
