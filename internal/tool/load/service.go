package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxServiceAttempts = 6
	retryDelay         = 200 * time.Millisecond
	maxBodyBytes       = 64 << 10
)

// readTask is an idempotent call of the plain service.
type readTask struct {
	baseTask
	path string
}

// actionTask is a call that must take effect at most once.
type actionTask struct {
	baseTask
	id string
}

// errorDocument is the body of the router's error responses.
type errorDocument struct {
	Error struct {
		Code    string `json:"code"`
		Ran     string `json:"ran"`
		Message string `json:"message"`
	} `json:"error"`
}

func (t readTask) do(ctx context.Context, r *Generator) {
	r.tally.countRequest("read")
	for attempt := range maxServiceAttempts {
		response, err := r.callService(ctx, t.baseTask, http.MethodGet, t.address(r, attempt), t.path, "")
		if err != nil {
			r.tally.countOutcome("reconnects")
			sleep(ctx, retryDelay)
			continue
		}
		if response.StatusCode < http.StatusMultipleChoices {
			r.tally.countOutcome("answered")
			return
		}
		r.countError(response.body, response.Header)
		return
	}
	r.tally.countOutcome("gaveUp")
}

// do retries with the same idempotency key until it gets an answer, as callers of a
// call that is not idempotent must, so that it takes effect at most once.
func (t actionTask) do(ctx context.Context, r *Generator) {
	r.tally.countRequest("action")
	result := Action{Key: t.id}
	defer func() { r.tally.addAction(result) }()
	for attempt := range maxServiceAttempts {
		response, err := r.callService(ctx, t.baseTask, http.MethodPost, t.address(r, attempt), r.options.ActionPath, t.id)
		if err != nil {
			result.Unknown++
			r.tally.countOutcome("reconnects")
			sleep(ctx, retryDelay)
			continue
		}
		if response.StatusCode < http.StatusMultipleChoices {
			result.Answered++
			r.tally.countOutcome("answered")
			return
		}
		if r.countError(response.body, response.Header) == "notRun" {
			result.NotRun++
		} else {
			result.Unknown++
		}
		sleep(ctx, retryDelay)
	}
}

// reply is a response with its body.
type reply struct {
	*http.Response
	body []byte
}

func (g *Generator) callService(ctx context.Context, b baseTask, method, address, path, key string) (reply, error) {
	var body io.Reader = http.NoBody
	if key != "" {
		body = strings.NewReader(`{"action":"` + key + `"}`)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/services/"+g.options.Service+path, body)
	if err != nil {
		return reply{}, err
	}
	b.setHeader(request.Header)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		// Without GetBody the transport doesn't retry the call by itself.
		request.GetBody = nil
	}
	response, err := g.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	return reply{Response: response, body: encoded}, err
}

// countRefusal counts an error response and records the ID of a request that the
// router reports as not run.
func (g *Generator) countRefusal(response *http.Response, _ string) error {
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if g.countError(encoded, response.Header) == "notRun" {
		g.tally.addNotRun(response.Header.Get("X-Request-Id"))
	}
	return errReported
}

// countError counts an error document and returns whether the request ran: its
// field "ran", or "unknown" if there is no such document.
func (g *Generator) countError(encoded []byte, header http.Header) string {
	var document errorDocument
	if json.Unmarshal(encoded, &document) != nil || document.Error.Code == "" {
		g.tally.countViolation("a failure without an error document: " + strconv.Quote(string(encoded[:min(len(encoded), 80)])))
		return "unknown"
	}
	g.tally.countRefusal(document.Error.Code, document.Error.Ran, header.Get("Retry-After") != "")
	return document.Error.Ran
}
