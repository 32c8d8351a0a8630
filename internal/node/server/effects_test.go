package server_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/node/server"
	"github.com/cicadamill/cicadamill/internal/standin/inproc"
)

// startTwoNodes runs two nodes that share a platform and returns the addresses of
// their listeners for callers.
func startTwoNodes(t *testing.T) (*inproc.Site, [2]string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	site, _, err := inproc.New(ctx)
	require.NoError(t, err)
	var addresses [2]string
	ended := make(chan error, 2)
	for i := range addresses {
		node := server.New(local.Settings{
			Name: "node", CallerAddress: "127.0.0.1:0", Bootstrap: site.Config,
			TableAddress: site.TableAddress, ObjectAddress: site.ObjectAddress, HostsAddress: site.HostsAddress,
		}, hclog.NewNullLogger())
		go func(ctx context.Context) { ended <- node.Serve(ctx) }(ctx)
		addresses[i] = (<-node.Ready()).Caller
	}
	t.Cleanup(func() {
		cancel()
		for range addresses {
			assert.NoError(t, <-ended)
		}
	})
	return site, addresses
}

func postBooking(t *testing.T, address, key, body string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/bookings/deliveries", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+inproc.MembersKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(answer)
}

func TestDoubleSubmitAtTwoNodesRunsOnce(t *testing.T) {
	site, addresses := startTwoNodes(t)
	type result struct {
		status int
		body   string
	}
	results := make(chan result, 8)
	for i := range 8 {
		go func(context.Context) {
			response, body := postBooking(t, addresses[i%2], "booking-1", `{"post": 7}`)
			results <- result{status: response.StatusCode, body: body}
		}(t.Context())
	}
	first := <-results
	assert.Equal(t, http.StatusOK, first.status, first.body)
	for range 7 {
		assert.Equal(t, first, <-results)
	}
	assert.Equal(t, map[string]int{"booking-1": 1}, site.Plain.Effects())
	response, _ := postBooking(t, addresses[1], "booking-1", `{"post": 7}`)
	assert.Equal(t, "true", response.Header.Get("X-Cicadamill-Repeated"))
	response, body := postBooking(t, addresses[0], "booking-1", `{"post": 8}`)
	assert.Equal(t, http.StatusUnprocessableEntity, response.StatusCode, body)
	_, body = postBooking(t, addresses[0], "", `{"post": 8}`)
	assert.Contains(t, body, "keyRequired")
}
