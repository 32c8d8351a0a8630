package proxy_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/budget"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
)

// TestBodiesShareTheMemory guards against a host that takes more bodies at once than its
// memory holds: what doesn't fit is refused as not run, and short bodies are served.
func TestBodiesShareTheMemory(t *testing.T) {
	const size, clients = 512 << 10, 16
	memory := budget.New(4 << 20)
	release := make(chan struct{})
	w := newFixture(t, []target{func(rw http.ResponseWriter, r *http.Request, arrival int) {
		<-release
		good(rw, r, arrival)
	}}, func(o *proxy.Options) { o.Memory = memory })
	replies := make(chan reply, clients)
	for range clients {
		go func() { replies <- w.sendBody(t, "/once/x", strings.Repeat("x", size)) }()
	}
	refused := 0
	for w.arrivals.Load()+int32(refused) < clients {
		select {
		case got := <-replies:
			require.NoError(t, got.err)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.Contains(t, got.body, `"ran":"notRun"`)
			assert.NotEmpty(t, got.header.Get("Retry-After"))
			refused++
		case <-time.After(5 * time.Millisecond):
		}
	}
	assert.Positive(t, refused)
	assert.GreaterOrEqual(t, int(w.arrivals.Load()), 4, "the memory is used")
	assert.GreaterOrEqual(t, memory.Left(), (4<<20)/int(budget.Body), "a part is left for answers")
	close(release)
	for range clients - refused {
		assert.Equal(t, http.StatusOK, (<-replies).status)
	}
	assert.Equal(t, http.StatusOK, w.sendBody(t, "/once/x", strings.Repeat("x", size)).status, "there is room again")
	require.Eventually(t, func() bool { return memory.Left() == 4<<20 }, longTimeout, time.Millisecond)
}

// TestEventsShareTheMemory guards against streams that hold bytes without end, each
// within its own bound: those that don't fit end visibly, and the memory is free again.
func TestEventsShareTheMemory(t *testing.T) {
	const streams = 12
	memory := budget.New(2 << 20)
	w := newFixture(t, []target{func(rw http.ResponseWriter, r *http.Request, _ int) {
		seal(rw, r)
		_, _ = io.WriteString(rw, "id: 1\ndata: x\n\ndata: ")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(rw, strings.Repeat("x", 16<<10)); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(2 * time.Millisecond)
		}
	}}, func(o *proxy.Options) { o.Memory = memory })
	replies := make(chan reply, streams)
	for range streams {
		go func() { replies <- w.send(t, "/stream/x") }()
	}
	for range streams {
		assert.Error(t, (<-replies).err, "the stream doesn't look complete")
	}
	require.Eventually(t, func() bool { return memory.Left() == 2<<20 }, longTimeout, time.Millisecond)
}

// TestLinesOfTheLogAreShort guards against log lines and errors that quote a target's bytes
// without a bound.
func TestLinesOfTheLogAreShort(t *testing.T) {
	const bound = 2 << 10
	tests := map[string]string{
		"status line": "HTTP/1.1 2" + strings.Repeat("x", 8<<10) + "\r\n\r\n",
		"no HTTP":     strings.Repeat("x", 8<<10) + "\r\n\r\n",
		"field":       "HTTP/1.1 200 OK\r\nId: r1\r\n" + strings.Repeat("\x01", 8<<10) + ": x\r\n\r\n",
		"coding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("x", 8<<10) + "\r\n\r\n",
		"trailer":     sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("\x01", 3<<10) + ": x\r\n\r\n",
		"chunk":       sealed + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("\x01", 3<<10) + "\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lines bytes.Buffer
			serve := raw(strings.ReplaceAll(text, "%", "%%") + "%.0s")
			w := newFixture(t, []target{serve, serve}, func(o *proxy.Options) { o.Logger = hclog.New(&hclog.LoggerOptions{Output: &lines}) })
			got := w.send(t, "/safe/x")
			require.Equal(t, http.StatusBadGateway, got.status)
			assert.Less(t, len(got.body), bound)
			w.server.Close()
			require.NotEmpty(t, lines.String())
			for line := range strings.Lines(lines.String()) {
				assert.Less(t, len(line), bound)
			}
		})
	}
}
