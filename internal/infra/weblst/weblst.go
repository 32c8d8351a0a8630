// Package weblst reads the platform's host list over HTTP with JSON.
package weblst

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/infra/hosts"
)

const maxReplyBytes = 16 << 20

// Client is an HTTP client that implements [hosts.Client].
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the host list at address, an IP address and port.
func New(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// List implements [hosts.Client].
func (c *Client) List(ctx context.Context) ([]hosts.Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/hosts", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Annotate(err, "reading the host list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("reading the host list: status %s", response.Status)
	}
	var all []hosts.Host
	err = json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&all)
	return all, errors.Annotate(err, "reading the host list")
}
