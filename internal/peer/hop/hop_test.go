package hop_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/peer/hop"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/standin/pipes"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// answer sends a complete response of three chunks.
func answer(_ context.Context, _ string, _ job.Job, sink func(engine.Event) error) error {
	events := []engine.Event{engine.Accepted{Engine: "e", Incarnation: "1", WeightVersion: "2", CachedTokens: 3, PromptTokens: 4}}
	for i := range 3 {
		events = append(events, engine.Token{Offset: i, Data: fmt.Appendf(nil, `{"chunk":%d}`, i)})
	}
	for _, event := range append(events, engine.Done{OutputTokens: 3}) {
		if err := sink(event); err != nil {
			return err
		}
	}
	return nil
}

func start(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func client(t *testing.T) *hop.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return hop.New("http", &http.Client{Transport: transport}, hop.Options{AcceptTimeout: 10 * time.Second, SilenceTimeout: 10 * time.Second})
}

func collect(into *[]string) func(engine.Event) error {
	return func(event engine.Event) error {
		if token, ok := event.(engine.Token); ok {
			*into = append(*into, fmt.Sprintf("%d %s", token.Offset, token.Data))
			return nil
		}
		*into = append(*into, fmt.Sprintf("%T", event))
		return nil
	}
}

func TestEventsComeInOrderWithAnExplicitEnd(t *testing.T) {
	var seen job.Job
	var at string
	address := start(t, hop.Handler(func(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error {
		seen, at = j, cell
		return answer(ctx, cell, j, sink)
	}))
	var events []string
	sent := job.Job{ID: "1", Workspace: "w", Blocks: []uint64{1<<64 - 1}, Offset: 2, Body: []byte(`{"a":1}`)}
	require.NoError(t, client(t).Run(context.Background(), address, "tema/0", sent, collect(&events)))
	assert.Equal(t, []string{"engine.Accepted", `0 {"chunk":0}`, `1 {"chunk":1}`, `2 {"chunk":2}`, "engine.Done"}, events)
	sent.Hops = 1
	assert.Equal(t, sent, seen)
	assert.Equal(t, "tema/0", at)
}

func raw(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) })
}

func failing(err error) http.Handler {
	return hop.Handler(func(context.Context, string, job.Job, func(engine.Event) error) error { return err })
}

// TestFailures checks the outcome of each failure: "not run" only if the node
// states it.
func TestFailures(t *testing.T) {
	refused := &fault.Error{Code: "busy", Status: 503, Outcome: effect.NotRun{Reason: "full"}, RetryAfter: 1500 * time.Millisecond, Message: "m"}
	broken := &fault.Error{Code: "broken", Status: 502, Outcome: effect.Unknown{Reason: "died"}, Message: "m"}
	tests := map[string]struct {
		handler http.Handler
		job     job.Job
		want    error
		outcome effect.Outcome
		events  int
	}{
		"node refuses, not run":       {handler: failing(refused), want: refused},
		"node fails, unknown":         {handler: failing(broken), want: broken},
		"node fails without a reason": {handler: failing(errors.New("x")), want: fault.From(errors.New("x"))},
		"forwarded before":            {handler: failing(nil), job: job.Job{Hops: 1}, want: &fault.Error{Code: "hopLimit", Status: http.StatusLoopDetected, Outcome: effect.NotRun{Reason: "handed on too often"}, Message: "handed on 2 times"}},
		"node sends no end event":     {handler: failing(nil), outcome: effect.Unknown{}},
		"cut before the header":       {handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), outcome: effect.Unknown{}},
		"cut between events":          {handler: raw("id: 0\ndata: {}\n\n"), outcome: effect.Unknown{}, events: 1},
		"cut inside an event":         {handler: raw("id: 0\ndata: {}\n\nid: 1\ndata: {\"cut"), outcome: effect.Unknown{}, events: 1},
		"cut inside the end":          {handler: raw("event: done\ndata: {}"), outcome: effect.Unknown{}},
		"unknown event":               {handler: raw("event: other\ndata: {}\n\n"), outcome: effect.Unknown{}},
		"bad offset":                  {handler: raw("id: x\ndata: {}\n\n"), outcome: effect.Unknown{}},
		"bad error":                   {handler: raw("event: error\ndata: {}\n\n"), outcome: effect.Unknown{}},
		"bare status":                 {handler: http.NotFoundHandler(), outcome: effect.Unknown{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var events []string
			err := client(t).Run(context.Background(), start(t, test.handler), "c", test.job, collect(&events))
			assert.Len(t, events, test.events)
			if test.want != nil {
				assert.Equal(t, test.want, err)
				return
			}
			var lost *hop.LostError
			require.ErrorAs(t, err, &lost)
			assert.IsType(t, test.outcome, lost.Outcome)
		})
	}
}

func TestUnreachedNodeDidNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	err := client(t).Run(context.Background(), address, "c", job.Job{}, nil)
	var lost *hop.LostError
	require.ErrorAs(t, err, &lost)
	assert.IsType(t, effect.NotRun{}, lost.Outcome)
}

