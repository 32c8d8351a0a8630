package answer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/target/answer"
)

// serve answers each request on a listener with a text, and returns its URL.
func serve(t testing.TB, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return "http://" + listener.Addr().String() + "/"
}

// get returns the body of the response to a GET.
func get(t testing.TB, url string) (string, error) {
	t.Helper()
	transport := answer.New(&http.Transport{})
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const rest = "Content-Length: 4\r\n\r\nbody"

func TestValidHeads(t *testing.T) {
	heads := map[string]string{
		"success":             "HTTP/1.1 200 OK\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n",
		"without a reason":    "HTTP/1.1 200\r\n",
		"highest status":      "HTTP/1.1 599 Error\r\n",
		"after interim ones":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n",
		"all bytes of a name": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n",
		"blanks in values":    "HTTP/1.1 200 OK\r\nA:  b c\td \r\nB:\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body, err := get(t, serve(t, head+rest))
			require.NoError(t, err)
			assert.Equal(t, "body", body)
		})
	}
}

func TestInvalidHeads(t *testing.T) {
	lines := map[string]string{
		"status 000":         "HTTP/1.1 000 OK\r\n",
		"status 099":         "HTTP/1.1 099 OK\r\n",
		"switch of protocol": "HTTP/1.1 101 Switching Protocols\r\n",
		"upgrade":            "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
		"status 600":         "HTTP/1.1 600 Error\r\n",
		"negative":           "HTTP/1.1 -00 OK\r\n",
		"with a sign":        "HTTP/1.1 +20 OK\r\n",
		"HTTP/2":             "HTTP/2.0 200 OK\r\n",
		"HTTP/0.9":           "HTTP/0.9 200 OK\r\n",
		"blank in a name":    "HTTP/1.1 200 OK\r\nA b: c\r\n",
		"blank after a name": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	}
	for name, line := range lines {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := get(t, serve(t, line+rest))
			var invalid *answer.InvalidError
			assert.ErrorAs(t, err, &invalid)
		})
	}
}

// TestHeadWithoutEnd has a server send heads until the caller closes. The caller must read
// little of them.
func TestHeadWithoutEnd(t *testing.T) {
	const bound = 64 << 10
	tests := map[string]struct{ start, chunk string }{
		"fields":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"a long field":   {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1<<10)},
		"a status line":  {"HTTP/1.1 200 ", strings.Repeat("x", 1<<10)},
		"interim ones":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no HTTP at all": {"", strings.Repeat("x", 1<<10)},
		"folded lines":   {"HTTP/1.1 200 OK\r\nA: b\r\n", " x\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan int, 1)
			transport := answer.New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() { sent <- flood(server, test.start, test.chunk) }()
				return client, nil
			}})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", nil)
			require.NoError(t, err)
			_, err = transport.RoundTrip(request)
			require.Error(t, err)
			assert.Less(t, <-sent, bound)
		})
	}
}

// flood answers a request with a text that it repeats until the caller closes, and returns
// the number of bytes that the caller has read.
func flood(conn net.Conn, start, chunk string) int {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0
	}
	sent, err := io.WriteString(conn, start)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, chunk)
		sent += n
	}
	return sent
}

func TestErrorsAreShort(t *testing.T) {
	const bound = 300
	long := strings.Repeat("x", 8<<10)
	tests := map[string]string{
		"status":         "HTTP/1.1 000 " + long + "\r\n" + rest,
		"version":        "HTTP/" + long + " 200 OK\r\n" + rest,
		"name":           "HTTP/1.1 200 OK\r\n" + long + " : x\r\n" + rest,
		"byte of a name": "HTTP/1.1 200 OK\r\n" + strings.Repeat("\x01", 8<<10) + ": x\r\n" + rest,
		"no HTTP":        long + "\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := get(t, serve(t, text))
			require.Error(t, err)
			assert.Less(t, len(err.Error()), bound)
		})
	}
}

func TestCausesAreKept(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://127.0.0.1:1/", nil)
	require.NoError(t, err)
	_, err = answer.New(&http.Transport{}).RoundTrip(request)
	assert.ErrorIs(t, err, context.Canceled)
}

func ExampleTransport() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
		_ = conn.Close()
	}))
	defer server.Close()
	client := &http.Client{Transport: answer.New(&http.Transport{})}
	_, err := client.Post(server.URL, "text/plain", nil)
	var invalid *answer.InvalidError
	fmt.Println(errors.As(err, &invalid), invalid)
	// Output: true invalid answer: status "000 OK"
}
