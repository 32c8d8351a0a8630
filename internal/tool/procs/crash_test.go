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
	poison      = "this text crashes engines"
	repetitions = 12
	crashPause  = 150 * time.Millisecond
	watchPause  = 50 * time.Millisecond
)

// TestCrashRequestIsRefusedEverywhere has a caller send a request that crashes
// engines to one router after another, beside innocent load.
func TestCrashRequestIsRefusedEverywhere(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	n := chosen()
	s := open(ctx, t, n.routers, n.engines)
	options := s.options(n)
	options.ServicePart, options.BurstEvery = 0, 0
	reports := make(chan load.Report)
	go func(ctx context.Context) { reports <- load.New(options).Do(ctx, nil) }(ctx)
	watched := make(chan int)
	go func(ctx context.Context) { watched <- s.revive(ctx) }(ctx)
	time.Sleep(time.Second)
	var codes []string
	for i := range repetitions {
		codes = append(codes, s.askPoison(t, i%n.routers))
		time.Sleep(crashPause)
	}
	report := <-reports
	cancel()
	crashes := <-watched
	t.Logf("crashes %d, answers to the poisonous request %v", crashes, codes)
	t.Logf("requests %v outcomes %v refusals %v", report.Requests, report.Outcomes, report.Refusals)
	assert.LessOrEqual(t, crashes, 2, "engines that one request crashed")
	for _, code := range codes[1:] {
		assert.Equal(t, "crashRequest", code)
	}
	assert.Empty(t, report.Broken)
	for refusal := range report.Refusals {
		assert.False(t, strings.HasPrefix(refusal, "crashRequest"), "an innocent request was refused")
	}
}

// revive starts engines again that crashed, and returns how many did.
func (s *scene) revive(ctx context.Context) int {
	crashes := 0
	for ctx.Err() == nil {
		for _, p := range s.engines {
			if !p.isRunning() {
				crashes++
				_ = p.start(ctx)
			}
		}
		time.Sleep(watchPause)
	}
	return crashes
}

// askPoison sends the request and returns the code of the answer.
func (s *scene) askPoison(t *testing.T, router int) string {
	t.Helper()
	body := `{"model":"assistant","messages":[{"role":"user","content":"` + poison + `"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+s.addresses[s.routers[router].name]+"/v1/chat/completions", strings.NewReader(body))
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
