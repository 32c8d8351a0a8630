package remote_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/standin/model"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

const body = `{"model":"assistant","messages":[{"role":"user","content":"0123456789012345678901234567890123456789"}]}`

func start(t *testing.T) (*remote.Client, *model.Engine) {
	t.Helper()
	standin := model.New(model.Options{
		Name: "e", Model: "m", WeightVersion: "1", BlockTokens: 4, CacheBlocks: 8, OutputTokens: 3, MaxRunning: 1,
	})
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)
	return remote.New(server.Listener.Addr().String(), &http.Client{}), standin
}

func collect(t *testing.T, client *remote.Client, call engine.Call) (engine.Accepted, []int, engine.Done, error) {
	t.Helper()
	var accepted engine.Accepted
	var offsets []int
	var done engine.Done
	err := client.Complete(context.Background(), call, func(event engine.Event) error {
		switch e := event.(type) {
		case engine.Accepted:
			accepted = e
		case engine.Token:
			offsets = append(offsets, e.Offset)
		case engine.Done:
			done = e
		}
		return nil
	})
	return accepted, offsets, done, err
}

func TestCompleteContract(t *testing.T) {
	tests := map[string]struct {
		prepare func(*model.Engine)
		call    engine.Call
		offsets []int
		code    engine.Code
		outcome effect.Outcome
	}{
		"whole answer":       {call: engine.Call{Attempt: "1"}, offsets: []int{0, 1, 2}},
		"resumed answer":     {call: engine.Call{Attempt: "1", Offset: 2}, offsets: []int{2}},
		"other incarnation":  {call: engine.Call{Attempt: "1", Incarnation: "x"}, code: engine.Stale, outcome: effect.NotRun{Reason: "stale"}},
		"older weights":      {call: engine.Call{Attempt: "1", WeightVersion: "0"}, code: engine.Stale, outcome: effect.NotRun{Reason: "stale"}},
		"leaving":            {prepare: func(e *model.Engine) { e.SetLeaving(true) }, call: engine.Call{Attempt: "1"}, code: engine.Leaving, outcome: effect.NotRun{Reason: "leaving"}},
		"right incarnation":  {call: engine.Call{Attempt: "1", Incarnation: "e-1", WeightVersion: "1"}, offsets: []int{0, 1, 2}},
		"restarted to match": {prepare: (*model.Engine).Restart, call: engine.Call{Attempt: "1", Incarnation: "e-1"}, code: engine.Stale, outcome: effect.NotRun{Reason: "stale"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, standin := start(t)
			if test.prepare != nil {
				test.prepare(standin)
			}
			test.call.Body = []byte(body)
			_, offsets, _, err := collect(t, client, test.call)
			assert.Equal(t, test.offsets, offsets)
			if test.code == "" {
				require.NoError(t, err)
				return
			}
			var failure *engine.Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, test.code, failure.Code)
			assert.Equal(t, test.outcome, failure.Outcome)
		})
	}
}

func TestSecondCallHitsTheCacheOfItsWorkspace(t *testing.T) {
	client, _ := start(t)
	call := engine.Call{Attempt: "1", Workspace: "a", Body: []byte(body)}
	first, _, _, err := collect(t, client, call)
	require.NoError(t, err)
	again, _, done, err := collect(t, client, call)
	require.NoError(t, err)
	call.Workspace = "b"
	foreign, _, _, err := collect(t, client, call)
	require.NoError(t, err)
	assert.Zero(t, first.CachedTokens)
	assert.Equal(t, 8, again.CachedTokens)
	assert.Equal(t, 8, done.CachedTokens)
	assert.Zero(t, foreign.CachedTokens)
}

func TestUnreachableEngineDidNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	_, _, _, err := collect(t, remote.New(address, &http.Client{}), engine.Call{Body: []byte(body)})
	var failure *engine.Error
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, engine.Unreachable, failure.Code)
	assert.IsType(t, effect.NotRun{}, failure.Outcome)
}

func TestBrokenAnswerIsUnknown(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"closed before the head": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"closed without an end":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("data: {}\n\n")) },
		"cut inside a chunk":     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("data: {\"cho")) },
		"error in the stream": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("data: {}\n\ndata: {\"error\":{}}\n\ndata: [DONE]\n\n"))
		},
		"error event": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("event: error\ndata: {}\n\ndata: [DONE]\n\n"))
		},
		"another's answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Attempt", "other")
			_, _ = w.Write([]byte("data: {}\n\ndata: [DONE]\n\n"))
		},
		"bare server error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			_, _, _, err := collect(t, remote.New(server.Listener.Addr().String(), &http.Client{}), engine.Call{Body: []byte(body)})
			var failure *engine.Error
			require.True(t, errors.As(err, &failure))
			assert.IsType(t, effect.Unknown{}, failure.Outcome)
		})
	}
}

// TestAnswersWithoutEnd has an engine send an error or a line of a stream without end. The
// client must read little of it: there may be one for each request.
func TestAnswersWithoutEnd(t *testing.T) {
	const bound = 256 << 10
	starts := map[string]string{
		"error": "HTTP/1.1 500 Error\r\n\r\n{\"error\":{\"message\":\"",
		"line":  "HTTP/1.1 200 OK\r\n\r\nid: 0\ndata: {\"choices\":[{\"delta\":\"",
	}
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan int, 1)
			transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() { sent <- flood(server, start) }()
				return client, nil
			}}
			client := remote.New("engine:1", &http.Client{Transport: transport})
			err := client.Complete(t.Context(), engine.Call{Attempt: "a"}, func(engine.Event) error { return nil })
			var failure *engine.Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, engine.Broken, failure.Code)
			assert.IsType(t, effect.Unknown{}, failure.Outcome)
			assert.Less(t, <-sent, bound)
		})
	}
}

// flood answers a request with a text and further bytes until the caller closes, and
// returns the number of bytes that the caller has read.
func flood(conn net.Conn, start string) int {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0
	}
	sent, err := io.WriteString(conn, start)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, strings.Repeat("x", 4<<10))
		sent += n
	}
	return sent
}
