// Package remote implements the client of a model engine over HTTP.
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	// maxResponseBytes limits the body of an engine's response, which may list its cache.
	maxResponseBytes = 16 << 20
	// maxErrorBytes limits the body of an error.
	maxErrorBytes = 64 << 10
)

// Client implements [engine.Client] for the engine at one address.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the engine at address, an IP address and port.
//
//	client := remote.New("127.0.0.1:9001", &http.Client{})
func New(address string, client *http.Client) *Client {
	return &Client{address: address, http: client}
}

// Complete implements [engine.Client].
func (c *Client) Complete(ctx context.Context, call engine.Call, sink func(engine.Event) error) error {
	request, err := c.request(ctx, http.MethodPost, "/v1/chat/completions", bytes.NewReader(call.Body))
	if err != nil {
		return err
	}
	setCallHeaders(request.Header, call)
	response, err := c.send(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return c.refusal(response)
	}
	if echoed := response.Header.Get("X-Attempt"); echoed != "" && echoed != call.Attempt {
		return c.failure(engine.Broken, effect.Unknown{Reason: "the answer is another request's"}, "answer to attempt "+echoed)
	}
	if err := sink(acceptedEvent(response.Header)); err != nil {
		return err
	}
	return c.relay(response.Body, call.Offset, sink)
}

func setCallHeaders(header http.Header, call engine.Call) {
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set("Accept-Encoding", "identity")
	header.Set("X-Attempt", call.Attempt)
	header.Set("X-Workspace", call.Workspace)
	header.Set("X-Priority", strconv.Itoa(call.Priority))
	setIfPresent(header, "X-Adapter", call.Adapter)
	setIfPresent(header, "X-Incarnation", call.Incarnation)
	setIfPresent(header, "X-Weight-Version", call.WeightVersion)
	if call.Offset > 0 {
		header.Set("X-Resume-Offset", strconv.Itoa(call.Offset))
	}
}

func setIfPresent(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func acceptedEvent(header http.Header) engine.Accepted {
	cached, _ := strconv.Atoi(header.Get("X-Cached-Tokens"))
	prompt, _ := strconv.Atoi(header.Get("X-Prompt-Tokens"))
	return engine.Accepted{
		Engine:        header.Get("X-Engine"),
		Incarnation:   header.Get("X-Incarnation"),
		WeightVersion: header.Get("X-Weight-Version"),
		CachedTokens:  cached,
		PromptTokens:  prompt,
	}
}

// Cancel implements [engine.Client].
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	return c.call(ctx, http.MethodDelete, "/v1/requests/"+attempt, nil, nil)
}

// Load implements [engine.Client].
func (c *Client) Load(ctx context.Context) (engine.LoadReport, error) {
	var load engine.LoadReport
	err := c.call(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

// Events implements [engine.Client].
func (c *Client) Events(ctx context.Context, after uint64) (engine.CacheEvents, error) {
	var batch engine.CacheEvents
	err := c.call(ctx, http.MethodGet, "/cache/events?after="+strconv.FormatUint(after, 10), nil, &batch)
	return batch, err
}

// Snapshot implements [engine.Client].
func (c *Client) Snapshot(ctx context.Context) (engine.Snapshot, error) {
	var snapshot engine.Snapshot
	err := c.call(ctx, http.MethodGet, "/cache/snapshot", nil, &snapshot)
	return snapshot, err
}

// Import implements [engine.Client].
func (c *Client) Import(ctx context.Context, request engine.ImportRequest) error {
	return c.call(ctx, http.MethodPost, "/cache/import", request, nil)
}

// Order implements [engine.Client].
func (c *Client) Order(ctx context.Context, order engine.Order) error {
	switch o := order.(type) {
	case engine.LoadModel:
		return c.call(ctx, http.MethodPost, "/orders/loadModel", o, nil)
	case engine.LoadAdapter:
		return c.call(ctx, http.MethodPost, "/orders/loadAdapter", o, nil)
	case engine.SetRole:
		return c.call(ctx, http.MethodPost, "/orders/setRole", o, nil)
	default:
		return c.failure(engine.Invalid, effect.NotRun{}, "unsupported type of order")
	}
}

func (c *Client) call(ctx context.Context, method, path string, send, receive any) error {
	var body io.Reader = http.NoBody
	if send != nil {
		encoded, err := json.Marshal(send)
		if err != nil {
			return c.failure(engine.Invalid, effect.NotRun{}, err.Error())
		}
		body = bytes.NewReader(encoded)
	}
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.send(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return c.refusal(response)
	}
	if receive == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(receive); err != nil {
		return c.failure(engine.Invalid, effect.Unknown{}, err.Error())
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return nil, c.failure(engine.Invalid, effect.NotRun{}, err.Error())
	}
	return request, nil
}

// refusal converts a response with an error status into an error. The outcome
// is "not run" only if the engine states that explicitly.
func (c *Client) refusal(response *http.Response) error {
	var body struct {
		Error struct {
			Code    engine.Code `json:"code"`
			Message string      `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	failure := c.failure(body.Error.Code, effect.Unknown{Reason: response.Status}, body.Error.Message)
	if response.Header.Get("X-Not-Run") == "true" {
		failure.Outcome = effect.NotRun{Reason: string(body.Error.Code)}
	}
	if failure.Code == "" {
		failure.Code = engine.Broken
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

func (c *Client) failure(code engine.Code, outcome effect.Outcome, message string) *engine.Error {
	return &engine.Error{Code: code, Outcome: outcome, Target: c.address, Message: message}
}
