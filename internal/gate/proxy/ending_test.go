package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOnlyWholeAnswersEndWhole guards against answers that ended early and looked
// complete: their client had closed its sending side, their route's time was over, or the
// host stopped.
func TestOnlyWholeAnswersEndWhole(t *testing.T) {
	begin := func(rw http.ResponseWriter, r *http.Request, _ int) {
		seal(rw, r)
		_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}
	half := func(rw http.ResponseWriter, r *http.Request, _ int) {
		seal(rw, r)
		rw.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(rw, "half")
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}
	leave := func(conn *net.TCPConn, _ *fixture) { _ = conn.CloseWrite() }
	stop := func(_ *net.TCPConn, w *fixture) { w.handler.End() }
	tests := map[string]struct {
		path   string
		target target
		end    func(*net.TCPConn, *fixture)
		// answered is true if the client gets a whole answer of the host.
		answered bool
	}{
		"stream, the client half closes":               {path: "/stream/x", target: begin, end: leave},
		"resumable stream, the client half closes":     {path: "/resume/x", target: begin, end: leave},
		"no event yet, the client half closes":         {path: "/stream/x", target: hanging, end: leave},
		"unary without answer, the client half closes": {path: "/once/x", target: hanging, end: leave},
		"unary within its answer, the client leaves":   {path: "/safe/x", target: half, end: leave},
		"stream, the host stops":                       {path: "/stream/x", target: begin, end: stop},
		"unary within its answer, the host stops":      {path: "/once/x", target: half, end: stop, answered: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, []target{test.target})
			conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(longTimeout)))
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody", test.path)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return w.arrivals.Load() == 1 }, longTimeout, time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			test.end(conn.(*net.TCPConn), w)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			assert.Equal(t, test.answered, err == nil, "a whole answer")
			if test.answered {
				assert.Equal(t, http.StatusBadGateway, response.StatusCode)
			}
		})
	}
}
