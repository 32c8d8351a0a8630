package server_test

import (
	"bytes"
	"context"
	"encoding/json"
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

// start runs a node with stand-in engines and returns the address of its listener
// for callers.
func start(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	site, _, err := inproc.New(ctx)
	require.NoError(t, err)
	node := server.New(local.Settings{Name: "node-1", CallerAddress: "127.0.0.1:0", Bootstrap: site.Config}, hclog.NewNullLogger())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- node.Serve(ctx) }(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return (<-node.Ready()).Caller
}

func postChat(t *testing.T, address, key, prompt string, stream bool) (*http.Response, string) {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": stream, "max_tokens": 4,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(answer)
}

// nestedPrompt returns a prompt of over 30,000 characters that shares its prefixes
// at three levels.
func nestedPrompt() string {
	return strings.Repeat("common instructions. ", 600) + strings.Repeat("members' price list. ", 500) + strings.Repeat("order sheet line. ", 600)
}

func TestLongPromptFindsItsPrefixAgain(t *testing.T) {
	address := start(t)
	first, _ := postChat(t, address, inproc.MembersKey, nestedPrompt(), true)
	again, body := postChat(t, address, inproc.MembersKey, nestedPrompt(), true)
	assert.Equal(t, "0", first.Header.Get("X-Cicadamill-Cached-Tokens"))
	assert.Equal(t, "8000", again.Header.Get("X-Cicadamill-Cached-Tokens"))
	assert.Equal(t, first.Header.Get("X-Cicadamill-Engine"), again.Header.Get("X-Cicadamill-Engine"))
	assert.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	assert.Equal(t, 4, strings.Count(body, "id: "))
}

func TestWholeAnswerEqualsStream(t *testing.T) {
	address := start(t)
	response, body := postChat(t, address, inproc.SellersKey, "What sizes of paint?", false)
	require.Equal(t, http.StatusOK, response.StatusCode, body)
	var answer struct {
		Choices []struct {
			Message      struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
	}
	require.NoError(t, json.Unmarshal([]byte(body), &answer))
	assert.Len(t, strings.Fields(answer.Choices[0].Message.Content), 4)
	assert.Equal(t, "stop", answer.Choices[0].FinishReason)
}

func TestUnknownKeyIsRefused(t *testing.T) {
	address := start(t)
	response, body := postChat(t, address, "wrong", "hi", true)
	assert.Equal(t, http.StatusUnauthorized, response.StatusCode)
	assert.Contains(t, body, `"ran":"notRun"`)
}
