package listen_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/gate/listen"
)

const wait = 5 * time.Second

// open serves a handler on a new listener and returns it with its address.
func open(t *testing.T, handler http.Handler, limits local.Limits) (*listen.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	d := listen.New(ctx, listener, handler, limits)
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- d.Serve(ctx) }(ctx)
	t.Cleanup(func() {
		stop, done := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer done()
		cancel()
		<-ended
		d.Shutdown(stop)
	})
	return d, listener.Addr().String()
}

// post sends one request on a connection and returns the status line.
func post(t *testing.T, conn net.Conn, body string) (string, error) {
	t.Helper()
	require.NoError(t, conn.SetDeadline(time.Now().Add(wait)))
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	if err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.Status, nil
}

var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	w.WriteHeader(http.StatusOK)
})

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestNewLimitsHoldForNewConnections(t *testing.T) {
	d, address := open(t, echo, local.Limits{BodyBytes: 100})
	old := dial(t, address)
	status, err := post(t, old, "body")
	require.NoError(t, err)
	assert.Equal(t, "200 OK", status)
	d.SetLimits(local.Limits{BodyBytes: 2})
	status, err = post(t, dial(t, address), "body")
	require.NoError(t, err)
	assert.Contains(t, status, "413")
	status, err = post(t, old, "body")
	require.NoError(t, err)
	assert.Equal(t, "200 OK", status, "an open connection keeps its limits")
}

// Closing idle connections repeatedly must never close one on which a request has
// been read.
func TestCloseCutsNoRequest(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		w.WriteHeader(http.StatusOK)
	})
	d, address := open(t, handler, local.Limits{})
	idle, busy := dial(t, address), dial(t, address)
	answered := make(chan error, 1)
	go func(context.Context) {
		_, err := post(t, busy, "")
		answered <- err
	}(t.Context())
	<-started
	for range 20 {
		d.Close()
	}
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(wait)))
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	close(release)
	assert.NoError(t, <-answered, "a busy connection is not closed")
	_, err = net.Dial("tcp", address)
	assert.Error(t, err, "no new connection is accepted")
	require.Eventually(t, func() bool {
		d.Close()
		_ = busy.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := busy.Read(make([]byte, 1))
		return err == io.EOF
	}, wait, 10*time.Millisecond, "the busy connection is closed once it is idle")
}
