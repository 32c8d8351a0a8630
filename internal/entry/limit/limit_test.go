package limit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/entry/limit"
)

// dialServer starts a server whose handler reads the whole body, and connects to it.
func dialServer(t *testing.T) net.Conn {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read, err := io.ReadAll(r.Body)
		if err != nil {
			fault.Write(w, err)
			return
		}
		_, _ = fmt.Fprint(w, len(read))
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := limit.Server(handler, local.Limits{BodyBytes: 100, HeaderBytes: 4096, HeaderMillis: 50, BodyMillis: 50})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(limit.WrapListener(listener)) }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = connection.Close()
		_ = server.Close()
		assert.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return connection
}

func TestLimits(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\n"
	tests := map[string]struct {
		request string
		status  int
		body    string
	}{
		"within":            {head + "Content-Length: 3\r\n\r\nabc", http.StatusOK, "3"},
		"declared too long": {head + "Content-Length: 101\r\n\r\n", http.StatusRequestEntityTooLarge, "bodyTooLarge"},
		"chunked too long":  {head + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("a", 101) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge, "bodyTooLarge"},
		"slow body":         {head + "Content-Length: 3\r\n\r\nab", http.StatusRequestTimeout, "bodyTooSlow"},
		"slow header":       {head, http.StatusRequestTimeout, "headTooSlow"},
		"large header":      {head + "X: " + strings.Repeat("a", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			connection := dialServer(t)
			_, err := io.WriteString(connection, test.request)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Equal(t, test.status, response.StatusCode)
			if test.body == "" {
				return // The server resets the connection after a header that is too large.
			}
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Contains(t, string(body), test.body)
		})
	}
}

func TestIdleConnectionIsClosedWithoutAResponse(t *testing.T) {
	connection := dialServer(t)
	read, err := io.ReadAll(connection)
	require.NoError(t, err)
	assert.Empty(t, read)
}

func TestEachRequestHasItsOwnHeaderTimeout(t *testing.T) {
	connection := dialServer(t)
	reader := bufio.NewReader(connection)
	for range 2 {
		_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
	}
	_, err := io.WriteString(connection, "POST / HTTP/1.1\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestTimeout, response.StatusCode)
}

// TestEarlyResponseLeavesNoStrayResponse guards against a stray 408 on the
// connection: a handler responds before it has read the body, which arrives after
// the header. The next request on the connection must get its own response.
func TestEarlyResponseLeavesNoStrayResponse(t *testing.T) {
	called := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		if r.URL.Path == "/early" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, r.URL.Path)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := limit.Server(handler, local.Limits{})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(limit.WrapListener(listener)) }()
	defer func() {
		_ = server.Close()
		<-ended
	}()
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for i := range 20 {
		for path, status := range map[string]int{"/early": http.StatusServiceUnavailable, fmt.Sprint("/", i): http.StatusOK} {
			_, err := io.WriteString(connection, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n")
			require.NoError(t, err)
			<-called
			_, err = io.WriteString(connection, "abc")
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, status, response.StatusCode, path)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
		}
	}
}

// TestHandlerGetsEveryTarget guards against answers to OPTIONS * that the handler didn't
// give.
func TestHandlerGetsEveryTarget(t *testing.T) {
	connection := dialServer(t)
	require.NoError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
	_, err := io.WriteString(connection, "OPTIONS * HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "3", string(body))
}
