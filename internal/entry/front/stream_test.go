package front_test

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
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// scriptedRunner sends the same events for every request.
type scriptedRunner struct {
	chunks       []string
	err          error
	jobs         chan job.Job
	omitAccepted bool
}

func (s scriptedRunner) Run(_ context.Context, j job.Job, sink func(engine.Event) error) error {
	s.jobs <- j
	for offset, chunk := range s.chunks {
		if offset == 0 && !s.omitAccepted {
			if err := sink(engine.Accepted{Engine: "e", WeightVersion: "1"}); err != nil {
				return err
			}
		}
		if err := sink(engine.Token{Offset: j.Offset + offset, Data: []byte(chunk)}); err != nil {
			return err
		}
	}
	if s.err != nil {
		return s.err
	}
	return sink(engine.Done{})
}

func streamConfig() site.Config {
	return site.Config{
		Models: []site.Model{{Name: "m", WeightVersion: "1", BlockTokens: 4, Adapters: []site.Adapter{{Name: "x", Version: "3"}}}},
		Applications: []site.Application{
			{Name: "p", Model: "m", Engines: []string{"e"}}, {Name: "q", Model: "m", Adapter: "x", Engines: []string{"e"}},
		},
		Workspaces: []site.Workspace{{Name: "w", KeyHashes: []string{auth.Hash("k")}, Applications: []string{"p", "q"}}},
	}
}

func serve(t *testing.T, s scriptedRunner, options ...front.Option) string {
	t.Helper()
	server := httptest.NewServer(front.New("n", streamConfig, s, options...))
	t.Cleanup(server.Close)
	return server.URL
}

func post(t *testing.T, url, body, lastID string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer k")
	if lastID != "" {
		request.Header.Set("Last-Event-ID", lastID)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(answer)
}

const streamed = `{"model":"p","stream":true,"messages":[{"role":"user","content":"hi"}]}`

func TestStreamEnds(t *testing.T) {
	failure := &fault.Error{Code: "broken", Status: 503, Outcome: effect.Unknown{}, Message: "cut"}
	tests := map[string]struct {
		chunks []string
		err    error
		status int
		want   []string
		not    string
	}{
		"whole":                {chunks: []string{`{"a":1}`, `{"a":2}`}, status: 200, want: []string{"data: {\"a\":1}\n\n", ".1\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"}, not: "error"},
		"fails after a chunk":  {chunks: []string{`{"a":1}`}, err: failure, status: 200, want: []string{"event: error\ndata: {\"error\":{\"code\":\"broken\""}, not: "[DONE]"},
		"fails before a chunk": {err: failure, status: 503, want: []string{`"ran":"unknown"`}, not: "[DONE]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			url := serve(t, scriptedRunner{chunks: test.chunks, err: test.err, jobs: make(chan job.Job, 1)})
			response, answer := post(t, url, streamed, "")
			assert.Equal(t, test.status, response.StatusCode)
			for _, part := range test.want {
				assert.Contains(t, answer, part)
			}
			assert.NotContains(t, answer, test.not)
		})
	}
}

func TestEventIDsDoNotNeedAccepted(t *testing.T) {
	_, named := post(t, serve(t, scriptedRunner{chunks: []string{`{}`}, jobs: make(chan job.Job, 1)}), streamed, "")
	_, unnamed := post(t, serve(t, scriptedRunner{chunks: []string{`{}`}, jobs: make(chan job.Job, 1), omitAccepted: true}), streamed, "")
	assert.Equal(t, named, unnamed)
}

func TestReconnect(t *testing.T) {
	first := serve(t, scriptedRunner{chunks: []string{`{}`, `{}`, `{}`}, jobs: make(chan job.Job, 1)})
	_, answer := post(t, first, streamed, "")
	var id string
	for line := range strings.Lines(answer) {
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = strings.TrimSpace(value)
		}
	}
	tests := map[string]struct {
		id, body string
		status   int
		code     string
	}{
		"same request, other node": {id: id, body: streamed, status: 200},
		"other body":               {id: id, body: strings.Replace(streamed, "hi", "ho", 1), status: 409, code: "notResumable"},
		"other application":        {id: id, body: strings.Replace(streamed, `"p"`, `"q"`, 1), status: 409, code: "notResumable"},
		"other weights":            {id: "2" + id[1:], body: streamed, status: 409, code: "notResumable"},
		"invalid event ID":         {id: "seventeen", body: streamed, status: 400, code: "badRequest"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			other := scriptedRunner{chunks: []string{`{}`}, jobs: make(chan job.Job, 1)}
			response, answer := post(t, serve(t, other), test.body, test.id)
			assert.Equal(t, test.status, response.StatusCode)
			if test.code != "" {
				assert.Contains(t, answer, test.code)
				assert.Empty(t, other.jobs)
				return
			}
			assert.Equal(t, 3, (<-other.jobs).Offset)
			assert.Contains(t, answer, id[:len(id)-1]+"3\n")
		})
	}
}

func TestAdapterVersionIsPartOfItsName(t *testing.T) {
	s := scriptedRunner{jobs: make(chan job.Job, 1)}
	post(t, serve(t, s), strings.Replace(streamed, `"p"`, `"q"`, 1), "")
	assert.Equal(t, "x@3", (<-s.jobs).Adapter)
}

// TestSlowCallerIsCutOff checks the write timeout with a caller that never reads.
// The stream is endless, so the handler returns only through the timeout.
func TestSlowCallerIsCutOff(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	ended := make(chan error, 1)
	runner := endlessRunner{ended: ended}
	server := httptest.NewServer(front.New("n", streamConfig, runner, front.WithScope(scope), front.WithWriteTimeout(20*time.Millisecond)))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(streamed))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer k")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	assert.Error(t, <-ended)
	_, err = io.Copy(io.Discard, response.Body)
	assert.Error(t, err, "a truncated stream must not look complete")
	require.NoError(t, response.Body.Close())
	server.Close()
	assert.EqualValues(t, 1, scope.Snapshot().Counters()["slow_callers+"].Value())
}

type endlessRunner struct{ ended chan<- error }

func (e endlessRunner) Run(_ context.Context, _ job.Job, sink func(engine.Event) error) error {
	chunk := []byte(fmt.Sprintf("%q", strings.Repeat("x", 64<<10)))
	for offset := 0; ; offset++ {
		if err := sink(engine.Token{Offset: offset, Data: chunk}); err != nil {
			e.ended <- err
			return err
		}
	}
}
