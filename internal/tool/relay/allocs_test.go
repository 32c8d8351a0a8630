package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/node/flow"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

// maxAllocsPerEvent is the budget of allocations for each relayed event.
const maxAllocsPerEvent = 2

// cannedTransport answers every request with the same body, without a connection.
type cannedTransport string

// RoundTrip implements [http.RoundTripper].
func (c cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{"X-Engine": {"e"}, "X-Incarnation": {"1"}, "X-Weight-Version": {"1"}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader(string(c))), Request: r}, nil
}

// countingWriter is a [http.ResponseWriter] that counts and discards the body.
type countingWriter struct {
	header http.Header
	bytes  int
}

func (s *countingWriter) Header() http.Header { return s.header }
func (s *countingWriter) WriteHeader(int)     {}
func (s *countingWriter) Flush()              {}
func (s *countingWriter) Write(p []byte) (int, error) {
	s.bytes += len(p)
	return len(p), nil
}

// TestAllocationsPerEvent guards against allocations that grow with the length of a
// stream. It relays a long answer through all layers between the caller's and the
// engine's connection.
func TestAllocationsPerEvent(t *testing.T) {
	const events = 5000
	var answer strings.Builder
	for i := range events {
		fmt.Fprintf(&answer, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"}}]}\n\n", i)
	}
	answer.WriteString("data: [DONE]\n\n")
	client := remote.New("127.0.0.1:1", &http.Client{Transport: cannedTransport(answer.String())})
	cellLoop := loop.New(func(context.Context, string) {})
	require.NoError(t, cellLoop.Send(t.Context(), cell.Targets{All: []cell.Target{{Name: "e", Applications: []string{"p"}, Model: "m", Capacity: 1}}}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func(ctx context.Context) { done <- cellLoop.Serve(ctx) }(ctx)
	config := site.Config{
		Models:       []site.Model{{Name: "m", WeightVersion: "1", BlockTokens: 2000}},
		Applications: []site.Application{{Name: "p", Model: "m", Engines: []string{"e"}}},
		Workspaces:   []site.Workspace{{Name: "w", KeyHashes: []string{auth.Hash("key")}, Applications: []string{"p"}}},
	}
	runner := flow.New(cellLoop, func(string) (engine.Client, bool) { return client, true })
	handler := front.New("n", func() site.Config { return config }, runner)
	allocs := testing.AllocsPerRun(3, func() {
		request, err := http.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(streamRequest))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer key")
		out := &countingWriter{header: http.Header{}}
		handler.ServeHTTP(out, request)
		assert.Greater(t, out.bytes, answer.Len())
	})
	t.Logf("%.3f allocations per event", allocs/events)
	assert.LessOrEqual(t, allocs/events, float64(maxAllocsPerEvent))
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
}
