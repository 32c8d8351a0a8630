package server_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/node/server"
	"github.com/cicadamill/cicadamill/internal/standin/inproc"
)

// startWithOperators runs a node with listeners for callers and operators.
func startWithOperators(t *testing.T, change func(*local.Settings)) server.Addresses {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	site, _, err := inproc.New(ctx)
	require.NoError(t, err)
	settings := local.Settings{
		Name: "node-1", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", Bootstrap: site.Config,
		TableAddress: site.TableAddress, ObjectAddress: site.ObjectAddress, HostsAddress: site.HostsAddress,
	}
	if change != nil {
		change(&settings)
	}
	node := server.New(settings, hclog.NewNullLogger())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- node.Serve(ctx) }(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return <-node.Ready()
}

func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestListenersServeSeparatePaths(t *testing.T) {
	addresses := startWithOperators(t, nil)
	tests := map[string]struct {
		address string
		path    string
		status  int
	}{
		"metrics for operators":        {addresses.Operator, "/metrics", http.StatusOK},
		"no metrics for callers":       {addresses.Caller, "/metrics", http.StatusNotFound},
		"readiness for the balancer":   {addresses.Caller, "/readyz", http.StatusOK},
		"health for the balancer":      {addresses.Caller, "/healthz", http.StatusOK},
		"readiness for operators":      {addresses.Operator, "/readyz", http.StatusOK},
		"no chat for operators":        {addresses.Operator, "/v1/models", http.StatusNotFound},
		"no profiler unless asked for": {addresses.Operator, "/debug/pprof/", http.StatusNotFound},
		"no profiler for callers":      {addresses.Caller, "/debug/pprof/", http.StatusNotFound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, _ := get(t, test.address, test.path)
			assert.Equal(t, test.status, status)
		})
	}
}

func TestProfilerOnRequest(t *testing.T) {
	addresses := startWithOperators(t, func(s *local.Settings) { s.Pprof = true })
	status, _ := get(t, addresses.Operator, "/debug/pprof/")
	assert.Equal(t, http.StatusOK, status)
	status, _ = get(t, addresses.Caller, "/debug/pprof/")
	assert.Equal(t, http.StatusNotFound, status)
}
