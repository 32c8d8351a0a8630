package side_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/entry/side"
)

func TestServe(t *testing.T) {
	tests := map[string]struct {
		end  func(cancel context.CancelFunc, listener net.Listener)
		want error
	}{
		"the context ends":   {func(cancel context.CancelFunc, _ net.Listener) { cancel() }, context.Canceled},
		"the listener fails": {func(_ context.CancelFunc, listener net.Listener) { _ = listener.Close() }, net.ErrClosed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ended := make(chan error, 1)
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
			go func(ctx context.Context) { ended <- side.Serve(ctx, listener, handler, time.Second) }(ctx)
			response, err := http.Get("http://" + listener.Addr().String())
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, http.StatusTeapot, response.StatusCode)
			test.end(cancel, listener)
			require.ErrorIs(t, <-ended, test.want)
			_, err = net.Dial("tcp", listener.Addr().String())
			assert.Error(t, err, "the listener must be closed")
		})
	}
}
