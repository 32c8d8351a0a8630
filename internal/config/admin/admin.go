// Package admin is what operators and a node's operators' listener say to each
// other, over HTTP with JSON.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/submit"
	"github.com/cicadamill/cicadamill/internal/config/text"
)

// The paths of the operators' listener.
const (
	ConfigPath  = "/v1/config"
	HistoryPath = "/v1/config/history"
	StatusPath  = "/v1/status"
)

// The codes of a [Refusal].
const (
	InvalidConfiguration = "invalidConfiguration"
	Conflict             = "conflict"
	PlatformUnavailable  = "platformUnavailable"
	OutcomeUnknown       = "outcomeUnknown"
	NotFound             = "notFound"
	BadRequest           = "badRequest"
)

const maxAnswerBytes = 64 << 20

// Submission is a text that should become the accepted configuration.
type Submission struct {
	// Base is the version that the operator started from.
	Base uint64 `json:"base"`
	// Nonce identifies the submission; sending it again is safe.
	Nonce string `json:"nonce"`
	// Author is who submits it.
	Author string `json:"author,omitempty"`
	// Text is the whole text, kept verbatim.
	Text string `json:"text"`
	// TimeoutMillis is how long the node may try, in milliseconds; zero means
	// ten seconds, which is also the longest.
	TimeoutMillis int `json:"timeoutMillis,omitempty"`
}

// Accepted answers a submission.
type Accepted struct {
	// Version is the accepted version.
	Version uint64 `json:"version"`
}

// Text is one version of the configuration.
type Text struct {
	// Version is its version; zero means the node's bootstrap configuration.
	Version uint64 `json:"version"`
	// Text is the operator's text.
	Text string `json:"text"`
	// Verbatim is false when the object store could not be read and the text is
	// the content without its comments.
	Verbatim bool `json:"verbatim"`
}

// History lists accepted versions, the newest first.
type History struct {
	// Entries are their records.
	Entries []submit.Entry `json:"entries"`
}

// Refusal is the error document of the operators' listener.
type Refusal struct {
	// Code is stable; programs may branch on it.
	Code string `json:"code"`
	// Message is a text for people.
	Message string `json:"message"`
	// Issues are what is wrong with a text.
	Issues []text.Issue `json:"issues,omitempty"`
	// Base and Current are the two sides of a conflict.
	Base    uint64 `json:"base,omitempty"`
	Current uint64 `json:"current,omitempty"`
}

// Error returns a text for operators.
func (r *Refusal) Error() string { return r.Message }

// UnreachableError means that the node gave no usable answer; a submission may
// have been accepted.
type UnreachableError struct {
	// Node is the address that was asked.
	Node string
	// Message says what happened.
	Message string
}

// Error returns a text for operators.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("node %s gave no answer: %s", e.Node, e.Message)
}

// Client asks one node.
type Client struct {
	scheme string
	node   string
	http   *http.Client
}

// New returns a client for the node whose operators' listener is at address.
//
//	client := admin.New("http", "10.0.0.1:8082", &http.Client{Timeout: 30 * time.Second})
//	status, err := client.Status(ctx)
func New(scheme, address string, client *http.Client) *Client {
	return &Client{scheme: scheme, node: address, http: client}
}

// Submit sends a submission.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	var accepted Accepted
	body, err := json.Marshal(s)
	if err != nil {
		return accepted, errors.Trace(err)
	}
	err = c.do(ctx, http.MethodPost, ConfigPath, nil, body, &accepted)
	return accepted, err
}

// Current reads the version in force on the node.
func (c *Client) Current(ctx context.Context) (Text, error) {
	var shown Text
	err := c.do(ctx, http.MethodGet, ConfigPath, nil, nil, &shown)
	return shown, err
}

// Show reads a version; zero is the node's bootstrap configuration.
func (c *Client) Show(ctx context.Context, version uint64) (Text, error) {
	var shown Text
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	err := c.do(ctx, http.MethodGet, ConfigPath, query, nil, &shown)
	return shown, err
}

// History lists up to limit accepted versions.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var history History
	err := c.do(ctx, http.MethodGet, HistoryPath, url.Values{"limit": {strconv.Itoa(limit)}}, nil, &history)
	return history, err
}

// Status reads what a node knows of itself and the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.do(ctx, http.MethodGet, StatusPath, nil, nil, &status)
	return status, err
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.node+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{Node: c.node, Message: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	if response.StatusCode == http.StatusOK {
		err = decoder.Decode(into)
	} else {
		refusal := &Refusal{}
		if err = decoder.Decode(refusal); err == nil && refusal.Code != "" {
			return refusal
		}
		err = fmt.Errorf("status %s", response.Status)
	}
	if err != nil {
		return &UnreachableError{Node: c.node, Message: err.Error()}
	}
	return nil
}
