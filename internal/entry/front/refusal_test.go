package front_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// invalidChunkRunner sends a chunk that is not JSON.
type invalidChunkRunner struct{}

func (invalidChunkRunner) Run(_ context.Context, _ job.Job, sink func(engine.Event) error) error {
	if err := sink(engine.Accepted{Engine: "e"}); err != nil {
		return err
	}
	return sink(engine.Token{Data: []byte("SMTP ready")})
}

// failingBody is a request body whose reads fail.
type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func TestRefusalsHaveTheirCodes(t *testing.T) {
	const good = `{"model":"assistant","messages":[{"role":"user","content":"hi"}]}`
	tests := map[string]struct {
		body   io.Reader
		runner front.Runner
		status int
		code   string
		ran    string
	}{
		"not JSON":            {body: strings.NewReader("{"), status: http.StatusBadRequest, code: "badRequest", ran: "notRun"},
		"body read error":     {body: failingBody{}, status: http.StatusBadRequest, code: "bodyUnread", ran: "notRun"},
		"foreign application": {body: strings.NewReader(strings.Replace(good, "assistant", "claims", 1)), status: http.StatusNotFound, code: "unknownApplication", ran: "notRun"},
		"unknown application": {body: strings.NewReader(strings.Replace(good, "assistant", "none", 1)), status: http.StatusNotFound, code: "unknownApplication", ran: "notRun"},
		"invalid chunk":       {body: strings.NewReader(good), runner: invalidChunkRunner{}, status: http.StatusBadGateway, code: "badAnswer", ran: "unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runner := test.runner
			if runner == nil {
				runner = &recordingRunner{}
			}
			request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", test.body)
			request.Header.Set("Authorization", "Bearer key-m")
			answer := httptest.NewRecorder()
			front.New("node-1", config, runner).ServeHTTP(answer, request)
			var document struct {
				Error struct{ Code, Ran string }
			}
			require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &document), answer.Body.String())
			assert.Equal(t, test.status, answer.Code)
			assert.Equal(t, test.code, document.Error.Code)
			assert.Equal(t, test.ran, document.Error.Ran)
		})
	}
}
