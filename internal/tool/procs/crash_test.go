package procs_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/load"
)

const (
	poison         = "this text crashes engines"
	poisonRequests = 12
	poisonInterval = 150 * time.Millisecond
	watchInterval  = 50 * time.Millisecond
)

// TestCrashRequestIsRefusedEverywhere guards against a request that crashes one
// engine after another, because its caller retries it at every router. Harmless
// load beside it must not be refused as the cause of crashes.
func TestCrashRequestIsRefusedEverywhere(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	size := selectedSize()
	c := startCluster(ctx, t, size.routers, size.engines)
	options := c.loadOptions(size)
	options.ServiceFraction, options.BurstEvery = 0, 0
	reports := make(chan load.Report)
	go func(ctx context.Context) { reports <- load.New(options).Run(ctx, nil) }(ctx)
	crashCount := make(chan int)
	go func(ctx context.Context) { crashCount <- c.restartCrashed(ctx) }(ctx)
	time.Sleep(time.Second)
	var codes []string
	for i := range poisonRequests {
		codes = append(codes, c.sendPoison(t, i%size.routers))
		time.Sleep(poisonInterval)
	}
	report := <-reports
	cancel()
	crashes := <-crashCount
	t.Logf("crashes %d, codes of the crashing request %v", crashes, codes)
	t.Logf("requests %v outcomes %v refusals %v", report.Requests, report.Outcomes, report.Refusals)
	assert.LessOrEqual(t, crashes, 2, "crashes caused by one request")
	for _, code := range codes[1:] {
		assert.Equal(t, "crashRequest", code)
	}
	assert.Empty(t, report.Violations)
	for refusal := range report.Refusals {
		assert.False(t, strings.HasPrefix(refusal, "crashRequest"), "a harmless request was refused as the cause of a crash")
	}
}

// restartCrashed restarts engines that have crashed, until the context ends, and
// returns the number of crashes.
func (c *cluster) restartCrashed(ctx context.Context) int {
	crashes := 0
	for ctx.Err() == nil {
		for _, p := range c.engines {
			if !p.isRunning() {
				crashes++
				_ = p.start(ctx)
			}
		}
		time.Sleep(watchInterval)
	}
	return crashes
}

// sendPoison sends the crashing request to a router and returns the error code of
// the response.
func (c *cluster) sendPoison(t *testing.T, router int) string {
	t.Helper()
	body := `{"model":"assistant","messages":[{"role":"user","content":"` + poison + `"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+c.addresses[c.routers[router].name]+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+keyA)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var failure struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal(answer, &failure))
	return failure.Error.Code
}
