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
	actionTries = 6
	actionWait  = 200 * time.Millisecond
	maxError    = 64 << 10
)

// read is an idempotent call of the plain service.
type read struct {
	base
	path string
}

// action is a call that must take effect at most once.
type action struct {
	base
	id string
}

// fault is the router's error document.
type fault struct {
	Error struct {
		Code    string `json:"code"`
		Ran     string `json:"ran"`
		Message string `json:"message"`
	} `json:"error"`
}

func (t read) do(ctx context.Context, r *Run) {
	r.tally.begin("read")
	for attempt := range actionTries {
		response, err := r.call(ctx, t.base, http.MethodGet, t.address(r, attempt), t.path, "")
		if err != nil {
			r.tally.count("reconnects")
			wait(ctx, actionWait)
			continue
		}
		if response.StatusCode < http.StatusMultipleChoices {
			r.tally.count("answered")
			return
		}
		r.told(response.body, response.Header)
		return
	}
	r.tally.count("gaveUp")
}

// do follows the rules for a call that is not idempotent: the same key again
// after every outcome but an answer, so that it can't take effect twice.
func (t action) do(ctx context.Context, r *Run) {
	r.tally.begin("action")
	ledger := Action{Key: t.id}
	defer func() { r.tally.action(ledger) }()
	for attempt := range actionTries {
		response, err := r.call(ctx, t.base, http.MethodPost, t.address(r, attempt), r.options.Action, t.id)
		if err != nil {
			ledger.Unknown++
			r.tally.count("reconnects")
			wait(ctx, actionWait)
			continue
		}
		if response.StatusCode < http.StatusMultipleChoices {
			ledger.Answered++
			r.tally.count("answered")
			return
		}
		if r.told(response.body, response.Header) == "notRun" {
			ledger.NotRun++
		} else {
			ledger.Unknown++
		}
		wait(ctx, actionWait)
	}
}

// reply is a whole answer.
type reply struct {
	*http.Response
	body []byte
}

func (r *Run) call(ctx context.Context, b base, method, address, path, key string) (reply, error) {
	var body io.Reader = http.NoBody
	if key != "" {
		body = strings.NewReader(`{"action":"` + key + `"}`)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/services/"+r.options.Service+path, body)
	if err != nil {
		return reply{}, err
	}
	b.header(request.Header)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		// The transport must not repeat the call by itself.
		request.GetBody = nil
	}
	response, err := r.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxError))
	return reply{Response: response, body: encoded}, err
}

// refused counts a refusal and keeps the ID of a request that did not run.
func (r *Run) refused(response *http.Response, _ string) error {
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxError))
	if err != nil {
		return err
	}
	if r.told(encoded, response.Header) == "notRun" {
		r.tally.notRun(response.Header.Get("X-Request-Id"))
	}
	return errTold
}

// told counts what a router said and returns whether the request ran.
func (r *Run) told(encoded []byte, header http.Header) string {
	var f fault
	if json.Unmarshal(encoded, &f) != nil || f.Error.Code == "" {
		r.tally.broken("a failure without an error document: " + strconv.Quote(string(encoded[:min(len(encoded), 80)])))
		return "unknown"
	}
	r.tally.refuse(f.Error.Code, f.Error.Ran, header.Get("Retry-After") != "")
	return f.Error.Ran
}
