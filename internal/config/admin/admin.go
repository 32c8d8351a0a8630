// Package admin defines the JSON API on a node's listener for operators, and a client
// for it.
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

	"github.com/cicadamill/cicadamill/internal/config/jsonc"
	"github.com/cicadamill/cicadamill/internal/config/submit"
)

// Paths on the listener for operators.
const (
	ConfigPath  = "/v1/config"
	HistoryPath = "/v1/config/history"
	StatusPath  = "/v1/status"
)

// Codes of a [Refusal].
const (
	InvalidConfiguration = "invalidConfiguration"
	Conflict             = "conflict"
	PlatformUnavailable  = "platformUnavailable"
	OutcomeUnknown       = "outcomeUnknown"
	NotFound             = "notFound"
	BadRequest           = "badRequest"
)

const maxAnswerBytes = 64 << 20

// Submission is a request to make a text the accepted configuration.
type Submission struct {
	// Base is the version that the operator edited.
	Base uint64 `json:"base"`
	// Nonce identifies the submission. A request with the same nonce can be sent again
	// safely.
	Nonce  string `json:"nonce"`
	Author string `json:"author,omitempty"`
	// Text is the complete text. It is stored verbatim.
	Text string `json:"text"`
	// TimeoutMillis is the timeout of the submission on the node, in milliseconds.
	// Zero means ten seconds, which is also the maximum.
	TimeoutMillis int `json:"timeoutMillis,omitempty"`
}

// Accepted is the response to a successful submission.
type Accepted struct {
	// Version is the new version.
	Version uint64 `json:"version"`
}

// VersionText is one version of the configuration.
type VersionText struct {
	// Version is zero for the node's bootstrap configuration.
	Version uint64 `json:"version"`
	// Text is the operator's text, or the configuration as JSON if Verbatim is false.
	Text string `json:"text"`
	// Verbatim is false if the operator's text could not be read from the object store.
	Verbatim bool `json:"verbatim"`
}

// History lists the records of accepted versions, the newest first.
type History struct {
	Entries []submit.Entry `json:"entries"`
}

// Refusal is the error response of the listener for operators.
type Refusal struct {
	// Code is stable, so that programs can branch on it.
	Code string `json:"code"`
	// Message describes the error to operators.
	Message string `json:"message"`
	// Issues are the errors in a submitted text.
	Issues []jsonc.Issue `json:"issues,omitempty"`
	// Base and Current are the versions of [submit.ConflictError].
	Base    uint64 `json:"base,omitempty"`
	Current uint64 `json:"current,omitempty"`
}

func (r *Refusal) Error() string { return r.Message }

// UnreachableError means that the node sent no valid response. If the request was a
// submission, it may have been accepted.
type UnreachableError struct {
	// Node is the address of the node.
	Node string
	// Message is the text of the underlying error.
	Message string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("node %s gave no answer: %s", e.Node, e.Message)
}

// Client sends requests to one node.
type Client struct {
	scheme string
	node   string
	http   *http.Client
}

// New returns a client for the node whose listener for operators is at address.
//
//	client := admin.New("http", "10.0.0.1:8082", &http.Client{Timeout: 30 * time.Second})
//	status, err := client.Status(ctx)
func New(scheme, address string, client *http.Client) *Client {
	return &Client{scheme: scheme, node: address, http: client}
}

// Submit submits a configuration.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	var accepted Accepted
	body, err := json.Marshal(s)
	if err != nil {
		return accepted, errors.Trace(err)
	}
	err = c.do(ctx, http.MethodPost, ConfigPath, nil, body, &accepted)
	return accepted, err
}

// Current returns the active configuration of the node.
func (c *Client) Current(ctx context.Context) (VersionText, error) {
	var shown VersionText
	err := c.do(ctx, http.MethodGet, ConfigPath, nil, nil, &shown)
	return shown, err
}

// Show returns a version of the configuration; zero is the node's bootstrap
// configuration.
func (c *Client) Show(ctx context.Context, version uint64) (VersionText, error) {
	var shown VersionText
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	err := c.do(ctx, http.MethodGet, ConfigPath, query, nil, &shown)
	return shown, err
}

// History returns the records of up to limit accepted versions.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var history History
	err := c.do(ctx, http.MethodGet, HistoryPath, url.Values{"limit": {strconv.Itoa(limit)}}, nil, &history)
	return history, err
}

// Status returns the status of the node and its view of the fleet.
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
