package pipes_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/standin/pipes"
)

func TestHTTPInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipes.New()
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Hour) })}
		go func() { _ = server.Serve(network.Listen("a:1")) }()
		synctest.Wait()
		began := time.Now()
		response, err := network.Client().Get("http://a:1/")
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, time.Hour, time.Since(began))
		require.NoError(t, server.Close())
		_, err = network.Client().Get("http://a:1/")
		assert.Error(t, err)
	})
}
