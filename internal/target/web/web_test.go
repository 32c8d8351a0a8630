package web_test

import (
	"context"
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