// closedConn is a connection whose writes fail once closed is set.
type closedConn struct {
	net.Conn
	closed *atomic.Bool
}

func (c closedConn) Write(data []byte) (int, error) {
	if c.closed.Load() {
		return 0, errors.New("closed by the other end")
	}
	return c.Conn.Write(data)
}

// TestClosedIdleConnectionDidNotRun forwards a request to a node that has ended
// since the last one, while the kept connection to it still seems open.
func TestClosedIdleConnectionDidNotRun(t *testing.T) {
	server := httptest.NewServer(hop.Handler(answer))
	defer server.Close()
	address := server.Listener.Addr().String()
	var closed atomic.Bool
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		if closed.Load() {
			return nil, errors.New("connection refused")
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return closedConn{Conn: c, closed: &closed}, err
	}}
	defer transport.CloseIdleConnections()
	c := hop.New("http", &http.Client{Transport: transport}, hop.Options{})
	var events []string
	require.NoError(t, c.Run(t.Context(), address, "c", job.Job{}, collect(&events)))
	closed.Store(true)
	err := c.Run(t.Context(), address, "c", job.Job{}, collect(&events))
	var lost *hop.LostError
	require.ErrorAs(t, err, &lost)
	assert.IsType(t, effect.NotRun{}, lost.Outcome)
}

// TestSlowNodeIsGivenUp checks that a request to a node that doesn't accept it,
// or sends nothing after that, fails within the limit and is cancelled at the
// node.
func TestSlowNodeIsGivenUp(t *testing.T) {
	ended := make(chan error, 1)
	tests := map[string]http.Handler{
		"does not accept": http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = http.MaxBytesReader(nil, r.Body, 1<<20).Read(make([]byte, 1<<10))
			<-r.Context().Done()
			ended <- r.Context().Err()
		}),
		"accepts, then sends nothing": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			ended <- r.Context().Err()
		}),
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			address := start(t, handler)
			short := hop.Options{AcceptTimeout: 20 * time.Millisecond, SilenceTimeout: 20 * time.Millisecond}
			err := hop.New("http", &http.Client{Transport: &http.Transport{}}, short).Run(context.Background(), address, "c", job.Job{}, nil)
			var lost *hop.LostError
			require.ErrorAs(t, err, &lost)
			assert.IsType(t, effect.Unknown{}, lost.Outcome)
			assert.Error(t, <-ended)
		})
	}
}

// TestHeartbeatsKeepAQuietNode checks that heartbeats keep a forwarded request
// alive while the node computes for long without an event.
func TestHeartbeatsKeepAQuietNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipes.New()
		server := &http.Server{Handler: hop.Handler(func(ctx context.Context, cell string, j job.Job, sink func(engine.Event) error) error {
			time.Sleep(time.Minute)
			return answer(ctx, cell, j, sink)
		})}
		go func() { _ = server.Serve(network.Listen("a:1")) }()
		synctest.Wait()
		var events []string
		require.NoError(t, hop.New("http", network.Client(), hop.Options{}).Run(context.Background(), "a:1", "c", job.Job{}, collect(&events)))
		assert.Len(t, events, 5)
		require.NoError(t, server.Close())
	})
}

// TestCallerGoneEndsTheWork checks that an error of sink cancels the request
// at the node.
func TestCallerGoneEndsTheWork(t *testing.T) {
	ended := make(chan error, 1)
	address := start(t, hop.Handler(func(ctx context.Context, _ string, _ job.Job, sink func(engine.Event) error) error {
		_ = sink(engine.Token{Data: []byte("{}")})
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	}))
	gone := errors.New("gone")
	err := client(t).Run(context.Background(), address, "c", job.Job{}, func(engine.Event) error { return gone })
	assert.Equal(t, gone, err)
	assert.Error(t, <-ended)
}

func TestBadRequestIsRefused(t *testing.T) {
	address := start(t, failing(nil))
	response, err := http.Post("http://"+address+hop.Path, "application/json", bytes.NewReader([]byte("{")))
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	assert.Contains(t, string(body), `"code":"badHop"`)
	assert.Contains(t, string(body), `"outcome":"notRun"`)
}

// BenchmarkRelay measures one event over a forwarded request.
func BenchmarkRelay(b *testing.B) {
	data := bytes.Repeat([]byte("x"), 180)
	server := httptest.NewServer(hop.Handler(func(_ context.Context, _ string, _ job.Job, sink func(engine.Event) error) error {
		for i := 0; b.Loop(); i++ {
			if err := sink(engine.Token{Offset: i, Data: data}); err != nil {
				return err
			}
		}
		return sink(engine.Done{})
	}))
	defer server.Close()
	b.ReportAllocs()
	c := hop.New("http", &http.Client{Transport: &http.Transport{}}, hop.Options{})
	if err := c.Run(context.Background(), server.Listener.Addr().String(), "c", job.Job{}, func(engine.Event) error { return nil }); err != nil {
		b.Error(err)
	}
}
