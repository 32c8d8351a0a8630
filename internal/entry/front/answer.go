package front

import (
	"net/http"
	"strconv"

	"github.com/cicadamill/cicadamill/internal/entry/chat"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// whole answers a request that wants no stream.
func (h *Handler) whole(w http.ResponseWriter, r *http.Request, j job.Job) {
	var answer chat.Answer
	err := h.runner.Run(r.Context(), j, func(event engine.Event) error {
		switch e := event.(type) {
		case engine.Accepted:
			setAnswerHeaders(w.Header(), e)
		case engine.Token:
			return answer.Add(e.Data)
		}
		return nil
	})
	if err != nil {
		fault.Write(w, err)
		return
	}
	encoded, err := answer.Encode()
	if err != nil {
		fault.Write(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}

// stream answers a request with server-sent events.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, j job.Job) {
	out := &writer{w: w, flusher: http.NewResponseController(w)}
	err := h.runner.Run(r.Context(), j, out.event)
	if err == nil {
		return
	}
	if !out.begun {
		fault.Write(w, err)
		return
	}
	out.fail(err)
}

// writer encodes events for a caller. The head of the answer goes out with the
// first chunk, so that until then another engine may still take over.
type writer struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	begun   bool
	buffer  []byte
}

func (s *writer) event(event engine.Event) error {
	switch e := event.(type) {
	case engine.Accepted:
		if !s.begun {
			setAnswerHeaders(s.w.Header(), e)
		}
		return nil
	case engine.Token:
		return s.token(e)
	case engine.Done:
		return s.write(append(s.buffer[:0], "data: [DONE]\n\n"...))
	default:
		return nil
	}
}

func (s *writer) token(e engine.Token) error {
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(e.Offset), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, e.Data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.write(s.buffer)
}

// fail tells a caller who already has a part of the answer that no more comes.
func (s *writer) fail(err error) {
	data := append([]byte("event: error\ndata: "), fault.Encode(err)...)
	_ = s.write(append(data, "\n\n"...))
}

func (s *writer) write(data []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.flusher.Flush()
}

func setAnswerHeaders(header http.Header, e engine.Accepted) {
	header.Set("X-Cicadamill-Engine", e.Engine)
	header.Set("X-Cicadamill-Cached-Tokens", strconv.Itoa(e.CachedTokens))
	header.Set("X-Cicadamill-Prompt-Tokens", strconv.Itoa(e.PromptTokens))
}
