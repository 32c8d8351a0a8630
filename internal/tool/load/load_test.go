package load_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/entry/chat"
	"github.com/cicadamill/cicadamill/internal/standin/words"
	"github.com/cicadamill/cicadamill/internal/tool/load"
)

const chunks = 4

// faultyRouter simulates a router with one fault.
type faultyRouter struct {
	fault string
}

func (s faultyRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	request, _ := chat.Parse(body)
	answer := words.New(request.Prompt, "1", "")
	w.Header().Set("X-Cicadamill-Weight-Version", "1")
	switch s.fault {
	case "refuses":
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"code":"busy","ran":"notRun"}}`)
		return
	case "bare failure":
		w.WriteHeader(http.StatusBadGateway)
		return
	case "other answer":
		answer = words.New([]byte("other"), "1", "")
	}
	from := 0
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		_, _ = fmt.Sscanf(id, "1.0.%d", &from)
		from++
	}
	for offset := from; offset < chunks; offset++ {
		id := offset
		switch {
		case s.fault == "repeats" && offset == 2:
			id = 1
		case s.fault == "skips" && offset == 2:
			continue
		case s.fault == "no end" && offset == 2:
			return
		case s.fault == "disconnects" && offset == 2 && from == 0:
			panic(http.ErrAbortHandler)
		case s.fault == "error event" && offset == 2:
			_, _ = io.WriteString(w, "event: error\ndata: {\"error\":{\"code\":\"broken\",\"ran\":\"unknown\"}}\n\n")
			return
		}
		_, _ = fmt.Fprintf(w, "id: 1.0.%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, answer.Word(offset))
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func TestViolationsAreReported(t *testing.T) {
	tests := map[string]struct {
		broken, outcome, refusal string
	}{
		"none":         {outcome: "checked"},
		"disconnects":  {outcome: "reconnects"},
		"refuses":      {refusal: "busy/notRun"},
		"error event":  {refusal: "broken/unknown"},
		"bare failure": {broken: "a failure without an error document"},
		"other answer": {broken: "the answer is not that of the request"},
		"repeats":      {broken: "a chunk was repeated, skipped or out of order"},
		"skips":        {broken: "a chunk was repeated, skipped or out of order"},
		"no end":       {broken: "the stream ended without an end or an error"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(faultyRouter{fault: name})
			defer server.Close()
			report := load.New(load.Options{
				Addresses: []string{server.Listener.Addr().String()}, Keys: []string{"k"}, Application: "p", Seed: 7,
				Rate: 100, Duration: 100 * time.Millisecond, MaxTokens: chunks, CheckAnswers: true, Timeout: time.Minute,
			}).Run(context.Background(), nil)
			assert.Equal(t, test.broken == "", report.OK(), report.Violations)
			for why := range report.Violations {
				assert.True(t, strings.HasPrefix(why, test.broken), why)
			}
			if test.outcome != "" {
				assert.Equal(t, report.Requests["chat"], report.Outcomes[test.outcome])
			}
			if test.refusal != "" {
				assert.Equal(t, report.Requests["chat"], report.Refusals[test.refusal])
			}
		})
	}
}
