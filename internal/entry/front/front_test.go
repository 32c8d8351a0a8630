package front_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// recordingRunner records the workspace of each job that it receives.
type recordingRunner struct{ workspaces []string }

func (r *recordingRunner) Run(_ context.Context, j job.Job, sink func(engine.Event) error) error {
	r.workspaces = append(r.workspaces, j.Workspace)
	return sink(engine.Done{})
}

// trackedBody records whether it was read.
type trackedBody struct{ read bool }

func (u *trackedBody) Read([]byte) (int, error) {
	u.read = true
	return 0, errors.New("read before the key was checked")
}

func config() site.Config {
	return site.Config{
		Models:       []site.Model{{Name: "m", BlockTokens: 2000}},
		Applications: []site.Application{{Name: "assistant", Model: "m"}, {Name: "claims", Model: "m"}},
		Workspaces: []site.Workspace{
			{Name: "members", KeyHashes: []string{auth.Hash("key-m")}, Applications: []string{"assistant"}},
			{Name: "sellers", KeyHashes: []string{auth.Hash("key-s")}, Applications: []string{"claims"}},
		},
	}
}

func TestNothingIsReadWithoutAKey(t *testing.T) {
	for name, authorization := range map[string]string{"none": "", "wrong": "Bearer wrong", "basic": "Basic key-m"} {
		t.Run(name, func(t *testing.T) {
			body := &trackedBody{}
			request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", body)
			request.Header.Set("Authorization", authorization)
			answer := httptest.NewRecorder()
			front.New("node-1", config, &recordingRunner{}).ServeHTTP(answer, request)
			assert.Equal(t, http.StatusUnauthorized, answer.Code)
			assert.False(t, body.read)
		})
	}
}

func TestOnlyTheKeyNamesTheWorkspace(t *testing.T) {
	runner := &recordingRunner{}
	handler := front.New("node-1", config, runner)
	send := func(model, body string) int {
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions?workspace=sellers", strings.NewReader(
			`{"model":"`+model+`","messages":[{"role":"user","content":"hi"}],"stream":true`+body+`}`))
		request.Header.Set("Authorization", "Bearer key-m")
		for _, name := range []string{"X-Cicadamill-Workspace", "Workspace", "X-Workspace", "OpenAI-Organization"} {
			request.Header.Set(name, "sellers")
		}
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		return answer.Code
	}
	assert.Equal(t, http.StatusOK, send("assistant", `,"workspace":"sellers","user":"sellers"`))
	assert.Equal(t, []string{"members"}, runner.workspaces)
	assert.Equal(t, http.StatusNotFound, send("claims", ""), "another workspace's application")
	assert.Len(t, runner.workspaces, 1)
}
