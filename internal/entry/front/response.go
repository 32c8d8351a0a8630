package front

import (
	"errors"
	"net/http"
	"os"
	"strconv"

	"github.com/cicadamill/cicadamill/internal/entry/chat"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// serveCompletion sends the complete response to a request without streaming.
func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request, j job.Job) {
	var answer chat.Accumulator
	err := h.runner.Run(r.Context(), j, func(event engine.Event) error {
		switch e := event.(type) {
		case engine.Accepted:
			setAnswerHeaders(w.Header(), e)
		case engine.Token:
			return invalidResponse(answer.Add(e.Data))
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

func invalidResponse(err error) error {
	if err == nil {
		return nil
	}
	return &fault.Error{Code: "badAnswer", Status: http.StatusBadGateway, Outcome: effect.Unknown{Reason: "the engine's answer can't be read"}, Message: err.Error()}
}

// streamCompletion sends the response as server-sent events.
func (h *Handler) streamCompletion(w http.ResponseWriter, r *http.Request, j job.Job) {
	out := newWriter(w, j, h.writeTimeout)
	err := h.runner.Run(r.Context(), j, out.handle)
	out.clearDeadline()
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.scope.Counter("slow_callers").Inc(1)
		panic(http.ErrAbortHandler)
	case !out.started:
		fault.Write(w, err)
	case out.writeError(err) != nil:
		panic(http.ErrAbortHandler)
	}
}

func setAnswerHeaders(header http.Header, e engine.Accepted) {
	header.Set("X-Cicadamill-Engine", e.Engine)
	header.Set("X-Cicadamill-Weight-Version", e.WeightVersion)
	header.Set("X-Cicadamill-Cached-Tokens", strconv.Itoa(e.CachedTokens))
	header.Set("X-Cicadamill-Prompt-Tokens", strconv.Itoa(e.PromptTokens))
}
