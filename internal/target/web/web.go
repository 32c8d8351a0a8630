// Package web calls the targets of plain services over HTTP.
package web

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/answer"
	"github.com/cicadamill/cicadamill/internal/target/egress"
)

const (
	// MaxResponseBytes is the maximum length of the response to a call of
	// [Client.CallOnce].
	MaxResponseBytes = 1 << 20

	idleTimeout      = 30 * time.Second
	maxIdlePerTarget = 32
	notRunHeader     = "X-Not-Run"
)

// Client calls targets. It is safe for concurrent use.
type Client struct {
	// unpooled opens a connection for each call, so that a call is never lost
	// on an idle connection that the target is closing.
	unpooled *answer.Transport
	pooled   *answer.Transport
}

// New returns a client without open connections.
//
//	client := web.New()
//	response, err := client.CallOnce(ctx, "127.0.0.1:9101", request, check)
func New() *Client {
	return &Client{
		unpooled: answer.New(&http.Transport{DialContext: egress.Dial, DisableKeepAlives: true, DisableCompression: true}),
		pooled:   answer.New(&http.Transport{DialContext: egress.Dial, MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout, DisableCompression: true}),
	}
}

// Request is a call to a target.
type Request struct {
	Method string
	// URI is the path with the query, as sent to the target.
	URI    string
	Header http.Header
	// Body may be nil.
	Body io.Reader
	// Length is the length of the body in bytes; -1 means unknown.
	Length int64
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// CallOnce sends a call that must not be repeated and reads the whole response.
// The check runs right before the first byte is sent. Errors are of type
// [*Error] and carry the outcome.
func (c *Client) CallOnce(ctx context.Context, address string, request Request, check func() error) (Response, error) {
	response, err := c.send(ctx, c.unpooled, address, request, check)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return Response{}, newError(ctx, address, ResponseTruncated, effect.Unknown{Reason: "answer cut"}, err)
	}
	if len(body) > MaxResponseBytes {
		return Response{}, newError(ctx, address, ResponseTooLarge, effect.Unknown{Reason: "answer too large"}, errors.New("the answer is too large"))
	}
	if refused := refusal(address, response); refused != nil {
		return Response{}, refused
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// CallRepeatable sends a call that may be repeated and returns as soon as the
// response header arrives. The caller must close the body.
func (c *Client) CallRepeatable(ctx context.Context, address string, request Request, check func() error) (*http.Response, error) {
	response, err := c.send(ctx, c.pooled, address, request, check)
	if err != nil {
		return nil, err
	}
	if refused := refusal(address, response); refused != nil {
		_ = response.Body.Close()
		return nil, refused
	}
	return response, nil
}

func (c *Client) send(ctx context.Context, transport *answer.Transport, address string, request Request, check func() error) (*http.Response, error) {
	guard := egress.New(check)
	outgoing, err := newRequest(guard.Context(ctx), address, request)
	if err != nil {
		return nil, newError(ctx, address, BadRequest, effect.NotRun{Reason: "bad request"}, err)
	}
	response, err := transport.RoundTrip(outgoing)
	switch {
	case err == nil:
		return response, nil
	case !guard.Sent():
		return nil, newError(ctx, address, Unreachable, effect.NotRun{Reason: "no byte left"}, err)
	default:
		// The rest of an invalid answer would pass for the answer to the next call.
		guard.Retire()
		return nil, newError(ctx, address, Broken, effect.Unknown{Reason: "no answer"}, err)
	}
}

func newRequest(ctx context.Context, address string, request Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", address
	outgoing := (&http.Request{
		Method: request.Method, URL: target, Host: address, Header: request.Header, ContentLength: request.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if request.Body != nil && request.Length != 0 {
		outgoing.Body = io.NopCloser(request.Body)
	}
	return outgoing, nil
}

// refusal returns an error if the target states that it did not run the call,
// and nil otherwise. An error status alone proves nothing.
func refusal(address string, response *http.Response) error {
	if response.Header.Get(notRunHeader) != "true" || response.StatusCode < http.StatusBadRequest {
		return nil
	}
	refused := &Error{Code: Refused, Outcome: effect.NotRun{Reason: "target's word"}, Target: address, Message: response.Status}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		refused.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refused
}

func newError(ctx context.Context, address string, code Code, outcome effect.Outcome, cause error) error {
	if _, unknown := outcome.(effect.Unknown); unknown && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = TimedOut
	}
	return &Error{Code: code, Outcome: outcome, Target: address, Message: cause.Error(), Cause: cause}
}

// BytesBody returns a reader of body and its length, for a [Request].
func BytesBody(body []byte) (io.Reader, int64) { return bytes.NewReader(body), int64(len(body)) }
