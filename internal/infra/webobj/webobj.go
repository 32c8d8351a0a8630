// Package webobj accesses the platform's object store over HTTP.
package webobj

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/cicadamill/cicadamill/internal/infra/object"
)

const maxReplyBytes = 64 << 20

// Client is an HTTP client that implements [object.Client].
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the store at address, an IP number and port.
func New(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address + "/", http: client}
}

// Put implements [object.Client].
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	_, err := c.do(ctx, http.MethodPut, key, value)
	return err
}

// Get implements [object.Client].
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, key, nil)
}

// Delete implements [object.Client].
func (c *Client) Delete(ctx context.Context, key string) error {
	_, err := c.do(ctx, http.MethodDelete, key, nil)
	return err
}

func (c *Client) do(ctx context.Context, method, key string, value []byte) ([]byte, error) {
	target := c.base + (&url.URL{Path: key}).EscapedPath()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(value))
	if err != nil {
		return nil, &object.OutageError{Message: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &object.OutageError{Message: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, &object.OutageError{Message: err.Error()}
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return body, nil
	case http.StatusNotFound:
		return nil, &object.NotFoundError{Key: key}
	default:
		return nil, &object.OutageError{Message: response.Status}
	}
}
