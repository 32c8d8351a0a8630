package egress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/target/egress"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// orderedConn lets a write take the error of a reset: it reads on after its first read
// only once a write has failed, and that write returns only after the next read.
type orderedConn struct {
	net.Conn
	reads        int
	failed, read chan struct{}
	once         sync.Once
	writeErr     error
	// readErr is what the read after the failed write returned.
	readErr error
}

func (c *orderedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.once.Do(func() {
			c.writeErr = err
			close(c.failed)
			<-c.read
		})
	}
	return n, err
}

func (c *orderedConn) Read(data []byte) (int, error) {
	c.reads++
	if c.reads != 2 {
		return c.Conn.Read(data)
	}
	<-c.failed
	defer close(c.read)
	n, err := c.Conn.Read(data)
	c.readErr = err
	return n, err
}

// unframed answers before it has read the request, and ends the connection.
func unframed(end func(conn *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		end(conn.(*net.TCPConn))
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// TestResetTakenByAWrite guards against an answer without a length that looks complete
// although its connection was reset: the kernel reports the reset to one call, here the
// write of the request.
func TestResetTakenByAWrite(t *testing.T) {
	tests := map[string]struct {
		end      func(conn *net.TCPConn)
		writeErr error
		whole    bool
	}{
		"reset":            {reset, syscall.ECONNRESET, false},
		"ended, and reset": {func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) }, syscall.EPIPE, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(unframed(test.end))
			defer server.Close()
			conn := &orderedConn{failed: make(chan struct{}), read: make(chan struct{})}
			transport := &http.Transport{DialContext: func(_ context.Context, network, address string) (c net.Conn, err error) {
				conn.Conn, err = net.Dial(network, address)
				return egress.Wrap(conn), err
			}}
			defer transport.CloseIdleConnections()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, bytes.NewReader(make([]byte, uploadBytes)))
			require.NoError(t, err)
			response, err := transport.RoundTrip(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.ErrorIs(t, conn.writeErr, test.writeErr)
			assert.Equal(t, io.EOF, conn.readErr, "the kernel reports nothing to the read")
			assert.Equal(t, "part", string(body))
			if test.whole {
				assert.NoError(t, err)
			} else {
				assert.ErrorIs(t, err, syscall.ECONNRESET)
			}
		})
	}
}

// TestAnswerBeforeTheUpload has a target end a whole answer while it reads nothing of the
// request. The answer must not wait for the rest of the upload.
func TestAnswerBeforeTheUpload(t *testing.T) {
	done := make(chan struct{})
	server := httptest.NewServer(unframed(func(conn *net.TCPConn) { _ = conn.CloseWrite(); <-done }))
	defer server.Close()
	defer close(done)
	transport := &http.Transport{DialContext: egress.Dial}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, bytes.NewReader(make([]byte, uploadBytes)))
	require.NoError(t, err)
	response, err := transport.RoundTrip(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "part", string(body))
}
