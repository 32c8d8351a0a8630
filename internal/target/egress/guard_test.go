package egress_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/target/egress"
)

// startBreakingServer serves the first request, and resets the connection
// after it has run the second.
func startBreakingServer(t *testing.T, runs *atomic.Int32) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1) == 2 {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func post(ctx context.Context, transport *http.Transport, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader([]byte("{}")))
	if err != nil {
		return err
	}
	request.Header.Set("Idempotency-Key", "k")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// TestOnceStopsTheClientsOwnRepeat guards against a request that runs twice
// because net/http retries it after a reset of a reused connection. The first
// case shows that the client does so without the guard.
func TestOnceStopsTheClientsOwnRepeat(t *testing.T) {
	tests := map[string]struct {
		context func() context.Context
		runs    int32
	}{
		"bare client repeats":    {context: context.Background, runs: 3},
		"guarded client doesn't": {context: func() context.Context { return egress.New(func() error { return nil }).Context(context.Background()) }, runs: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			address := startBreakingServer(t, &runs)
			transport := &http.Transport{DialContext: egress.Dial}
			defer transport.CloseIdleConnections()
			require.NoError(t, post(test.context(), transport, address))
			err := post(test.context(), transport, address)
			assert.Equal(t, test.runs, runs.Load())
			assert.Equal(t, test.runs == 2, err != nil)
		})
	}
}

func TestCheckHoldsBackTheFirstByte(t *testing.T) {
	var runs atomic.Int32
	address := startBreakingServer(t, &runs)
	transport := &http.Transport{DialContext: egress.Dial}
	late := errors.New("late")
	guard := egress.New(func() error { return late })
	err := post(guard.Context(context.Background()), transport, address)
	assert.ErrorIs(t, err, late)
	assert.False(t, guard.Sent())
	assert.Zero(t, runs.Load())
}

// TestRetiredConnectionTakesNoFurtherRequest sends two requests with a guard each; the
// first one retires its connection.
func TestRetiredConnectionTakesNoFurtherRequest(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer server.Close()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		opened.Add(1)
		return egress.Dial(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	for _, retire := range []bool{false, true, false} {
		guard := egress.New(func() error { return nil })
		require.NoError(t, post(guard.Context(t.Context()), transport, server.URL))
		if retire {
			guard.Retire()
		}
	}
	assert.EqualValues(t, 2, opened.Load())
}

// TestIdleConnectionKeepsNoRequest guards against the memory of requests that have ended
// and that idle connections hold.
func TestIdleConnectionKeepsNoRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer server.Close()
	transport := &http.Transport{DialContext: egress.Dial}
	defer transport.CloseIdleConnections()
	freed := make(chan struct{})
	func() {
		held := &struct{ body [1 << 20]byte }{}
		runtime.SetFinalizer(held, func(any) { close(freed) })
		guard := egress.NewJudged(func() error {
			held.body[0]++
			return nil
		})
		require.NoError(t, post(guard.Context(t.Context()), transport, server.URL))
		guard.Judge()
	}()
	require.Eventually(t, func() bool {
		runtime.GC()
		select {
		case <-freed:
			return true
		default:
			return false
		}
	}, 5*time.Second, 10*time.Millisecond)
}
