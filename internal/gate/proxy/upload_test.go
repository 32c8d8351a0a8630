package proxy_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/budget"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 6 << 20
	// uploadTries is how often a target resets an upload.
	uploadTries = 20
	// resetPause is the time in which a host gets the answer and blocks in the upload.
	resetPause = 2 * time.Millisecond
)

// partial sends a part of an answer without a length before it has read the request, and
// resets the connection.
func partial(w http.ResponseWriter, _ *http.Request, _ int) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_, _ = io.WriteString(conn, sealed+"\r\nid: 1\ndata: x1\n\n")
	time.Sleep(resetPause)
	abort(conn.(*net.TCPConn))
}

// TestResetDuringTheUpload has a target answer a long request at once and reset the
// connection while the request is still being written. No client may get that part of an
// answer as a complete one.
func TestResetDuringTheUpload(t *testing.T) {
	tests := map[string]struct {
		next target
		// whole is the answer of the next target; empty if the request may not be repeated.
		whole string
	}{
		"/once/x":   {good, ""},
		"/safe/x":   {good, "good"},
		"/stream/x": {resuming("\n"), ""},
		"/resume/x": {resuming("\n"), numbered("\n", 1, lastEvent)},
	}
	for path, test := range tests {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			serve := first(partial, func(w http.ResponseWriter, r *http.Request, arrival int) {
				_, _ = io.Copy(io.Discard, r.Body)
				test.next(w, r, arrival)
			})
			for range uploadTries {
				w := newFixture(t, []target{serve, serve}, func(o *proxy.Options) { o.Memory = budget.New(4 * uploadBytes) })
				got := w.sendBody(t, path, strings.Repeat("x", uploadBytes), unreadHeader, "1")
				switch {
				case test.whole != "":
					require.NoError(t, got.err)
					require.Equal(t, test.whole, got.body)
				case got.status == http.StatusOK:
					require.Error(t, got.err, "it looks complete")
				default:
					require.Equal(t, http.StatusBadGateway, got.status)
					require.Contains(t, got.body, `"ran":"unknown"`)
				}
			}
		})
	}
}
