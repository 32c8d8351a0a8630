package web_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/web"
)

// TestSilentTargetIsUnknown checks that a call to a target that never responds
// has an unknown outcome, since it may have run.
func TestSilentTargetIsUnknown(t *testing.T) {
	over := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-over }))
	defer server.Close()
	defer close(over)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := web.New().CallOnce(ctx, server.Listener.Addr().String(), web.Request{Method: http.MethodPost, URI: "/pay", Header: http.Header{}}, func() error { return nil })
	var failure *web.Error
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, web.TimedOut, failure.Code)
	assert.IsType(t, effect.Unknown{}, failure.Outcome)
}

const (
	// uploadBytes is more than the buffers of a connection hold, resetPause the time in
	// which the caller gets the answer and blocks in the upload.
	uploadBytes = 10 << 20
	resetPause  = 2 * time.Millisecond
	uploadTries = 20
)

// TestResetDuringTheUpload has a target answer a long call at once, without a length, and
// reset the connection while the call is still being written.
func TestResetDuringTheUpload(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(resetPause)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}))
	defer server.Close()
	client, check := web.New(), func() error { return nil }
	calls := map[string]func(request web.Request) error{
		"once": func(request web.Request) error {
			_, err := client.CallOnce(t.Context(), server.Listener.Addr().String(), request, check)
			return err
		},
		"repeatable": func(request web.Request) error {
			response, err := client.CallRepeatable(t.Context(), server.Listener.Addr().String(), request, check)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.Copy(io.Discard, response.Body)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			for range uploadTries {
				body, length := web.BytesBody(make([]byte, uploadBytes))
				require.Error(t, call(web.Request{Method: http.MethodPost, URI: "/pay", Header: http.Header{}, Body: body, Length: length}), "it looks complete")
			}
		})
	}
}

// TestInvalidAnswerIsUnknown has a target answer with a status that HTTP doesn't have. The
// call may have run, and its caller gets no such answer.
func TestInvalidAnswerIsUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nX-Not-Run: true\r\nContent-Length: 4\r\n\r\npaid")
	}))
	defer server.Close()
	request := web.Request{Method: http.MethodPost, URI: "/pay", Header: http.Header{}}
	check := func() error { return nil }
	client := web.New()
	_, once := client.CallOnce(t.Context(), server.Listener.Addr().String(), request, check)
	response, repeatable := client.CallRepeatable(t.Context(), server.Listener.Addr().String(), request, check)
	if response != nil {
		_ = response.Body.Close()
	}
	for name, err := range map[string]error{"once": once, "repeatable": repeatable} {
		var failure *web.Error
		require.ErrorAs(t, err, &failure, name)
		assert.Equal(t, web.Broken, failure.Code, name)
		assert.IsType(t, effect.Unknown{}, failure.Outcome, name)
	}
}
