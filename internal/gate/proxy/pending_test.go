package proxy_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPartOfAnEventHoldsNothingUp guards against an event that waits for the rest of
// the next one, which its target sent with it in part.
func TestPartOfAnEventHoldsNothingUp(t *testing.T) {
	tests := map[string]string{"a name": "id: 2\nda", "all but the blank line": "id: 2\ndata: x2\n", "blank lines": "\n\nid: 2\n"}
	for name, part := range tests {
		for ending, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n"} {
			t.Run(name+"/"+ending, func(t *testing.T) {
				t.Parallel()
				read, held := make(chan struct{}), make(chan bool, 1)
				text := sealed + "\r\n" + numbered(lineEnd, 1, 1) + strings.ReplaceAll(part, "\n", lineEnd)
				w := newFixture(t, []target{bare(text, finishAfter(read, held), new(atomic.Int32))})
				line := w.firstLine(t, "/stream/x")
				close(read)
				assert.Equal(t, "id: 1"+lineEnd, line)
				assert.False(t, <-held, "the event was held up")
			})
		}
	}
}

// finishAfter ends a connection once the client has read something, or after a while;
// held gets whether it was the latter.
func finishAfter(read <-chan struct{}, held chan<- bool) closing {
	return func(conn *net.TCPConn) {
		select {
		case <-read:
			held <- false
		case <-time.After(longTimeout / 10):
			held <- true
		}
		finish(conn)
	}
}

// firstLine sends a request and returns the first line of the answer.
func (w *fixture) firstLine(t *testing.T, path string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.server.URL+path, nil)
	require.NoError(t, err)
	request.Host = "a.example"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "k")
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	return line
}
