package pool_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/pool"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/target/egress"
)

func send(t *testing.T, p *pool.Pool, target roster.Target) *egress.Guard {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+target.Address+"/", nil)
	require.NoError(t, err)
	guard := egress.New(t.Context().Err)
	response, err := p.Send(request, target, 4, guard)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	return guard
}

func TestConnectionsBelongToOneStart(t *testing.T) {
	var dials atomic.Int32
	p := pool.New(func(string) { dials.Add(1) })
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	target := roster.Target{ID: "e", Born: 1, Address: server.Listener.Addr().String()}
	for range 3 {
		send(t, p, target)
	}
	assert.Equal(t, int32(1), dials.Load(), "connections are reused")
	target.Born = 2
	send(t, p, target)
	assert.Equal(t, int32(2), dials.Load(), "a restarted target gets a new connection")
	p.Keep(map[string]roster.Target{"e": target})
	send(t, p, target)
	assert.Equal(t, int32(2), dials.Load())
	p.Keep(nil)
	send(t, p, target)
	assert.Equal(t, int32(3), dials.Load(), "connections to a removed target are closed")
}

func TestUnreachableTargetGetsNoByte(t *testing.T) {
	guard := send(t, pool.New(nil), roster.Target{ID: "e", Address: "127.0.0.1:1"})
	assert.False(t, guard.Sent())
}

func ExamplePool() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	defer server.Close()
	conns := pool.New(nil)
	target := roster.Target{ID: "e", Address: server.Listener.Addr().String()}
	request, _ := http.NewRequest(http.MethodGet, server.URL, nil)
	response, err := conns.Send(request, target, 2, egress.New(func() error { return nil }))
	if err == nil {
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		fmt.Println(string(body))
	}
	// Output: hello
}
