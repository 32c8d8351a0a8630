package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/proxy"
)

// TestRequestsHeldAcrossAStopAreRejected guards against requests that a stopping host
// passed on late in its grace period and cut off at the end: their body came late, or
// they waited for a target.
func TestRequestsHeldAcrossAStopAreRejected(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		t.Run("body comes late, "+path, func(t *testing.T) {
			t.Parallel()
			var stopping atomic.Bool
			w := newFixture(t, []target{good}, func(o *proxy.Options) { o.Stopping = stopping.Load })
			conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbo", path)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return w.handler.Active() == 1 }, longTimeout, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			stopping.Store(true)
			_, err = io.WriteString(conn, "dy")
			require.NoError(t, err)
			assertRejected(t, conn)
			assert.Zero(t, w.arrivals.Load())
		})
	}
}

// TestQueueIsRejectedAtAStop guards against requests that waited for a connection to a
// target while their host stopped, and were sent late in its grace period.
func TestQueueIsRejectedAtAStop(t *testing.T) {
	var stopping atomic.Bool
	q := newQueue(t, func(o *proxy.Options) { o.Stopping = stopping.Load })
	stopping.Store(true)
	q.handler.CancelUnsent()
	got := <-q.replies
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	q.free()
	for range 2 {
		assert.Equal(t, http.StatusOK, (<-q.replies).status, "what runs is answered")
	}
	assert.EqualValues(t, 2, q.arrivals.Load())
}

// assertRejected reads the answer to a request that has not run.
func assertRejected(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, string(body), `"ran":"notRun"`)
}

// TestEndAnswersWhatIsLeft guards against requests whose connection a stopping host
// closed without an answer at the end of its grace period.
func TestEndAnswersWhatIsLeft(t *testing.T) {
	begin := func(rw http.ResponseWriter, r *http.Request, _ int) {
		seal(rw, r)
		_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}
	tests := map[string]struct {
		path   string
		target target
		status int
		// cut is true if the answer had begun and must not look complete.
		cut bool
	}{
		"may run once":              {"/once/x", hanging, 502, false},
		"may be repeated":           {"/safe/x", hanging, 502, false},
		"a stream without an event": {"/stream/x", hanging, 502, false},
		"a stream that has begun":   {"/stream/x", begin, 200, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, []target{test.target, test.target})
			replies := make(chan reply, 1)
			go func() { replies <- w.send(t, test.path) }()
			require.Eventually(t, func() bool { return w.arrivals.Load() == 1 }, longTimeout, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			began := time.Now()
			w.handler.End()
			got := <-replies
			assert.Less(t, time.Since(began), longTimeout/4)
			assert.Equal(t, test.status, got.status)
			assert.Equal(t, test.cut, got.err != nil)
			assert.EqualValues(t, 1, w.arrivals.Load(), "nothing is sent again")
		})
	}
}
