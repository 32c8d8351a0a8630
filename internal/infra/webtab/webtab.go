// Package webtab accesses the platform's table service over HTTP with JSON.
package webtab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/cicadamill/cicadamill/internal/infra/table"
)

const maxReplyBytes = 16 << 20

// Client is an HTTP client that implements [table.Client].
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the service at address, an IP address and port.
//
//	client := webtab.New("127.0.0.1:7001", http.DefaultClient)
func New(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Get implements [table.Client].
func (c *Client) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row
	err := c.read(ctx, url.Values{"key": {key}}, &row)
	return row, err
}

// List implements [table.Client].
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.read(ctx, query, &rows)
	return rows, err
}

// Commit implements [table.Client].
func (c *Client) Commit(ctx context.Context, txn table.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return &table.OutageError{Message: err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/transactions", bytes.NewReader(body))
	if err != nil {
		return &table.OutageError{Message: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return &table.OutageError{MayHaveApplied: connected.Load(), Message: err.Error()}
	}
	defer drain(response.Body)
	return commitError(response)
}

func (c *Client) read(ctx context.Context, query url.Values, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/rows?"+query.Encode(), nil)
	if err != nil {
		return &table.OutageError{Message: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &table.OutageError{Message: err.Error()}
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return &table.OutageError{Message: response.Status}
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(target)
	if err != nil {
		return &table.OutageError{Message: err.Error()}
	}
	return nil
}

// commitError converts the response to a commit into an error. Only an explicit
// refusal by the service proves that nothing was written.
func commitError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		conflict := &table.ConflictError{}
		if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(conflict); err != nil {
			return &table.OutageError{Message: err.Error()}
		}
		return conflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return &table.OutageError{Message: response.Status}
	default:
		return &table.OutageError{MayHaveApplied: true, Message: fmt.Sprintf("unexpected status %s", response.Status)}
	}
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReplyBytes))
	_ = body.Close()
}
